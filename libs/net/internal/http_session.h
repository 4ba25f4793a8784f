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
  HttpSession(HttpServer& server, Tcp::socket socket, const asio::ip::address& address);
  ~HttpSession();

  /// Serves the connection until it ends. Static, because a task starts only after it has been created: its
  /// parameter keeps the session alive until then.
  static Task<> Run(std::shared_ptr<HttpSession> session);
  /// Ends the connection unless a request has begun to arrive on it. Returns whether it does.
  bool CloseIfIdle();
  /// Ends the connection unless it is idle and a request has begun to arrive on it. Only for a session that
  /// waits for bytes of its client. Returns whether it does.
  bool Evict();
  const asio::ip::address& address() const { return address_; }
  /// Whether a request of the connection has been served.
  bool served() const { return served_; }
  /// Since when the session has waited for a request, or for the rest of one.
  base::TimePoint waits_since() const { return waits_since_; }

 private:
  friend class ResponseWriter;
  /// What the session does, for the choice of connections that are closed in favour of new ones.
  enum class State { kIdle, kReading, kServing };
  void SetState(State state);
  /// Takes the session out of the registry's lists and counts of open connections.
  void Unlist();
  void Close();
  Task<> ServeRequests();
  using Parser = http::request_parser<http::string_body>;
  class BodyProgress;
  /// A body and the memory charged for it.
  struct ChargedBody {
    std::string bytes;
    MemoryAccount::Charge charge;
  };

  /// Waits for the first byte of a request. Returns false when the connection has ended or the idle timeout
  /// has passed.
  Task<bool> AwaitRequest();
  /// Reads one request. Returns nothing when it is malformed, too long or late, or when there was no memory
  /// for it; it has been rejected then unless it was late or incomplete.
  Task<std::optional<Request>> ReadRequest();
  /// Reads the start line and the headers. The parser holds them afterwards.
  Task<Error> ReadHead(Parser& parser);
  bool HasTooManyFields(const Parser& parser) const;
  /// Reads the body, if the head announces one, into `charged`.
  Task<Error> ReadBody(Parser& parser, ChargedBody* charged);
  Task<Error> ReadBodyOfLength(size_t length, ChargedBody* charged, BodyProgress& progress);
  Task<Error> ReadChunkedBody(Parser& parser, ChargedBody* charged, BodyProgress& progress);
  /// Reads further bytes into `buffer_`.
  Task<Error> ReadMore();
  /// Charges the receive buffer and, in addition, `bytes` for the head, once it is parsed.
  Task<Error> ChargeHead(size_t bytes);
  /// Responds to a request that could not be read with 400, 413 or 431. Does nothing for other errors.
  Task<> Reject(const Error& error);
  /// Refuses a request that there is no memory for. `request`: its head, as far as it has been read.
  Task<> Refuse(const Request& request);
  /// Reads and drops what the client still sends, for a short time. The end of a connection with unread bytes
  /// would reset it and could take the response with it.
  Task<> DropInput();
  /// Whether bytes of a further request have arrived.
  bool HasInput();
  /// Whether the client has closed the connection and all bytes before that have been read.
  bool ClientHasClosed();
  /// Marks the client as gone if it has closed the connection.
  void CheckClient(ResponseWriter& writer);
  /// Has the handler respond, and watches for the client's disconnection meanwhile.
  Task<> Serve(Request& request);
  /// Returns false, with a log line, when the handler ended by an exception.
  Task<bool> RunHandler(Request& request, ResponseWriter& writer);
  /// What `Serve` and the task that watches its client tell each other.
  struct ClientWatch {
    bool stopped = false;  // the handler has ended
    bool ended = false;    // the task has ended, and refers to the writer no more
  };
  /// Detects that the client closes its connection while its request is in progress.
  static Task<> WatchClient(std::shared_ptr<HttpSession> session, std::shared_ptr<ClientWatch> watch,
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
  MemoryAccount::Charge charge_;  // of the connection, its receive buffer and the head of its request
  Notification watch_ended_;      // signalled when `WatchClient` ends
  asio::ip::address address_;
  State state_ = State::kServing;
  base::TimePoint waits_since_{};
  std::list<HttpSession*>::iterator position_;  // in the registry's list for `state_`, unless kServing
  bool listed_ = false;                         // counted as open in the registry
  bool served_ = false;
  bool ending_ = false;  // evicted
  bool keep_alive_ = true;
};

}  // namespace cornelplank::net
