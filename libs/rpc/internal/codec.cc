#include "libs/rpc/internal/codec.h"

#include <algorithm>
#include <limits>

namespace cornelplank::rpc {
namespace {

uint32_t ToMilliseconds(std::chrono::milliseconds time) {
  return static_cast<uint32_t>(std::clamp<int64_t>(time.count(), 0, std::numeric_limits<uint32_t>::max()));
}

std::string ToString(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

}  // namespace

HeaderList DecodeHeaders(capnp::List<wire::Header>::Reader list) {
  HeaderList headers;
  headers.reserve(list.size());
  for (const auto header : list) {
    headers.emplace_back(ToString(header.getName()), ToString(header.getValue()));
  }
  return headers;
}

void Encode(const ForwardRequest& request, wire::Forward::Builder builder) {
  builder.setAttemptId(request.attempt_id);
  builder.setKind(static_cast<wire::Kind>(request.kind));
  builder.setRemainingMs(ToMilliseconds(request.remaining));
  builder.setConfigSeq(request.config_seq);
  auto zones = builder.initVisitedZones(static_cast<unsigned>(request.visited_zones.size()));
  for (unsigned i = 0; i < request.visited_zones.size(); ++i) zones.set(i, request.visited_zones[i]);
  builder.setClientId(request.client_id);
  builder.setPartner(request.partner);
  builder.setPriorityClass(request.priority_class);
  builder.setHome(request.home);
  builder.setResidency(request.residency);
  builder.setTarget(request.target);
  builder.setMethod(request.method);
  builder.setPath(request.path);
  EncodeHeaders(request.headers, builder);
  builder.setBody(ToData(request.body));
  builder.setTicket(request.ticket);
  builder.setResumeTokens(request.resume_tokens);
}

ForwardRequest Decode(wire::Forward::Reader reader) {
  ForwardRequest request;
  request.attempt_id = ToString(reader.getAttemptId());
  request.kind = static_cast<ForwardKind>(reader.getKind());
  request.remaining = std::chrono::milliseconds{reader.getRemainingMs()};
  request.config_seq = reader.getConfigSeq();
  for (const auto zone : reader.getVisitedZones()) request.visited_zones.push_back(ToString(zone));
  request.client_id = ToString(reader.getClientId());
  request.partner = ToString(reader.getPartner());
  request.priority_class = ToString(reader.getPriorityClass());
  request.home = ToString(reader.getHome());
  request.residency = ToString(reader.getResidency());
  request.target = ToString(reader.getTarget());
  request.method = ToString(reader.getMethod());
  request.path = ToString(reader.getPath());
  request.headers = DecodeHeaders(reader.getHeaders());
  request.body = rpc::ToString(reader.getBody());
  request.ticket = ToString(reader.getTicket());
  request.resume_tokens = reader.getResumeTokens();
  return request;
}

void Encode(const PeerIdentity& identity, wire::Identity::Builder builder) {
  builder.setVm(identity.vm);
  builder.setIncarnation(identity.incarnation);
  builder.setCard(ToData(identity.metadata));
}

PeerIdentity Decode(wire::Identity::Reader reader) {
  return {ToString(reader.getVm()), reader.getIncarnation(), rpc::ToString(reader.getCard())};
}

void Encode(const ForwardEnd& end, wire::End::Builder builder) {
  builder.setWhole(end.complete);
  builder.setCode(end.code);
  builder.setDetail(end.detail);
  builder.setOutcome(static_cast<wire::Outcome>(end.outcome));
  builder.setRetryAfterMs(ToMilliseconds(end.retry_after));
}

ForwardEnd Decode(wire::End::Reader reader) {
  return {reader.getWhole(), ToString(reader.getCode()), ToString(reader.getDetail()),
          static_cast<base::Outcome>(reader.getOutcome()),
          std::chrono::milliseconds{reader.getRetryAfterMs()}};
}

}  // namespace cornelplank::rpc
