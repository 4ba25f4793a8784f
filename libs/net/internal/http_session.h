#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>

#include "libs/net/internal/http_server.h"

namespace cornelplank::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// One client connection of an `HttpServer`.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(HttpServer& server, Tcp::socket socket);
  ~HttpSession();

  /// Serves the connection until it ends. A task starts later than it is made, so it holds the session
  /// itself.
  static Task<> Run(std::shared_ptr<HttpSession> session);
  /// Closes the connection unless a request has begun to arrive on it.
  void CloseIfIdle();

 private:
  friend class ResponseWriter;
  void Close();
  Task<> ServeRequests();
  using Parser = http::request_parser<http::string_body>;

  /// Waits for the first byte of a request; false when the connection ended or idled out.
  Task<bool> AwaitRequest();
  Task<std::optional<Request>> ReadRequest();
  Task<> Reject(const Error& error);
  Task<> Serve(Request& request);
  /// Notices that the client closes its connection while its request is in progress.
  static Task<> WatchClient(std::shared_ptr<HttpSession> session, std::shared_ptr<bool> watching,
                            ResponseWriter& writer);
  /// Writes `buffers`; a failure marks the client as gone.
  template <typename Buffers>
  Task<bool> WriteAll(ResponseWriter& writer, const Buffers& buffers);
  void ClientLeft(ResponseWriter& writer);
  void FillHead(ResponseWriter& writer, const ResponseHead& head, http::fields& fields) const;

  HttpServer& server_;
  std::shared_ptr<SessionRegistry> registry_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  Notification watch_ended_;
  bool idle_ = true;
  bool keep_alive_ = true;
};

}  // namespace cornelplank::net
