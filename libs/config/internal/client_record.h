#pragma once

#include <string>
#include <vector>

namespace cornelplank::config {

/// A client as the client directory publishes it.
struct ClientRecord {
  std::string id;
  std::string partner;
  std::string key_sha256;            // hexadecimal SHA-256 of the client's key
  std::vector<std::string> classes;  // allowed priority classes; the first is the default
  std::string home;                  // home region of the client's data
  std::string residency;             // name of a residency rule

  bool operator==(const ClientRecord&) const = default;
};

}  // namespace cornelplank::config
