#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "libs/gateway/internal/core.h"
#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/service_calls.h"

namespace cornelplank::gateway {

/// Answers a control message: kind and payload from a peer, answer back. Runs on the event loop's thread.
using ControlHandler =
    std::function<std::string(const rpc::PeerIdentity& caller, uint16_t kind, std::string_view payload)>;

/// The receiving side of hops. Every rule is judged again here, by this VM's own configuration.
class PeerHandler final : public rpc::NodeHandler {
 public:
  PeerHandler(Core* core, const Dispatcher* dispatcher, ServiceCalls* services, ControlHandler control)
      : core_(core), dispatcher_(dispatcher), services_(services), control_(std::move(control)) {}

  rpc::ForwardEnd OnForward(const rpc::ForwardRequest& request, rpc::AnswerWriter& writer) override;
  std::string OnControl(const rpc::PeerIdentity& caller, uint16_t kind, std::string_view payload) override {
    return control_(caller, kind, payload);
  }

 private:
  bool CatchUp(const Work& work) const;
  rpc::ForwardEnd Complete(const Work& work, const rpc::ForwardRequest& request, rpc::AnswerWriter& writer);
  rpc::ForwardEnd AnswerService(const ServiceAnswer& answer, rpc::AnswerWriter& writer);

  Core* core_;
  const Dispatcher* dispatcher_;
  ServiceCalls* services_;
  ControlHandler control_;
};

}  // namespace cornelplank::gateway
