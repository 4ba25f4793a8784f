#include "libs/gateway/internal/state_dump.h"

#include <nlohmann/json.hpp>

namespace cornelplank::gateway {
namespace {

using nlohmann::json;

/// Age in ms; -1 when `then` was never set.
int64_t AgeMs(base::TimePoint then, base::TimePoint now) {
  if (then == base::TimePoint{} || then == base::TimePoint::min()) return -1;
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
}

json FlowJson(const admission::FlowKey& key) { return key.partner + "/" + key.priority_class; }

}  // namespace

json DumpStatus(SharedState* shared) {
  const ServingView view = shared->View();
  const char* state = shared->draining.load() ? "leaving" : (view.routing_snapshot ? "serving" : "starting");
  return {{"vm", shared->settings.vm},
          {"partner", shared->settings.partner},
          {"region", shared->settings.region},
          {"zone", shared->settings.zone},
          {"incarnation", std::to_string(shared->incarnation)},
          {"state", state},
          {"home_only", view.home_only},
          {"config",
           {{"seq", view.version.seq}, {"version", view.version.number}, {"digest", view.version.digest}}},
          {"clients", shared->clients.size()},
          {"hops_in_progress", shared->node ? shared->node->incoming_calls() : 0},
          {"hops_received", static_cast<uint64_t>(shared->metrics.hops())}};
}

json DumpConfig(SharedState* shared) {
  json verdicts = json::array();
  json dump;
  const base::TimePoint now = shared->clock.Now();
  {
    const std::lock_guard<std::mutex> lock(shared->config.mutex);
    constexpr size_t kMaxVerdicts = 20;  // the latest ones
    if (shared->config.store) {
      const auto& history = shared->config.store->history();
      for (size_t i = history.size() > kMaxVerdicts ? history.size() - kMaxVerdicts : 0; i < history.size();
           ++i) {
        verdicts.push_back({{"seq", history[i].entry.seq},
                            {"author", history[i].entry.author},
                            {"base", history[i].entry.base},
                            {"accepted", history[i].accepted},
                            {"version", history[i].number},
                            {"reason", config::CodeName(history[i].reason.code)},
                            {"detail", history[i].reason.detail}});
      }
      dump["blocked"] = shared->config.store->blocked();
    }
    dump["last_reason"] = shared->config.last_reason;
  }
  dump["verdicts"] = std::move(verdicts);
  const std::lock_guard<std::mutex> lock(shared->fleet.mutex);
  const auto& confirmation = shared->fleet.gossip.confirmation();
  dump["confirmed"] = shared->fleet.gossip.IsConfirmed(shared->fleet.table, now);
  dump["platform_confirmed"] = confirmation.IsPlatformConfirmed(now);
  dump["head_seq"] = confirmation.head_seq();
  dump["digest_conflicts"] = shared->fleet.gossip.digest_conflicts();
  dump["reader"] = membership::ReaderSelector::IsOwnReader(shared->fleet.table);
  dump["clients_revision"] = shared->clients.revision();
  return dump;
}

json DumpVms(SharedState* shared) {
  json vms = json::array();
  const base::TimePoint now = shared->clock.Now();
  const std::lock_guard<std::mutex> lock(shared->fleet.mutex);
  for (const auto& [id, vm] : shared->fleet.table.vms()) {
    vms.push_back({{"id", id},
                   {"zone", vm.entry.zone},
                   {"rpc", vm.entry.rpc},
                   {"http", vm.entry.http},
                   {"incarnation", std::to_string(vm.entry.incarnation)},
                   {"leaving", vm.entry.state == membership::VmState::kLeaving},
                   {"listed", vm.listed},
                   {"suspected", vm.suspected},
                   {"last_answer_age_ms", AgeMs(vm.last_answer, now)}});
  }
  return vms;
}

json DumpReplicas(SharedState* shared) {
  json replicas = json::array();
  const ServingView view = shared->View();
  if (!view.routing_snapshot) return replicas;
  const base::TimePoint now = shared->clock.Now();
  const auto& names = view.routing_snapshot->Names();
  for (const upstreams::ReplicaRecord& replica : view.routing_snapshot->Upstreams().Replicas()) {
    if (replica.zone != view.routing_snapshot->OwnZone()) continue;
    const upstreams::LastReportedLoad load = replica.live->Load();
    replicas.push_back({{"id", replica.id},
                        {"address", replica.address},
                        {"slots", replica.slots},
                        {"running", load.running},
                        {"queued", load.queued},
                        {"report_age_ms", AgeMs(load.measured, now)},
                        {"own_in_flight", replica.live->InFlight()},
                        {"leaving", replica.live->Leaving()},
                        {"ejected", replica.live->Ejected()},
                        {"ramp", replica.live->RampShare(now)}});
  }
  json zones = json::array();
  for (upstreams::Index i = 0; i < names.ZoneCount(); ++i) {
    const auto& cell = view.routing_snapshot->Upstreams().ZoneState(i);
    const upstreams::LastReportedZoneLoad sum = cell->Sum();
    zones.push_back({{"zone", names.Zones()[i].zone},
                     {"region", names.Zones()[i].region},
                     {"reachable", cell->Reachable()},
                     {"slots", sum.slots},
                     {"running", sum.running},
                     {"queued", sum.queued},
                     {"sum_age_ms", AgeMs(sum.measured, now)},
                     {"own_forwards", cell->InFlight()}});
  }
  return {{"own_zone", replicas}, {"zones", zones}};
}

json DumpAdmission(SharedState* shared) {
  json flows = json::array();
  for (const auto& flow : shared->admission.Status()) {
    flows.push_back({{"pool", flow.pool},
                     {"flow", FlowJson(flow.key)},
                     {"guaranteed_slots", flow.guaranteed},
                     {"running", flow.running},
                     {"waiting", flow.waiting}});
  }
  json displacements = json::array();
  for (const auto& [key, counts] : shared->admission.Displacements()) {
    using admission::Displacement;
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(counts.delay);
    displacements.push_back({{"cause", FlowJson(key.cause)},
                             {"bearer", FlowJson(key.affected)},
                             {"refused", counts.of(Displacement::kRefused)},
                             {"delayed", counts.of(Displacement::kDelayed)},
                             {"cancelled", counts.of(Displacement::kCancelled)},
                             {"delay_ms", delay.count()}});
  }
  return {{"flows", flows}, {"displacements", displacements}, {"service_limits", shared->limits.Limits()}};
}

json DumpTickets(SharedState* shared) {
  const std::lock_guard<std::mutex> lock(shared->tickets.mutex);
  return {{"open", shared->tickets.table.open()},
          {"entries", shared->tickets.table.size()},
          {"result_bytes", shared->tickets.table.result_bytes()}};
}

json DumpRetries(SharedState* shared) {
  const std::lock_guard<std::mutex> lock(shared->retry.mutex);
  return {{"retry_tokens", shared->retry.retries.tokens()}, {"hedge_tokens", shared->retry.hedges.tokens()}};
}

}  // namespace cornelplank::gateway
