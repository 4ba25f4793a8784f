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

  /// Serves the connection until it ends. Static, because a task starts only after it has been created: its
  /// parameter keeps the session alive until then.
  static Task<> Run(std::shared_ptr<HttpSession> session);
  /// Ends the connection unless a request has begun to arrive on it.
  void CloseIfIdle();

 private:
  friend class ResponseWriter;
  void Close();
  Task<> ServeRequests();
  using Parser = http::request_parser<http::string_body>;

  /// Waits for the first byte of a request. Returns false when the connection has ended or the idle timeout
  /// has passed.
  Task<bool> AwaitRequest();
  /// Reads one request. Returns nothing when it is malformed, too long or late; a malformed or too long one
  /// has been rejected then.
  Task<std::optional<Request>> ReadRequest();
  /// Responds with 400, 413 or 431 to a request that could not be parsed, and does nothing for other errors.
  Task<> Reject(const Error& error);
  /// Whether the client has closed the connection and all bytes before that have been read.
  bool ClientHasClosed();
  /// Marks the client as gone if it has closed the connection.
  void CheckClient(ResponseWriter& writer);
  /// Has the handler respond, and watches for the client's disconnection meanwhile.
  Task<> Serve(Request& request);
  /// Detects that the client closes its connection while its request is in progress.
  static Task<> WatchClient(std::shared_ptr<HttpSession> session, std::shared_ptr<bool> watching,
                            ResponseWriter& writer);
  /// Writes `buffers`. A failure or timeout marks the client as gone.
  template <typename Buffers>
  Task<bool> WriteAll(ResponseWriter& writer, const Buffers& buffers);
  /// Records that the client is gone and runs the writer's `OnClientGone` action, once.
  void MarkClientGone(ResponseWriter& writer);
  /// Copies the headers of `head` to `fields`, and adds `Connection: close` when the connection closes
  /// afterwards.
  void FillHead(ResponseWriter& writer, const ResponseHead& head, http::fields& fields) const;

  HttpServer& server_;
  std::shared_ptr<SessionRegistry> registry_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  Notification watch_ended_;  // signalled when `WatchClient` ends
  bool idle_ = true;          // no request is being read or served
  bool keep_alive_ = true;
};

}  // namespace cornelplank::net
