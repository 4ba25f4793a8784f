#include "libs/net/internal/http_server.h"

#include "libs/net/internal/http_session.h"

namespace cornelplank::net {
namespace {

// Pause after a failed accept, such as one without free file descriptors, so that the loop doesn't spin.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

ResponseHead RequestHandler::MakeRefusal(const Request& /*request*/, std::chrono::milliseconds retry_after) {
  ResponseHead head;
  head.status = static_cast<unsigned>(boost::beast::http::status::service_unavailable);
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  head.headers.Add("Retry-After", std::to_string(seconds.count()));
  return head;
}

HttpServer::HttpServer(asio::io_context& loop, RequestHandler& handler)
    : loop_(loop), handler_(handler), acceptor_(loop), memory_(MemoryAccount::Create(loop)) {}

HttpServer::~HttpServer() = default;

std::unique_ptr<HttpServer> HttpServer::Listen(asio::io_context& loop, const Tcp::endpoint& endpoint,
                                               RequestHandler& handler, Error* error) {
  std::unique_ptr<HttpServer> server(new HttpServer(loop, handler));
  server->acceptor_.open(endpoint.protocol(), *error);
  if (!*error) server->acceptor_.set_option(Tcp::acceptor::reuse_address(true), *error);
  if (!*error) server->acceptor_.bind(endpoint, *error);
  if (!*error) server->acceptor_.listen(asio::socket_base::max_listen_connections, *error);
  if (*error) return nullptr;
  Spawn(loop, "accept", server->Accept());
  return server;
}

Task<> HttpServer::Accept() {
  while (!stopped_) {
    Error error;
    Tcp::socket socket(loop_);
    Tcp::endpoint client;
    co_await acceptor_.async_accept(socket, client, Into(error));
    if (!error) {
      OpenSession(std::move(socket), client.address());
    } else if (!stopped_) {
      base::LogEvent("accept_failed").Text("error", error.message());
      co_await Sleep(loop_, kAcceptRetryDelay);
    }
  }
}

void HttpServer::OpenSession(Tcp::socket socket, const asio::ip::address& address) {
  const auto open = registry_->open_by_address.find(address);
  const bool address_full =
      open != registry_->open_by_address.end() && open->second >= limits_.connections_per_address;
  const bool full = address_full || registry_->open >= limits_.connections;
  if (full && !Evict(address_full ? &address : nullptr)) {
    ++counters_.refused;
    if (base::AllowRoutineLogLine()) {
      base::LogEvent("connection_refused")
          .Number("open", static_cast<int64_t>(SessionCount()))
          .Number("address_full", address_full ? 1 : 0);
    }
    return;
  }
  Spawn(loop_, "session", HttpSession::Run(std::make_shared<HttpSession>(*this, std::move(socket), address)));
}

bool HttpServer::Evict(const asio::ip::address* address) {
  const auto evict_first = [&](const std::list<HttpSession*>& sessions, auto&& may_evict) {
    for (HttpSession* session : sessions) {
      const bool eligible = address == nullptr || session->address() == *address;
      if (eligible && may_evict(*session) && session->Evict()) return true;
    }
    return false;
  };
  const base::TimePoint stalled_since = base::SystemClock().Now() - MemoryAccount::kStallLimit;
  // A client that has sent a request before is likely to send another one.
  const bool evicted =
      evict_first(registry_->idle, [](const HttpSession& session) { return !session.served(); }) ||
      evict_first(registry_->idle, [](const HttpSession&) { return true; }) ||
      evict_first(registry_->reading,
                  [&](const HttpSession& session) { return session.waits_since() < stalled_since; });
  if (!evicted) return false;
  ++counters_.evicted;
  if (base::AllowRoutineLogLine()) {
    base::LogEvent("connection_evicted").Number("open", static_cast<int64_t>(SessionCount()));
  }
  return true;
}

void HttpServer::AcceptWaiting() {
  Error error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket(loop_);
    Tcp::endpoint client;
    acceptor_.accept(socket, client, error);
    if (!error) OpenSession(std::move(socket), client.address());
  }
  if (error != asio::error::would_block) base::LogEvent("accept_failed").Text("error", error.message());
}

void HttpServer::StopAccepting() {
  if (stopped_) return;
  stopped_ = true;
  AcceptWaiting();  // the kernel would reset these connections
  Error ignored;    // the acceptor may be closed already
  acceptor_.close(ignored);
  for (HttpSession* session : registry_->sessions) session->CloseIfIdle();
}

}  // namespace cornelplank::net
