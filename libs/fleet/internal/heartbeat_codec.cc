#include "libs/fleet/internal/heartbeat_codec.h"

#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "libs/fleet/internal/beat.capnp.h"

namespace cornelplank::fleet {
namespace {

// Greatest size of an unpacked heartbeat, in words of 8 bytes. A datagram could otherwise demand 64 MB.
constexpr uint64_t kMaxHeartbeatWords = 64 << 10;
// Greatest limit of a replica that is passed on, in requests a second; a greater one limits nothing.
constexpr double kMaxLimitPerSecond = 1e9;

// Greatest amount in a message about a quota; a greater one is cut.
constexpr double kMaxQuotaAmount = 1e12;
// Places of the loads among the pointers of Beat and LoadSum, since they are of one of two types.
constexpr uint32_t kLoadsOfBeat = 3;
constexpr uint32_t kLoadsOfSum = 1;
// Unit in which the age of a replica's statement is passed on, and the age from which it isn't.
constexpr std::chrono::milliseconds kStatedAgeStep{10};
constexpr std::chrono::milliseconds kMaxStatedAge{2500};

uint32_t Clamp(uint64_t value) {
  return static_cast<uint32_t>(std::min<uint64_t>(value, std::numeric_limits<uint32_t>::max()));
}

uint32_t Milliseconds(base::Duration time) {
  const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  return Clamp(static_cast<uint64_t>(std::max<int64_t>(0, count)));
}

void Write(schema::Member::Builder out, const Member& member) {
  out.setAddress(member.address);
  out.setIncarnation(member.incarnation);
  out.setBeat(member.heartbeat_count);
  out.setZone(member.zone);
  out.setState(static_cast<uint8_t>(member.state));
  out.setConfigVersion(member.config_version);
  out.setStoreContact(static_cast<uint8_t>(member.store_contact));
  out.setReplicaLinks(static_cast<uint8_t>(member.replica_links));
}

Member Read(schema::Member::Reader in) {
  Member member;
  member.address = in.getAddress();
  member.incarnation = in.getIncarnation();
  member.heartbeat_count = in.getBeat();
  member.zone = in.getZone();
  const uint8_t state = std::min<uint8_t>(in.getState(), static_cast<uint8_t>(MemberState::kLeaving));
  member.state = static_cast<MemberState>(state);
  member.config_version = in.getConfigVersion();
  const uint8_t contact =
      std::min<uint8_t>(in.getStoreContact(), static_cast<uint8_t>(StoreContact::kFailing));
  member.store_contact = static_cast<StoreContact>(contact);
  if (in.getReplicaLinks() == static_cast<uint8_t>(ReplicaLinkState::kLost)) {
    member.replica_links = ReplicaLinkState::kLost;
  }
  return member;
}

void Write(schema::Beat::Builder out, const serving::QuarantineReport& report) {
  auto crashes = out.initCrashes(report.crashes.size());
  for (size_t i = 0; i < report.crashes.size(); ++i) {
    const serving::CrashObservation& crash = report.crashes[i];
    crashes[i].setReporter(crash.reporter);
    crashes[i].setIncarnation(crash.incarnation);
    crashes[i].setSequence(crash.sequence);
    crashes[i].setReplica(crash.replica_key);
    crashes[i].setAgeMs(Milliseconds(crash.age));
    auto parts = crashes[i].initParts(crash.parts.size());
    for (size_t j = 0; j < crash.parts.size(); ++j) parts.set(j, crash.parts[j]);
  }
  auto clearances = out.initClearances(report.clearances.size());
  for (size_t i = 0; i < report.clearances.size(); ++i) {
    clearances[i].setPart(report.clearances[i].part);
    clearances[i].setAgeMs(Milliseconds(report.clearances[i].age));
  }
  auto verdicts = out.initVerdicts(report.verdicts.size());
  for (size_t i = 0; i < report.verdicts.size(); ++i) {
    verdicts[i].setPart(report.verdicts[i].part);
    verdicts[i].setLevel(report.verdicts[i].level);
    verdicts[i].setAgeMs(Milliseconds(report.verdicts[i].age));
  }
}

serving::QuarantineReport ReadQuarantine(schema::Beat::Reader in) {
  serving::QuarantineReport report;
  for (const auto crash : in.getCrashes()) {
    serving::CrashObservation& read = report.crashes.emplace_back();
    read.reporter = crash.getReporter();
    read.incarnation = crash.getIncarnation();
    read.sequence = crash.getSequence();
    read.replica_key = crash.getReplica();
    for (const uint64_t part : crash.getParts()) read.parts.push_back(part);
    read.age = std::chrono::milliseconds(crash.getAgeMs());
  }
  for (const auto clearance : in.getClearances()) {
    report.clearances.push_back({clearance.getPart(), std::chrono::milliseconds(clearance.getAgeMs())});
  }
  for (const auto verdict : in.getVerdicts()) {
    report.verdicts.push_back(
        {verdict.getPart(), verdict.getLevel(), std::chrono::milliseconds(verdict.getAgeMs())});
  }
  return report;
}

void Write(schema::Beat::Builder out, const std::vector<serving::LimitStatement>& statements) {
  auto limits = out.initLimits(static_cast<uint32_t>(statements.size()));
  for (uint32_t i = 0; i < statements.size(); ++i) {
    limits[i].setReplica(statements[i].replica_key);
    limits[i].setLimited(statements[i].per_second.has_value());
    limits[i].setMilliPerSecond(
        static_cast<uint64_t>(std::min(kMaxLimitPerSecond, statements[i].per_second.value_or(0)) * 1000));
    limits[i].setAgeMs(Milliseconds(statements[i].age));
    limits[i].setRejectionsKnown(statements[i].rejections_known);
    limits[i].setRejectionsLimited(statements[i].rejections_per_second.has_value());
    limits[i].setRejectionsPerSecond(
        static_cast<uint32_t>(std::min(kMaxLimitPerSecond, statements[i].rejections_per_second.value_or(0))));
  }
}

std::vector<serving::LimitStatement> ReadLimits(schema::Beat::Reader in) {
  std::vector<serving::LimitStatement> statements;
  for (const auto limit : in.getLimits()) {
    serving::LimitStatement& read = statements.emplace_back();
    read.replica_key = limit.getReplica();
    if (limit.getLimited()) read.per_second = static_cast<double>(limit.getMilliPerSecond()) / 1000;
    read.age = std::chrono::milliseconds(limit.getAgeMs());
    read.rejections_known = limit.getRejectionsKnown();
    if (limit.getRejectionsLimited()) read.rejections_per_second = limit.getRejectionsPerSecond();
  }
  return statements;
}

template <typename Builder>
void WriteWork(Builder out, const serving::ReplicaWork& load) {
  out.setReplica(load.replica_key);
  out.setRequests(load.work.requests);
  out.setPrefillTokens(Clamp(load.work.prefill_tokens));
  out.setMemoryTokens(Clamp(load.work.memory_tokens));
}

void WritePace(schema::PacedLoad::Builder out, const pace::PaceReport& pace) {
  if (pace.observations > 0) {
    out.setLog2Unit(pace.log2_unit);
    out.setObservations(pace.observations);
  }
  if (pace.percent > 0 && pace.age < kMaxStatedAge) {
    out.setStatedAge(static_cast<uint8_t>(pace.age / kStatedAgeStep));
    out.setStatedPercent(pace.percent);
  }
}

/// Writes the loads to a pointer field of `parent`. Loads that say nothing of speeds take no bytes for it.
void WriteLoads(capnp::AnyStruct::Builder parent, uint32_t field,
                const std::vector<serving::ReplicaWork>& loads) {
  const auto count = static_cast<uint32_t>(loads.size());
  auto pointer = parent.getPointerSection()[field];
  if (std::all_of(loads.begin(), loads.end(), [](const auto& load) { return load.pace.empty(); })) {
    auto out = pointer.initAs<capnp::List<schema::Load>>(count);
    for (uint32_t i = 0; i < count; ++i) WriteWork(out[i], loads[i]);
    return;
  }
  auto out = pointer.initAs<capnp::List<schema::PacedLoad>>(count);
  for (uint32_t i = 0; i < count; ++i) {
    WriteWork(out[i], loads[i]);
    WritePace(out[i], loads[i].pace);
  }
}

std::vector<serving::ReplicaWork> ReadLoads(capnp::AnyStruct::Reader parent, uint32_t field) {
  std::vector<serving::ReplicaWork> loads;
  const auto pointers = parent.getPointerSection();
  if (field >= pointers.size()) return loads;
  for (const auto load : pointers[field].getAs<capnp::List<schema::PacedLoad>>()) {
    loads.push_back({load.getReplica(),
                     {load.getRequests(), load.getPrefillTokens(), load.getMemoryTokens()},
                     {load.getLog2Unit(), load.getObservations(), load.getStatedPercent(),
                      kStatedAgeStep * load.getStatedAge()}});
  }
  return loads;
}

void Write(schema::LoadSum::Builder out, const LoadSum& sum) {
  out.setWholeRegion(sum.whole_region);
  out.setAgeMs(Milliseconds(sum.age));
  auto vms = out.initVms(static_cast<uint32_t>(sum.vms.size()));
  for (uint32_t i = 0; i < sum.vms.size(); ++i) {
    vms[i].setAddress(sum.vms[i].address);
    vms[i].setBeat(sum.vms[i].heartbeat_count);
  }
  WriteLoads(kj::cp(out), kLoadsOfSum, sum.loads);
}

LoadSum Read(schema::LoadSum::Reader in) {
  LoadSum sum;
  sum.whole_region = in.getWholeRegion();
  sum.age = std::chrono::milliseconds(in.getAgeMs());
  for (const auto vm : in.getVms()) sum.vms.push_back({vm.getAddress(), vm.getBeat()});
  sum.loads = ReadLoads(in, kLoadsOfSum);
  return sum;
}

uint64_t Thousandths(double amount) {
  return static_cast<uint64_t>(std::llround(std::clamp(amount, 0.0, kMaxQuotaAmount) * 1000));
}

double FromThousandths(uint64_t amount) {
  return std::min(kMaxQuotaAmount, static_cast<double>(amount) / 1000);
}

void Write(schema::QuotaBeat::Builder out, const std::vector<tenancy::QuotaMessage>& messages) {
  auto quotas = out.initQuotas(static_cast<uint32_t>(messages.size()));
  for (uint32_t i = 0; i < messages.size(); ++i) {
    const tenancy::QuotaMessage& message = messages[i];
    quotas[i].setKind(static_cast<uint8_t>(message.kind));
    quotas[i].setForwarded(message.forwarded);
    quotas[i].setTenant(message.tenant);
    quotas[i].setSequence(message.sequence);
    quotas[i].setOrigin(message.origin);
    quotas[i].setMilliAmount(Thousandths(message.amount));
    quotas[i].setMilliExtra(Thousandths(message.extra));
    quotas[i].setMilliDemand(Thousandths(message.demand));
    quotas[i].setRetryMs(Milliseconds(message.retry_after));
    quotas[i].setRegionVms(message.region_vms);
    quotas[i].setElsewhere(message.elsewhere);
  }
}

/// Leaves out messages of a kind that this release doesn't know.
std::vector<tenancy::QuotaMessage> ReadQuotas(schema::QuotaBeat::Reader in) {
  std::vector<tenancy::QuotaMessage> messages;
  for (const auto quota : in.getQuotas()) {
    if (quota.getKind() > static_cast<uint8_t>(tenancy::QuotaMessage::kLastKind)) continue;
    tenancy::QuotaMessage& message = messages.emplace_back();
    message.kind = static_cast<tenancy::QuotaMessage::Kind>(quota.getKind());
    message.forwarded = quota.getForwarded();
    message.tenant = quota.getTenant();
    message.sequence = quota.getSequence();
    message.origin = quota.getOrigin();
    message.amount = FromThousandths(quota.getMilliAmount());
    message.extra = FromThousandths(quota.getMilliExtra());
    message.demand = FromThousandths(quota.getMilliDemand());
    message.retry_after = std::chrono::milliseconds(quota.getRetryMs());
    message.region_vms = std::min(quota.getRegionVms(), tenancy::kMaxRegionVms);
    message.elsewhere = quota.getElsewhere();
  }
  return messages;
}

void Write(schema::Origins::Builder out, const OriginMessages& messages) {
  auto records = out.initRecords(static_cast<uint32_t>(messages.records.size()));
  for (uint32_t i = 0; i < messages.records.size(); ++i) {
    const OriginRecords& of_version = messages.records[i];
    records[i].setSoftware(of_version.software);
    auto attempts = records[i].initAttempts(static_cast<uint32_t>(of_version.attempts.size()));
    for (uint32_t j = 0; j < of_version.attempts.size(); ++j) attempts.set(j, of_version.attempts[j]);
  }
  auto queries = out.initQueries(static_cast<uint32_t>(messages.queries.size()));
  for (uint32_t i = 0; i < messages.queries.size(); ++i) {
    const OriginQuery& query = messages.queries[i];
    queries[i].setSequence(query.sequence);
    queries[i].setAttempt(query.attempt);
    auto services = queries[i].initServices(static_cast<uint32_t>(query.services.size()));
    for (uint32_t j = 0; j < query.services.size(); ++j) services.set(j, query.services[j]);
  }
  auto answers = out.initAnswers(static_cast<uint32_t>(messages.answers.size()));
  for (uint32_t i = 0; i < messages.answers.size(); ++i) {
    answers[i].setSequence(messages.answers[i].sequence);
    answers[i].setSoftware(messages.answers[i].software);
    answers[i].setKind(static_cast<uint8_t>(messages.answers[i].kind));
  }
}

/// Leaves out what is beyond the bounds and answers of a kind that this release doesn't know.
OriginMessages Read(schema::Origins::Reader in) {
  OriginMessages messages;
  size_t attempts = 0;
  for (const auto records : in.getRecords()) {
    if (messages.records.size() == OriginMessages::kMaxGroups) break;
    OriginRecords& read = messages.records.emplace_back();
    read.software = records.getSoftware();
    for (const uint64_t attempt : records.getAttempts()) {
      if (attempts == OriginMessages::kMaxAttempts) break;
      read.attempts.push_back(attempt);
      ++attempts;
    }
  }
  for (const auto query : in.getQueries()) {
    if (messages.queries.size() == OriginMessages::kMaxQueries) break;
    OriginQuery& read = messages.queries.emplace_back();
    read.sequence = query.getSequence();
    read.attempt = query.getAttempt();
    const auto services = query.getServices();
    if (services.size() > OriginMessages::kMaxServices) continue;  // no history may answer for a part of them
    for (const uint64_t service : services) read.services.push_back(service);
  }
  for (const auto answer : in.getAnswers()) {
    if (messages.answers.size() == OriginMessages::kMaxQueries) break;
    if (answer.getKind() > static_cast<uint8_t>(OriginAnswer::Kind::kLastKind)) continue;
    messages.answers.push_back(
        {answer.getSequence(), static_cast<OriginAnswer::Kind>(answer.getKind()), answer.getSoftware()});
  }
  return messages;
}

Heartbeat Read(schema::Beat::Reader in) {
  Heartbeat heartbeat;
  heartbeat.sender = Read(in.getSender());
  for (const auto member : in.getMembers()) heartbeat.members.push_back(Read(member));
  for (const auto offer : in.getOffers()) {
    heartbeat.wait_reports.push_back({offer.getRegion(), offer.getService(),
                                      std::chrono::milliseconds(offer.getWaitMs()),
                                      std::chrono::milliseconds(offer.getAgeMs())});
  }
  if (in.getHasLoads()) {
    heartbeat.loads = ReadLoads(in, kLoadsOfBeat);
  }
  if (in.hasSum()) heartbeat.load_sum = Read(in.getSum());
  heartbeat.quarantine = ReadQuarantine(in);
  heartbeat.limits = ReadLimits(in);
  return heartbeat;
}

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  capnp::MallocMessageBuilder message;
  // Each longer type only where it is needed.
  if (!heartbeat.origins.empty()) {
    Write(message.initRoot<schema::OriginBeat>().initOrigins(), heartbeat.origins);
  } else if (!heartbeat.quotas.empty()) {
    message.initRoot<schema::QuotaBeat>();
  } else {
    message.initRoot<schema::Beat>();
  }
  if (!heartbeat.quotas.empty()) Write(message.getRoot<schema::QuotaBeat>(), heartbeat.quotas);
  auto out = message.getRoot<schema::Beat>();
  Write(out.initSender(), heartbeat.sender);
  auto members = out.initMembers(heartbeat.members.size());
  for (size_t i = 0; i < heartbeat.members.size(); ++i) Write(members[i], heartbeat.members[i]);
  auto offers = out.initOffers(heartbeat.wait_reports.size());
  for (size_t i = 0; i < heartbeat.wait_reports.size(); ++i) {
    offers[i].setRegion(heartbeat.wait_reports[i].region);
    offers[i].setService(heartbeat.wait_reports[i].service);
    offers[i].setWaitMs(Milliseconds(heartbeat.wait_reports[i].wait));
    offers[i].setAgeMs(Milliseconds(heartbeat.wait_reports[i].age));
  }
  out.setHasLoads(heartbeat.loads.has_value());
  if (heartbeat.loads) {
    WriteLoads(kj::cp(out), kLoadsOfBeat, *heartbeat.loads);
  }
  if (heartbeat.load_sum) Write(out.initSum(), *heartbeat.load_sum);
  Write(out, heartbeat.quarantine);
  Write(out, heartbeat.limits);
  kj::VectorOutputStream bytes;
  capnp::writePackedMessage(bytes, message);
  const auto array = bytes.getArray();
  return std::string(reinterpret_cast<const char*>(array.begin()), array.size());
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  std::optional<Heartbeat> heartbeat;
  // Cap'n Proto reports malformed bytes by exception.
  const auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxHeartbeatWords;
    capnp::PackedMessageReader message(in, options);
    heartbeat = Read(message.getRoot<schema::Beat>());
    heartbeat->quotas = ReadQuotas(message.getRoot<schema::QuotaBeat>());
    heartbeat->origins = Read(message.getRoot<schema::OriginBeat>().getOrigins());
  });
  if (failure != nullptr) return std::nullopt;
  return heartbeat;
}

}  // namespace cornelplank::fleet
