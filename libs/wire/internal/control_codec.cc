#include "libs/wire/internal/control_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <vector>

#include "libs/wire/internal/control.capnp.h"

namespace cornelplank::wire {
namespace {

template <typename Message, typename Fill>
std::string Encode(Fill fill) {
  capnp::MallocMessageBuilder builder;
  fill(builder.initRoot<Message>());
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// Decodes a message. Returns nothing when the bytes are malformed.
template <typename Message, typename Value, typename Read>
std::optional<Value> Decode(std::string_view bytes, Read read) {
  if (bytes.size() % sizeof(capnp::word) != 0) return std::nullopt;
  // Cap'n Proto reads aligned words, and the payload is not aligned inside the string that carries it.
  std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
  std::copy_n(bytes.begin(), bytes.size(), reinterpret_cast<char*>(words.data()));
  std::optional<Value> value;
  const auto failure = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
    value = read(reader.getRoot<Message>());
  });
  if (failure != nullptr) return std::nullopt;
  return value;
}

std::string ToString(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

void Fill(const membership::VmListEntry& vm, schema::Vm::Builder builder) {
  builder.setId(vm.id);
  builder.setPartner(vm.partner);
  builder.setRegion(vm.region);
  builder.setZone(vm.zone);
  builder.setRpc(vm.rpc);
  builder.setHttp(vm.http);
  builder.setIncarnation(vm.incarnation);
  builder.setLeaving(vm.state == membership::VmState::kLeaving);
}

membership::VmListEntry Read(schema::Vm::Reader reader) {
  return {ToString(reader.getId()),
          ToString(reader.getPartner()),
          ToString(reader.getRegion()),
          ToString(reader.getZone()),
          ToString(reader.getRpc()),
          ToString(reader.getHttp()),
          reader.getIncarnation(),
          reader.getLeaving() ? membership::VmState::kLeaving : membership::VmState::kLive};
}

/// Packs two 16-bit counts into one field of the schema.
uint32_t PackPair(uint16_t low, uint16_t high) { return static_cast<uint32_t>(high) << 16 | low; }

void Fill(const membership::ZoneLoadSum& sum, schema::ZoneSum::Builder builder) {
  builder.setZone(sum.zone);
  builder.setAge(sum.age);
  builder.setSlots(sum.slots);
  builder.setRunning(sum.running);
  builder.setSeqLag(sum.seq_lag);
  builder.setQueued01(PackPair(sum.queued[0], sum.queued[1]));
  builder.setQueued23(PackPair(sum.queued[2], sum.queued[3]));
  builder.setQueued45(PackPair(sum.queued[4], sum.queued[5]));
  builder.setQueued67(PackPair(sum.queued[6], sum.queued[7]));
}

membership::ZoneLoadSum Read(schema::ZoneSum::Reader reader) {
  static_assert(membership::kSumClasses == 8, "the schema carries eight classes");
  membership::ZoneLoadSum sum;
  sum.zone = reader.getZone();
  sum.age = reader.getAge();
  sum.slots = reader.getSlots();
  sum.running = reader.getRunning();
  sum.seq_lag = reader.getSeqLag();
  const uint32_t pairs[] = {reader.getQueued01(), reader.getQueued23(), reader.getQueued45(),
                            reader.getQueued67()};
  for (size_t i = 0; i < sum.queued.size(); ++i) {
    sum.queued[i] = static_cast<uint16_t>(pairs[i / 2] >> (i % 2 == 0 ? 0 : 16));
  }
  return sum;
}

template <typename List>
unsigned Size(const List& list) {
  return static_cast<unsigned>(list.size());
}

/// Fills the part of a gossip message that most messages don't have.
void FillRare(const membership::GossipMessage& message, schema::Gossip::Builder builder) {
  if (message.wanted_replicas.empty() && message.wanted_zones.empty() && message.vms.empty()) return;
  auto rare = builder.initRare();
  auto replicas = rare.initStaleReplicas(Size(message.wanted_replicas));
  for (unsigned i = 0; i < replicas.size(); ++i) replicas.set(i, message.wanted_replicas[i]);
  auto zones = rare.initStaleZones(Size(message.wanted_zones));
  for (unsigned i = 0; i < zones.size(); ++i) zones.set(i, message.wanted_zones[i]);
  auto vms = rare.initVms(Size(message.vms));
  for (unsigned i = 0; i < vms.size(); ++i) {
    Fill(message.vms[i].entry, vms[i].initVm());
    vms[i].setAge(message.vms[i].age);
  }
}

void FillGossip(const membership::GossipMessage& message, schema::Gossip::Builder builder) {
  builder.setSeq(message.config.seq);
  builder.setDigest(message.config.digest);
  builder.setNamesHash(message.names_hash);
  builder.setVersion(message.version);
  builder.setSeen(message.acked_version);
  builder.setHeadLead(message.entries_to_head);
  builder.setHeadAge(message.head_age);
  builder.setLeaving(message.leaving);
  auto ages = builder.initRegionAges(Size(message.region_ages));
  for (unsigned i = 0; i < ages.size(); ++i) ages.set(i, message.region_ages[i]);
  auto loads = builder.initLoads(Size(message.loads));
  for (unsigned i = 0; i < loads.size(); ++i) {
    loads[i].setIndex(message.loads[i].index);
    loads[i].setRunning(message.loads[i].running);
    loads[i].setQueued(message.loads[i].queued);
    loads[i].setState(static_cast<uint8_t>(message.loads[i].state));
    loads[i].setAge(message.loads[i].age);
  }
  auto demand = builder.initDemand(Size(message.demand));
  for (unsigned i = 0; i < demand.size(); ++i) {
    demand[i].setRate(message.demand[i].rate);
    demand[i].setQueued(message.demand[i].queued);
  }
  auto sums = builder.initSums(Size(message.sums));
  for (unsigned i = 0; i < sums.size(); ++i) Fill(message.sums[i], sums[i]);
  FillRare(message, builder);
}

membership::GossipMessage ReadGossip(schema::Gossip::Reader reader) {
  membership::GossipMessage message;
  message.config = {reader.getSeq(), reader.getDigest()};
  message.names_hash = reader.getNamesHash();
  message.version = reader.getVersion();
  message.acked_version = reader.getSeen();
  message.entries_to_head = reader.getHeadLead();
  message.head_age = reader.getHeadAge();
  message.leaving = reader.getLeaving();
  for (const auto age : reader.getRegionAges()) message.region_ages.push_back(age);
  for (const auto load : reader.getLoads()) {
    const auto state = std::min<uint8_t>(load.getState(), 3);
    message.loads.push_back({load.getIndex(), load.getRunning(), load.getQueued(),
                             static_cast<membership::ReplicaState>(state), load.getAge()});
  }
  for (const auto demand : reader.getDemand()) {
    message.demand.push_back({demand.getRate(), demand.getQueued()});
  }
  for (const auto sum : reader.getSums()) message.sums.push_back(Read(sum));
  const auto rare = reader.getRare();
  for (const auto index : rare.getStaleReplicas()) message.wanted_replicas.push_back(index);
  for (const auto zone : rare.getStaleZones()) message.wanted_zones.push_back(zone);
  for (const auto change : rare.getVms()) message.vms.push_back({Read(change.getVm()), change.getAge()});
  return message;
}

}  // namespace

std::string EncodeVm(const membership::VmListEntry& vm) {
  return Encode<schema::Vm>([&](schema::Vm::Builder builder) { Fill(vm, builder); });
}

std::optional<membership::VmListEntry> DecodeVm(std::string_view bytes) {
  return Decode<schema::Vm, membership::VmListEntry>(bytes,
                                                     [](schema::Vm::Reader reader) { return Read(reader); });
}

std::string EncodeGossip(const membership::GossipMessage& message) {
  return Encode<schema::Gossip>([&](schema::Gossip::Builder builder) { FillGossip(message, builder); });
}

std::optional<membership::GossipMessage> DecodeGossip(std::string_view bytes) {
  return Decode<schema::Gossip, membership::GossipMessage>(bytes, ReadGossip);
}

std::string EncodePull(uint64_t after) {
  return Encode<schema::Pull>([after](schema::Pull::Builder builder) { builder.setAfter(after); });
}

std::optional<uint64_t> DecodePull(std::string_view bytes) {
  return Decode<schema::Pull, uint64_t>(bytes, [](schema::Pull::Reader reader) { return reader.getAfter(); });
}

std::string EncodePullAnswer(const PullAnswer& answer) {
  return Encode<schema::PullAnswer>([&](schema::PullAnswer::Builder builder) {
    if (answer.kind == PullAnswer::Kind::kPage) builder.setPage(answer.text);
    if (answer.kind == PullAnswer::Kind::kSnapshot) builder.setSnapshot(answer.text);
  });
}

std::optional<PullAnswer> DecodePullAnswer(std::string_view bytes) {
  return Decode<schema::PullAnswer, PullAnswer>(bytes, [](schema::PullAnswer::Reader reader) {
    if (reader.isPage()) return PullAnswer{PullAnswer::Kind::kPage, ToString(reader.getPage())};
    if (reader.isSnapshot()) return PullAnswer{PullAnswer::Kind::kSnapshot, ToString(reader.getSnapshot())};
    return PullAnswer{};
  });
}

}  // namespace cornelplank::wire
