#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornelplank::harness {

/// Returns a configuration document of both partners without upstreams: region `ost` (zones `ost-1`, `ost-2`)
/// and `vest` (`vest-1`) of `gavekvittering`, region `kochi` (`kochi-1`) of `leakline`. Each partner has a
/// priority class for interactive requests (`desk`, `caller`) and one for batch work (`yearend`, `draft`),
/// the rules `PARTNER-home` and `PARTNER-any`, the model `letter` or `report`, and the service `ledger` or
/// `booking`.
nlohmann::json TwoPartnerDocument();

/// Adds an engine that has its partner's model loaded. `address` is IP:PORT; `slots` is the number of
/// requests that it runs at once.
void AddEngine(nlohmann::json& document, const std::string& id, const std::string& partner,
               const std::string& zone, const std::string& address, int slots);
/// Adds a replica of the partner's service.
void AddService(nlohmann::json& document, const std::string& id, const std::string& partner,
                const std::string& zone, const std::string& address);

/// Returns the snapshot with sequence number 1 and version 1 of a document, as the platform publishes it.
nlohmann::json FirstSnapshot(const nlohmann::json& document);

/// Returns a client's record in the client directory. `key` is the client's bearer key in plain text, of
/// which the record holds the hash; `home` is a region; `rule` is a residency rule of the partner.
nlohmann::json ClientRecord(const std::string& id, const std::string& partner, const std::string& key,
                            const std::vector<std::string>& classes, const std::string& home,
                            const std::string& rule);

/// Returns the SHA-256 of a text in lower-case hexadecimal digits.
std::string Sha256(const std::string& text);

}  // namespace cornelplank::harness
