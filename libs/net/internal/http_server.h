#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "libs/net/internal/loop.h"
#include "libs/net/internal/memory_account.h"
#include "libs/net/internal/message.h"

namespace cornelplank::net {

/// Limits on what clients may send and on how long they may take.
struct ServerLimits {
  uint32_t header_bytes = 16384;
  // Fields of a header, and of the trailer of a chunked body together with it. One takes far more memory than
  // the four bytes that it may have on the wire.
  size_t header_fields = 256;
  uint64_t body_bytes = 4 << 20;
  std::chrono::milliseconds header_timeout{3000};  // from the first byte to the end of the header
  // Between requests, between two parts of a body, and for a whole body, plus 1 s for each 64 KB of it.
  std::chrono::milliseconds idle_timeout{15000};
  // Open at once. Beyond it, the connection that has idled longest is closed in favour of a new one; without
  // an idle one, the new one is closed.
  size_t connections = 3000;
  size_t connections_per_address = 1500;  // the same for the connections of one address
};

class HttpSession;

/// Writes the response to one request. Every write returns false once the client is gone; nothing more is
/// sent then.
class ResponseWriter {
 public:
  explicit ResponseWriter(HttpSession& session) : session_(session) {}

  /// Sends a complete response with Content-Length. `charge`: of the body; without one the body is charged
  /// here, also beyond the limit.
  Task<bool> Send(const ResponseHead& head, const std::string& body, MemoryAccount::Charge charge = {});
  /// Sends the head of a chunked response.
  Task<bool> Begin(const ResponseHead& head);
  /// Sends `data` as one chunk.
  Task<bool> Write(std::string_view data);
  /// Ends a chunked response. Without it the connection is closed, which the client sees as a truncated
  /// response.
  Task<bool> End();

  /// Announces with `Connection: close` that the connection closes after this response.
  void CloseAfter() { close_after_ = true; }
  bool close_after() const { return close_after_; }
  /// The account of the server.
  const std::shared_ptr<MemoryAccount>& memory() const;
  /// True once a response has been started, even if its head could not be written.
  bool Started() const { return started_; }
  /// True once the whole response has been written.
  bool Complete() const { return complete_; }
  bool ClientGone() const { return client_gone_; }
  /// Looks whether the client has disconnected, which `ClientGone` may report later on a busy loop. Returns
  /// false if it has.
  bool CheckClient();
  /// Runs `action` once if the client disconnects before the response is complete.
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

/// Serves the requests that an `HttpServer` receives.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Responds to `request`. If it returns without a complete response, the connection is closed.
  virtual Task<> Handle(Request& request, ResponseWriter& writer) = 0;
  /// The head of the response to a request that is refused before its body has been read, as there is no
  /// memory for it. It has not run. `request`: without its body.
  virtual ResponseHead MakeRefusal(const Request& request, std::chrono::milliseconds retry_after);
};

/// The sessions (client connections) of one server. Each session shares the ownership, because the tasks of
/// the sessions may be destroyed after the server.
struct SessionRegistry {
  std::set<HttpSession*> sessions;
  size_t active = 0;  // sessions with a request in progress
  // Sessions that wait for bytes of their clients, the one that has waited longest first:
  std::list<HttpSession*> idle;                         // for the first byte of a request
  std::list<HttpSession*> reading;                      // for the rest of a request
  std::map<asio::ip::address, size_t> open_by_address;  // without those that are being closed
  size_t open = 0;                                      // without those that are being closed
};

/// Numbers of connections since the start of the server.
struct ConnectionCounters {
  uint64_t refused = 0;  // closed when they were accepted, as too many were open
  uint64_t evicted = 0;  // closed in favour of new ones
};

/// An HTTP/1.1 server that listens on one address and runs on the loop. Once it is destroyed, the loop must
/// not run again.
class HttpServer {
 public:
  /// Listens at `endpoint`. Returns null and sets `*error` when it can't.
  static std::unique_ptr<HttpServer> Listen(asio::io_context& loop, const Tcp::endpoint& endpoint,
                                            RequestHandler& handler, Error* error);
  ~HttpServer();

  void SetLimits(const ServerLimits& limits) { limits_ = limits; }
  /// Sets the account that requests and responses are charged to. Call it before the loop runs.
  void SetMemoryAccount(std::shared_ptr<MemoryAccount> memory) { memory_ = std::move(memory); }
  /// From now on each response announces that its connection closes. Idle connections stay open and may still
  /// send one request.
  void AnnounceClose() { announce_close_ = true; }
  /// Accepts no more connections and closes idle ones. Requests in progress are served to their end.
  void StopAccepting();
  /// Number of open client connections.
  size_t SessionCount() const { return registry_->sessions.size(); }
  /// Number of client connections with a request in progress.
  size_t ActiveSessionCount() const { return registry_->active; }
  const ConnectionCounters& counters() const { return counters_; }
  uint16_t Port() const { return acceptor_.local_endpoint().port(); }

 private:
  friend class HttpSession;
  friend class ResponseWriter;

  HttpServer(asio::io_context& loop, RequestHandler& handler);
  /// Accepts connections until `StopAccepting`.
  Task<> Accept();
  /// Accepts the connections that the kernel has established already.
  void AcceptWaiting();
  /// Serves a new connection, or closes it when there are too many.
  void OpenSession(Tcp::socket socket, const asio::ip::address& address);
  /// Closes a connection, if possible of a client that keeps the server waiting, in favour of a new one.
  /// `address`: null, or of the client to take it from. Returns false when there is none.
  bool Evict(const asio::ip::address* address);

  asio::io_context& loop_;
  RequestHandler& handler_;
  Tcp::acceptor acceptor_;
  ServerLimits limits_;
  std::shared_ptr<MemoryAccount> memory_;
  std::shared_ptr<SessionRegistry> registry_ = std::make_shared<SessionRegistry>();
  ConnectionCounters counters_;
  bool announce_close_ = false;
  bool stopped_ = false;
};

}  // namespace cornelplank::net
