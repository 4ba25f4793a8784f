#include "libs/gateway/internal/peer_handler.h"

#include <algorithm>
#include <thread>

#include "libs/gateway/internal/request_reader.h"

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCatchUpLimit{1000};
constexpr milliseconds kCatchUpStep{10};
constexpr milliseconds kStep{100};

rpc::ForwardEnd ToEnd(const Failure& failure) {
  return {false, failure.client_error ? "invalid-request" : failure.code, failure.detail, failure.outcome,
          failure.retry_after};
}

rpc::ForwardEnd NotRun(const std::string& code, const std::string& detail) {
  return {false, code, detail, base::Outcome::kNotRun};
}

}  // namespace

/// A request that was accepted under a newer configuration waits until this VM has reached it.
bool PeerHandler::CatchUp(const Work& work) const {
  const base::TimePoint limit = std::min(work.deadline, core_->clock.Now() + kCatchUpLimit);
  while (core_->View().version.seq < work.config_seq) {
    if (core_->clock.Now() >= limit) return false;
    std::this_thread::sleep_for(kCatchUpStep);
  }
  return true;
}

rpc::ForwardEnd PeerHandler::OnForward(const rpc::ForwardRequest& request, rpc::AnswerWriter& writer) {
  core_->metrics.CountHop();
  Work work = FromForward(request, core_->clock.Now());
  const NodeView view = core_->View();
  if (!view.document) return NotRun("no-configuration", "this VM has not yet learned a configuration");
  const auto& zones = work.visited_zones;
  const bool relay = work.kind == rpc::ForwardKind::kServiceCall && !work.ticket.empty();
  const bool came_back = std::find(zones.begin(), zones.end(), core_->settings.zone) != zones.end();
  // A ticket goes straight to its owner, also inside one zone, and from there only to an upstream.
  if (zones.empty() || (came_back && !relay)) return NotRun("no-route", "loop");
  if (!CatchUp(work)) {
    return NotRun("older-configuration", "this VM's configuration is older than the request's");
  }
  if (!ResolveClass(*core_->View().document, &work)) return NotRun("class-not-allowed", "unknown class");
  if (relay) work.visited_zones.clear();
  if (work.kind == rpc::ForwardKind::kCompletion) return Complete(work, request, writer);
  if (work.kind == rpc::ForwardKind::kMintTicket) return AnswerService(services_->MintHere(work), writer);
  const auto service = core_->View().document->services.find(work.target);
  if (service == core_->View().document->services.end()) return NotRun("unknown-service", work.target);
  const auto& methods = service->second.idempotent_methods;
  work.idempotent = std::find(methods.begin(), methods.end(), work.method) != methods.end();
  return AnswerService(services_->CallHere(work), writer);
}

rpc::ForwardEnd PeerHandler::Complete(const Work& work, const rpc::ForwardRequest& request,
                                      rpc::AnswerWriter& writer) {
  Failure failure;
  const auto choice = dispatcher_->Choose(work, {}, &failure);
  if (!choice) return ToEnd(failure);
  const auto attempt = dispatcher_->Open(work, *choice, request.attempt_id, request.resume_tokens, &failure);
  if (!attempt) return ToEnd(failure);
  while (!writer.cancelled()) {
    AttemptEvent event = attempt->Next(kStep);
    switch (event.kind) {
      case AttemptEvent::Kind::kHead:
        writer.Head(event.status,
                    {{"Served-By", attempt->place().served_by}, {"Served-Region", attempt->place().region}});
        break;
      case AttemptEvent::Kind::kData:
        writer.Data(event.data);
        break;
      case AttemptEvent::Kind::kEnd:
        return {true, "", "", base::Outcome::kRan};
      case AttemptEvent::Kind::kFailed:
        return ToEnd(event.failure);
      case AttemptEvent::Kind::kNothing:
        break;
    }
  }
  return {false, "cancelled", "the caller has left", base::Outcome::kUnknown};
}

rpc::ForwardEnd PeerHandler::AnswerService(const ServiceAnswer& answer, rpc::AnswerWriter& writer) {
  if (!answer.answered) return ToEnd(answer.failure);
  rpc::HeaderList headers = {{"Content-Type", answer.content_type},
                             {"Served-By", answer.place.served_by},
                             {"Served-Region", answer.place.region}};
  if (!answer.ticket.empty()) headers.emplace_back("Idempotency-Key", answer.ticket);
  writer.Head(answer.status, headers);
  writer.Data(answer.body);
  return {true, "", "", base::Outcome::kRan};
}

}  // namespace cornelplank::gateway
