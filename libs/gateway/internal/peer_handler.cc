#include "libs/gateway/internal/peer_handler.h"

#include <algorithm>
#include <thread>

#include "libs/gateway/internal/request_reader.h"

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConfigWaitLimit{1000};  // for a newer configuration to arrive
constexpr milliseconds kConfigPollInterval{10};
constexpr milliseconds kAttemptPollLimit{100};  // after which it is checked whether the caller has left

rpc::ForwardEnd ToEnd(const Failure& failure) {
  return {false, failure.client_error ? "invalid-request" : failure.code, failure.detail, failure.outcome,
          failure.retry_after};
}

rpc::ForwardEnd NotRunEnd(const std::string& code, const std::string& detail) {
  return {false, code, detail, base::Outcome::kNotRun};
}

}  // namespace

bool PeerHandler::AwaitConfig(const GatewayRequest& request) const {
  const base::TimePoint limit = std::min(request.deadline, shared_->clock.Now() + kConfigWaitLimit);
  while (shared_->View().version.seq < request.config_seq) {
    if (shared_->clock.Now() >= limit) return false;
    std::this_thread::sleep_for(kConfigPollInterval);
  }
  return true;
}

rpc::ForwardEnd PeerHandler::OnForward(const rpc::ForwardRequest& forward, rpc::AnswerWriter& writer) {
  shared_->metrics.CountHop();
  GatewayRequest request = FromForward(forward, shared_->clock.Now());
  // Only this VM can run the calls whose tickets it has minted.
  const bool minted_here = request.kind == rpc::ForwardKind::kServiceCall && !request.ticket.empty();
  if (!minted_here && shared_->drain.Refuses(shared_->clock.Now())) {
    return NotRunEnd("entry-leaving", "this VM is shutting down");
  }
  request.deadline = std::min(request.deadline, shared_->drain.LastAnswer());
  const ServingView view = shared_->View();
  if (!view.document) return NotRunEnd("no-configuration", "this VM has not yet learned a configuration");
  const auto& zones = request.visited_zones;
  const bool zone_visited = std::find(zones.begin(), zones.end(), shared_->settings.zone) != zones.end();
  // A call with a ticket is forwarded straight to its owner, also within one zone, and the owner passes it
  // only to an upstream.
  if (zones.empty() || (zone_visited && !minted_here)) return NotRunEnd("no-route", "loop");
  if (!AwaitConfig(request)) {
    return NotRunEnd("older-configuration", "this VM's configuration is older than the request's");
  }
  if (!ResolveClass(*shared_->View().document, &request)) {
    return NotRunEnd("class-not-allowed", "unknown class");
  }
  if (minted_here) request.visited_zones.clear();
  if (request.kind == rpc::ForwardKind::kCompletion) return RunCompletion(request, forward, writer);
  if (request.kind == rpc::ForwardKind::kMintTicket) {
    return WriteServiceAnswer(services_->MintLocally(request), writer);
  }
  const auto service = shared_->View().document->services.find(request.target);
  if (service == shared_->View().document->services.end()) {
    return NotRunEnd("unknown-service", request.target);
  }
  const auto& methods = service->second.idempotent_methods;
  request.idempotent = std::find(methods.begin(), methods.end(), request.method) != methods.end();
  return WriteServiceAnswer(services_->CallInZone(request), writer);
}

rpc::ForwardEnd PeerHandler::RunCompletion(const GatewayRequest& request, const rpc::ForwardRequest& forward,
                                           rpc::AnswerWriter& writer) {
  Failure failure;
  const auto choice = dispatcher_->ChooseRoute(request, {}, &failure);
  if (!choice) return ToEnd(failure);
  const auto attempt =
      dispatcher_->OpenAttempt(request, *choice, forward.attempt_id, forward.resume_tokens, &failure);
  if (!attempt) return ToEnd(failure);
  while (!writer.cancelled()) {
    if (shared_->clock.Now() >= shared_->drain.LastAnswer()) {
      return {false, "entry-leaving", "this VM has shut down", base::Outcome::kUnknown};
    }
    AttemptEvent event = attempt->Next(kAttemptPollLimit);
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

rpc::ForwardEnd PeerHandler::WriteServiceAnswer(const ServiceAnswer& answer, rpc::AnswerWriter& writer) {
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
