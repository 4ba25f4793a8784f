#pragma once

#include "libs/rpc/internal/message.h"
#include "libs/rpc/internal/peer.capnp.h"

namespace cornelplank::rpc {

// Conversions between the types of this library and the structs of the schema.

void Encode(const ForwardRequest& request, wire::Forward::Builder builder);
ForwardRequest Decode(wire::Forward::Reader reader);

void Encode(const PeerIdentity& identity, wire::Identity::Builder builder);
PeerIdentity Decode(wire::Identity::Reader reader);

void Encode(const ForwardEnd& end, wire::End::Builder builder);
ForwardEnd Decode(wire::End::Reader reader);

template <typename Builder>
void EncodeHeaders(const HeaderList& headers, Builder& builder) {
  auto list = builder.initHeaders(static_cast<unsigned>(headers.size()));
  for (unsigned i = 0; i < headers.size(); ++i) {
    list[i].setName(headers[i].first);
    list[i].setValue(headers[i].second);
  }
}
HeaderList DecodeHeaders(capnp::List<wire::Header>::Reader list);

inline capnp::Data::Reader ToData(std::string_view bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}
inline std::string ToString(capnp::Data::Reader bytes) {
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

}  // namespace cornelplank::rpc
