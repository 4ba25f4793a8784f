#include "standins/service/core/service_core.h"

namespace cornelplank::standins::service {

InjectedFault ServiceCore::ConsumeFault() {
  const InjectedFault taken = fault_;
  if (fault_.remaining > 0 && --fault_.remaining == 0) fault_ = InjectedFault{};
  return taken;
}

uint64_t ServiceCore::RecordArrival(const std::string& key, const std::string& method,
                                    const std::string& path, base::TimePoint now) {
  log_.push_back({key, method, path, "waiting", Milliseconds(now)});
  return log_.size() - 1;
}

uint64_t ServiceCore::Execute(uint64_t call, base::TimePoint now) {
  CallRecord& record = log_.at(call);
  record.result = "executed";
  record.executed_ms = Milliseconds(now);
  return ++executions_[record.key];
}

void ServiceCore::EndWithoutExecution(uint64_t call, const std::string& result) {
  log_.at(call).result = result;
}

int64_t ServiceCore::Milliseconds(base::TimePoint now) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - start_).count();
}

}  // namespace cornelplank::standins::service
