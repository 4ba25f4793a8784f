#include <fstream>

#include "apps/ctl/commands/commands.h"
#include "apps/ctl/commands/request_timeline.h"

namespace cornelplank::ctl {

int RunExplainRequest(const Options& options, std::istream& input, const Output& output) {
  RequestTimeline timeline(options.request_id);
  for (const std::string& name : options.log_files) {
    std::ifstream file(name);
    if (!file) {
      output.err << name << " can't be read\n";
      return kUsage;
    }
    timeline.Read(file, name);
  }
  if (options.log_files.empty()) timeline.Read(input, "stdin");
  const std::string text = timeline.Text();
  if (text.empty()) {
    output.err << "no line names request " << options.request_id
               << "; answered requests beyond 400 a second are not logged\n";
    return kUnavailable;
  }
  output.out << text;
  return kDone;
}

}  // namespace cornelplank::ctl
