#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "libs/gateway/internal/dispatcher.h"
#include "libs/gateway/internal/service_calls.h"
#include "libs/gateway/internal/shared_state.h"

namespace cornelplank::gateway {

/// Returns the payload of the answer to a control message. Runs on the thread of the RPC event loop.
using ControlHandler =
    std::function<std::string(const rpc::PeerIdentity& caller, uint16_t kind, std::string_view payload)>;

/// Serves requests that peers forward to this VM. Routing, residency and admission rules are checked again
/// here, against this VM's own configuration.
class PeerHandler final : public rpc::NodeHandler {
 public:
  PeerHandler(SharedState* shared, const Dispatcher* dispatcher, ServiceCalls* services,
              ControlHandler control)
      : shared_(shared), dispatcher_(dispatcher), services_(services), control_(std::move(control)) {}

  rpc::ForwardEnd OnForward(const rpc::ForwardRequest& forward, rpc::AnswerWriter& writer) override;
  std::string OnControl(const rpc::PeerIdentity& caller, uint16_t kind, std::string_view payload) override {
    return control_(caller, kind, payload);
  }

 private:
  /// Waits until this VM has the configuration under which the request was accepted. Returns false when that
  /// takes too long.
  bool AwaitConfig(const GatewayRequest& request) const;
  rpc::ForwardEnd RunCompletion(const GatewayRequest& request, const rpc::ForwardRequest& forward,
                                rpc::AnswerWriter& writer);
  rpc::ForwardEnd WriteServiceAnswer(const ServiceAnswer& answer, rpc::AnswerWriter& writer);

  SharedState* shared_;
  const Dispatcher* dispatcher_;
  ServiceCalls* services_;
  ControlHandler control_;
};

}  // namespace cornelplank::gateway
