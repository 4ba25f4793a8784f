#pragma once

#include <map>
#include <string>
#include <vector>

#include "tests/system/harness/documents.h"
#include "tests/system/harness/fleet.h"

namespace cornelplank::harness {

/// A platform, upstreams, entry VMs and clients on loopback addresses. First add upstreams, then publish,
/// then start entry VMs. Methods throw std::runtime_error when a process does not start.
class Deployment {
 public:
  explicit Deployment(Fleet* fleet);

  /// Starts an engine with a relay in front of it, whose address the document names. The relay's process is
  /// `ID-relay`.
  void AddEngineProcess(const std::string& id, const std::string& partner, const std::string& zone, int slots,
                        const std::vector<std::string>& options = {});
  void AddServiceProcess(const std::string& id, const std::string& partner, const std::string& zone);
  /// A client whose key is "key-" and its id.
  void AddClient(const std::string& id, const std::string& partner, const std::string& home,
                 const std::string& rule);
  /// Publishes the document as the first snapshot, and the clients.
  void Publish();

  /// Starts an entry VM. Others reach its peers' listener, and it reaches the platform, through the relay
  /// `ID-relay` (pair 0: to its peers' listener, pair 1: to the platform). Updates the VM list.
  void StartVm(const std::string& id, const std::string& zone);
  /// Waits until every running entry VM has the configuration version and all clients.
  bool WaitVersion(uint64_t version, std::chrono::milliseconds limit);

  /// Sends a command to a relay process.
  int Relay(const std::string& id, const nlohmann::json& command);
  /// Appends an operator's patch to the published log; returns its sequence number.
  uint64_t PublishPatch(uint64_t base, const std::string& author, const nlohmann::json& patch);
  int PlatformMode(const nlohmann::json& mode);

  std::string clients_url(const std::string& vm) const { return vms_.at(vm).clients_url; }
  nlohmann::json Status(const std::string& vm) const;
  nlohmann::json Dump(const std::string& vm) const;
  /// Where a VM would send a chat request of a client now, and why.
  nlohmann::json Explain(const std::string& vm, const std::string& client) const;
  /// One chat request through a VM.
  Reply Chat(const std::string& vm, const std::string& client, unsigned max_tokens, bool stream,
             std::chrono::milliseconds timeout = std::chrono::seconds{20}) const;
  /// A request for a ticket of a service; empty when it was refused.
  std::string MintTicket(const std::string& vm, const std::string& client, const std::string& service) const;
  Reply CallService(const std::string& vm, const std::string& client, const std::string& path,
                    const std::string& ticket,
                    std::chrono::milliseconds timeout = std::chrono::seconds{10}) const;
  /// Starts the load generator as a client; its output is JSON.
  Process& StartLoad(const std::string& name, const std::string& client, const std::vector<std::string>& vms,
                     const std::vector<std::string>& options);
  /// Waits for a load generator and returns its result.
  nlohmann::json LoadResult(const std::string& name, std::chrono::milliseconds limit);
  /// The requests that ran on an engine, from its log; refused ones are left out.
  std::vector<nlohmann::json> RanOn(const std::string& engine) const;
  uint64_t Executions(const std::string& service) const;

 private:
  struct Vm {
    std::string zone;
    std::string clients_url;
    std::string operators_url;
    std::string peers;  // address that others use
  };

  nlohmann::json Operate(const std::string& vm, const std::string& path) const;
  void PublishVms();
  std::string PartnerOf(const std::string& client) const { return clients_.at(client).at("partner"); }
  http::Headers KeyOf(const std::string& client) const;

  Fleet* fleet_;
  nlohmann::json document_;
  std::map<std::string, nlohmann::json> clients_;
  std::map<std::string, Vm> vms_;
  std::string peers_key_file_;
  std::string token_file_;
};

}  // namespace cornelplank::harness
