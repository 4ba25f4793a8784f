#pragma once

#include <memory>
#include <string>

#include "libs/net/net.h"

namespace cornelplank::soak {

/// Bytes of a request or an answer that never ends: `start`, and then `part` again and again.
struct EndlessBytes {
  std::string start;
  std::string part;
};

/// A random part of HTTP that never ends: the start line, a header line, the headers, a chunk's size or
/// extension, a trailer line, the trailers or the body. `head`: start line and headers, without the empty
/// line.
EndlessBytes MakeEndless(base::Random& random, const std::string& head);

/// Sends the bytes at up to 64 MB/s until the peer closes the connection, or for 10 s.
net::Task<> SendEndless(net::asio::io_context& loop, std::shared_ptr<net::Tcp::socket> socket,
                        EndlessBytes bytes);

}  // namespace cornelplank::soak
