#include "standins/engine/weight_loader.h"

#include <algorithm>
#include <utility>

#include "standins/common/reply.h"

namespace cornelplank::standins::engine {
namespace {

constexpr std::chrono::milliseconds kPieceInterval{50};  // pause between two pieces

}  // namespace

WeightLoader::WeightLoader(EngineApp& app, std::string store_url, double gb_per_second)
    : app_(app),
      store_url_(std::move(store_url)),
      piece_bytes_(
          std::max(1.0, gb_per_second * 1e9 * std::chrono::duration<double>(kPieceInterval).count())),
      client_(http::Client::Create()),
      thread_([this] { Run(); }) {}

WeightLoader::~WeightLoader() {
  stopping_ = true;
  thread_.join();
}

void WeightLoader::Run() {
  double fetched = 0;
  while (!stopping_) {
    const auto load = app_.WithCore([](EngineCore& core, base::TimePoint now) {
      core.AdvanceTo(now);
      return core.orders().CurrentLoad();
    });
    if (load && FetchPiece(*load, &fetched)) {
      fetched = 0;
      app_.WithCore([](EngineCore& core, base::TimePoint now) {
        core.FinishLoad(now);
        return true;
      });
      continue;
    }
    std::this_thread::sleep_for(kPieceInterval);
  }
}

bool WeightLoader::FetchPiece(const ModelVersion& model, double* fetched) {
  http::ClientRequest request;
  request.url = store_url_ + "/v1/weights/" + model.model + "/" + model.version +
                "?bytes=" + std::to_string(static_cast<uint64_t>(piece_bytes_));
  request.timeout = std::chrono::seconds{2};
  // After a refused or failed request, Run tries again after kPieceInterval.
  const auto response = client_->Send(request, nullptr, nullptr);
  const auto body = response && response->status == 200 ? ParseObject(response->body) : std::nullopt;
  if (!body) return false;
  *fetched += static_cast<double>(MemberNumber(*body, "granted_bytes", 0));
  return *fetched >= static_cast<double>(MemberNumber(*body, "size_bytes", 0));
}

}  // namespace cornelplank::standins::engine
