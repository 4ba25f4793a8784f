#pragma once

#include <map>
#include <string>
#include <vector>

#include "tests/system/harness/documents.h"
#include "tests/system/harness/test_processes.h"

namespace cornelplank::harness {

/// A platform, upstreams, entry VMs and clients on loopback addresses. Add upstreams and clients first, then
/// call Publish, then start entry VMs. Methods throw std::runtime_error if a process does not start.
class Deployment {
 public:
  /// Starts the platform. `processes` must outlive this object.
  explicit Deployment(TestProcesses* processes);

  /// Starts an engine and, in front of it, a relay whose address is the engine's in the configuration. The
  /// relay's process is `ID-relay`. `options` are further options of standin-engine.
  void AddEngineProcess(const std::string& id, const std::string& partner, const std::string& zone, int slots,
                        const std::vector<std::string>& options = {});
  /// Starts a replica of the partner's service, also behind a relay `ID-relay`.
  void AddServiceProcess(const std::string& id, const std::string& partner, const std::string& zone);
  /// Adds an engine or a replica of the partner's service that the test itself runs at `address`, IP:PORT.
  void AddEngineAt(const std::string& id, const std::string& partner, const std::string& zone,
                   const std::string& address);
  void AddServiceAt(const std::string& id, const std::string& partner, const std::string& zone,
                    const std::string& address);
  /// Adds a client whose bearer key is "key-" followed by its id.
  void AddClient(const std::string& id, const std::string& partner, const std::string& home,
                 const std::string& rule);
  /// Publishes the configuration as version 1, and the clients. Throws std::runtime_error if the platform
  /// refuses.
  void Publish();

  /// Starts an entry VM and adds it to the VM list. The relay `ID-relay` carries the connections of other VMs
  /// to it (pair 0) and its own connections to the platform (pair 1). `body_bytes`: limit of a request's
  /// body.
  void StartVm(const std::string& id, const std::string& zone, size_t body_bytes = 1 << 20);
  /// Waits until every running entry VM has the configuration version and all clients. Returns false if that
  /// takes longer than `limit`.
  bool WaitForVersion(uint64_t version, std::chrono::milliseconds limit);

  /// Sends a command to the relay process `id`; returns the HTTP status.
  int CommandRelay(const std::string& id, const nlohmann::json& command);
  /// Appends an operator's patch, made against version `base`, to the published configuration log. Returns
  /// its sequence number, or 0 if the platform refuses it.
  uint64_t PublishPatch(uint64_t base, const std::string& author, const nlohmann::json& patch);
  /// Sets a fault mode of the platform; returns the HTTP status.
  int SetPlatformMode(const nlohmann::json& mode);

  std::string clients_url(const std::string& vm) const { return vms_.at(vm).clients_url; }
  /// The /status document of a VM; an empty object if it does not answer. Likewise Dump.
  nlohmann::json Status(const std::string& vm) const;
  nlohmann::json Dump(const std::string& vm) const;
  /// Returns where a VM would send a chat request of a client now, and why.
  nlohmann::json Explain(const std::string& vm, const std::string& client) const;
  /// Sends one chat request through a VM.
  Reply Chat(const std::string& vm, const std::string& client, unsigned max_tokens, bool stream,
             std::chrono::milliseconds timeout = std::chrono::seconds{20}) const;
  /// Requests a ticket for a call of a service; returns an empty string if it is refused.
  std::string MintTicket(const std::string& vm, const std::string& client, const std::string& service) const;
  /// Sends one POST to `path` of a service, with `ticket` as its Idempotency-Key unless it is empty.
  Reply CallService(const std::string& vm, const std::string& client, const std::string& path,
                    const std::string& ticket,
                    std::chrono::milliseconds timeout = std::chrono::seconds{10}) const;
  /// Starts the load generator with a client's key, against several VMs; its output is JSON.
  Process& StartLoad(const std::string& name, const std::string& client, const std::vector<std::string>& vms,
                     const std::vector<std::string>& options);
  /// Waits until a load generator has ended and returns its result; a discarded value if it has none by
  /// `limit`.
  nlohmann::json LoadResult(const std::string& name, std::chrono::milliseconds limit);
  /// Returns the log records of the requests that an engine accepted.
  std::vector<nlohmann::json> RequestsRunOn(const std::string& engine) const;
  /// Returns how many calls a service process has executed.
  uint64_t CountExecutions(const std::string& service) const;

 private:
  struct Vm {
    std::string zone;
    std::string clients_url;
    std::string operators_url;
    std::string peers;  // IP:PORT through which other VMs reach it
  };

  nlohmann::json GetOperatorJson(const std::string& vm, const std::string& path) const;
  void PublishVms();
  std::string PartnerOf(const std::string& client) const { return clients_.at(client).at("partner"); }
  http::Headers AuthorizationHeader(const std::string& client) const;

  TestProcesses* processes_;
  nlohmann::json document_;
  std::map<std::string, nlohmann::json> clients_;
  std::map<std::string, Vm> vms_;
  std::string peers_key_file_;
  std::string token_file_;
};

}  // namespace cornelplank::harness
