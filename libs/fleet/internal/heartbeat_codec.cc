#include "libs/fleet/internal/heartbeat_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <limits>

#include "libs/fleet/internal/beat.capnp.h"

namespace cornelplank::fleet {
namespace {

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
  return member;
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
    heartbeat.loads.emplace();
    for (const auto load : in.getLoads()) {
      heartbeat.loads->push_back(
          {load.getReplica(), {load.getRequests(), load.getPrefillTokens(), load.getMemoryTokens()}});
    }
  }
  return heartbeat;
}

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<schema::Beat>();
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
    auto loads = out.initLoads(heartbeat.loads->size());
    for (size_t i = 0; i < heartbeat.loads->size(); ++i) {
      const auto& share = (*heartbeat.loads)[i];
      loads[i].setReplica(share.replica_key);
      loads[i].setRequests(share.work.requests);
      loads[i].setPrefillTokens(Clamp(share.work.prefill_tokens));
      loads[i].setMemoryTokens(Clamp(share.work.memory_tokens));
    }
  }
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
    capnp::PackedMessageReader message(in);
    heartbeat = Read(message.getRoot<schema::Beat>());
  });
  if (failure != nullptr) return std::nullopt;
  return heartbeat;
}

}  // namespace cornelplank::fleet
