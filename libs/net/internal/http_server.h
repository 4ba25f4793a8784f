#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "libs/net/internal/loop.h"
#include "libs/net/internal/message.h"

namespace cornelplank::net {

/// What clients may send, and how long they may take.
struct ServerLimits {
  uint32_t header_bytes = 16384;
  uint64_t body_bytes = 4 << 20;
  std::chrono::milliseconds header_timeout{3000};  // from the first byte to the end of the header
  std::chrono::milliseconds idle_timeout{15000};   // between requests, and between parts of a body
  size_t connections = 3000;                       // open at once; further ones are closed
};

class HttpSession;

/// The answer to one request. Every call returns false once the client is gone; nothing more is sent then.
class ResponseWriter {
 public:
  explicit ResponseWriter(HttpSession& session) : session_(session) {}

  /// A whole answer with Content-Length.
  Task<bool> Send(const ResponseHead& head, const std::string& body);
  /// Starts a chunked answer.
  Task<bool> Begin(const ResponseHead& head);
  Task<bool> Write(std::string_view data);
  /// Ends a chunked answer. Without it the connection is closed, which the client sees as a broken answer.
  Task<bool> End();

  /// Announces that the connection closes after this answer.
  void CloseAfter() { close_after_ = true; }
  bool close_after() const { return close_after_; }
  bool Started() const { return started_; }
  bool Complete() const { return complete_; }
  bool ClientGone() const { return client_gone_; }
  /// `action` runs once if the client leaves before the answer is complete.
  void OnClientGone(std::function<void()> action) { on_client_gone_ = std::move(action); }

 private:
  friend class HttpSession;

  HttpSession& session_;
  bool close_after_ = false;
  bool started_ = false;
  bool complete_ = false;
  bool client_gone_ = false;
  std::function<void()> on_client_gone_;
};

class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Answers `request`. If it returns without a complete answer, the connection is closed.
  virtual Task<> Handle(Request& request, ResponseWriter& writer) = 0;
};

/// SessionCount of one server. They share it, as their tasks may be destroyed after the server.
struct SessionRegistry {
  std::set<HttpSession*> sessions;
  size_t active = 0;  // with a request in progress
};

/// An HTTP/1.1 server on one address of the loop. Once it is destroyed, the loop must not run again.
class HttpServer {
 public:
  /// Listens at `endpoint`. Returns null and the error when it can't.
  static std::unique_ptr<HttpServer> Listen(asio::io_context& loop, const Tcp::endpoint& endpoint,
                                            RequestHandler& handler, Error* error);
  ~HttpServer();

  void SetLimits(const ServerLimits& limits) { limits_ = limits; }
  /// From now on each answer announces that its connection closes. Connections stay open for a next request.
  void AnnounceClose() { announce_close_ = true; }
  /// Accepts nothing more and closes idle connections. Answers in progress go on.
  void StopAccepting();
  size_t SessionCount() const { return registry_->sessions.size(); }
  /// SessionCount with a request in progress.
  size_t ActiveSessionCount() const { return registry_->active; }
  uint16_t Port() const { return acceptor_.local_endpoint().port(); }

 private:
  friend class HttpSession;

  HttpServer(asio::io_context& loop, RequestHandler& handler);
  Task<> Accept();

  asio::io_context& loop_;
  RequestHandler& handler_;
  Tcp::acceptor acceptor_;
  ServerLimits limits_;
  std::shared_ptr<SessionRegistry> registry_ = std::make_shared<SessionRegistry>();
  bool announce_close_ = false;
  bool stopped_ = false;
};

}  // namespace cornelplank::net
