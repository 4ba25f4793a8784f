#pragma once

#include <charconv>
#include <ostream>
#include <string>

#include "tests/platform/clients/crowd.h"

/// The kinds of misbehaviour of HTTP clients.
namespace cornelplank::testing {

// Greatest head and body that the server under test accepts. The body is a quarter of the entry VM's default,
// so that the test sends less.
inline constexpr size_t kHeaderBytes = 16384;
inline constexpr size_t kBodyBytes = 1 << 20;

inline constexpr size_t kChunkBytes = 65536;
inline constexpr size_t kSmallPieceBytes = 512;

/// What the misbehaving clients address.
struct Target {
  const char* name;
  const char* listener;
  const char* path;
  const char* large_path;  // has a large response where there is one
  const char* held_path;   // its requests stay in progress for a while where that is possible
  const char* extra_header;

  friend void PrintTo(const Target& target, std::ostream* out) { *out << target.name; }
};

/// The head of a request without its last line, so that fields can follow.
inline std::string OpenHead(const Target& target, const std::string& method, const std::string& path) {
  return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 5\r\nDeadline-Ms: 9000\r\n" +
         target.extra_header;
}

inline std::string UploadHead(const Target& target, size_t bytes) {
  return OpenHead(target, "POST", target.path) + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

inline std::string ChunkedHead(const Target& target) {
  return OpenHead(target, "POST", target.path) + "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string ChunkStart() {
  char size[8];
  const auto end = std::to_chars(std::begin(size), std::end(size), kChunkBytes, 16).ptr;
  return std::string(size, end) + "\r\n";
}

inline std::string Chunk() { return ChunkStart() + std::string(kChunkBytes, 'b') + "\r\n"; }

/// A head of nearly the legal size that consists of very many short fields, without its last line.
inline std::string ShortFields(const Target& target) {
  std::string head = OpenHead(target, "GET", target.held_path) + "Padding: ";
  // The parser takes fields one by one as they arrive, unless the first 512 bytes end with 3 or more bytes
  // that it can't take yet; then it waits for the last line. They end 2 bytes after a field here.
  while (head.size() % 4 != 0) head += "p";
  head += "\r\n";
  while (head.size() + 64 < kHeaderBytes) head += "a:\r\n";
  return head;
}

struct Misbehaviour {
  const char* name;
  ClientScript (*script)(const Target& target);

  friend void PrintTo(const Misbehaviour& misbehaviour, std::ostream* out) { *out << misbehaviour.name; }
};

inline const Misbehaviour kMisbehaviours[] = {
    {"BodyWithoutLastByte",
     [](const Target& target) {
       return ClientScript{.clients = 64,
                           .start = UploadHead(target, kBodyBytes),
                           .piece = std::string(kBodyBytes - 1, 'b'),
                           .pieces = 1};
     }},
    {"BodyInSmallPieces",
     [](const Target& target) {
       return ClientScript{.clients = 64,
                           .start = UploadHead(target, kBodyBytes),
                           .piece = std::string(kSmallPieceBytes, 'b'),
                           .pieces = kBodyBytes / kSmallPieceBytes - 1,
                           .end = std::string(kSmallPieceBytes - 1, 'b')};
     }},
    {"ChunkedBodyWithoutLastByte",
     [](const Target& target) {
       return ClientScript{.clients = 64,
                           .start = ChunkedHead(target),
                           .piece = Chunk(),
                           .pieces = kBodyBytes / kChunkBytes - 1,
                           .end = ChunkStart() + std::string(kChunkBytes - 1, 'b')};
     }},
    {"EndlessChunkedBody",
     [](const Target& target) {
       return ClientScript{.clients = 64, .start = ChunkedHead(target), .piece = Chunk(), .pieces = 160};
     }},
    {"BodyFarOverTheLimit",
     [](const Target& target) {
       return ClientScript{.clients = 64,
                           .start = UploadHead(target, 1 << 30),
                           .piece = std::string(kChunkBytes, 'b'),
                           .pieces = 160};
     }},
    {"ShortFields",
     [](const Target& target) {
       return ClientScript{.clients = 180, .start = ShortFields(target), .end = "\r\n"};
     }},
    {"ShortFieldsWithoutLastLine",
     [](const Target& target) { return ClientScript{.clients = 180, .start = ShortFields(target)}; }},
    {"PipelinedRequests",
     [](const Target& target) {
       std::string requests;
       for (int i = 0; i < 100; ++i) requests += OpenHead(target, "GET", target.path) + "\r\n";
       return ClientScript{.clients = 8, .piece = requests, .pieces = 20};
     }},
    {"UnreadResponse",
     [](const Target& target) {
       return ClientScript{.clients = 64, .start = OpenHead(target, "GET", target.large_path) + "\r\n"};
     }},
    {"ByteAtATime",
     [](const Target& target) {
       return ClientScript{.clients = 250,
                           .start = OpenHead(target, "GET", target.path),
                           .byte_interval = std::chrono::milliseconds(100)};
     }},
    {"HalfAHead",
     [](const Target& target) {
       return ClientScript{.clients = 250, .start = OpenHead(target, "GET", target.path)};
     }},
    {"IdleConnections", [](const Target&) { return ClientScript{.clients = 1200}; }},
};

}  // namespace cornelplank::testing
