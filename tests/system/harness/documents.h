#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace cornelplank::harness {

/// A document of both partners without upstreams: region `ost` (zones `ost-1`, `ost-2`) and `vest` (`vest-1`)
/// of `gavekvittering`, region `kochi` (`kochi-1`) of `leakline`. Each partner has a class for waiting people
/// (`desk`, `caller`) and one that can wait (`yearend`, `draft`), the rules `PARTNER-home` and `PARTNER-any`,
/// the model `letter` or `report`, and the service `ledger` or `booking`.
nlohmann::json TwoPartnerDocument();

/// Adds an engine of a partner that holds the partner's model.
void AddEngine(nlohmann::json& document, const std::string& id, const std::string& partner,
               const std::string& zone, const std::string& address, int slots);
/// Adds a replica of the partner's service.
void AddService(nlohmann::json& document, const std::string& id, const std::string& partner,
                const std::string& zone, const std::string& address);

/// The first snapshot with a document, in the published form.
nlohmann::json FirstSnapshot(const nlohmann::json& document);

/// A directory record. `key` is the client's bearer key in clear; `rule` is a residency rule of the partner.
nlohmann::json ClientRecord(const std::string& id, const std::string& partner, const std::string& key,
                            const std::vector<std::string>& classes, const std::string& home,
                            const std::string& rule);

/// The lower-case hexadecimal SHA-256 of a text.
std::string Sha256(const std::string& text);

}  // namespace cornelplank::harness
