#include "libs/net/internal/http_server.h"

#include "libs/net/internal/http_session.h"

namespace cornelplank::net {
namespace {

// Pause after a failed accept, such as one without free file descriptors, so that the loop doesn't spin.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

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
    co_await acceptor_.async_accept(socket, Into(error));
    if (!error) {
      OpenSession(std::move(socket));
    } else if (!stopped_) {
      base::LogEvent("accept_failed").Text("error", error.message());
      co_await Sleep(loop_, kAcceptRetryDelay);
    }
  }
}

void HttpServer::OpenSession(Tcp::socket socket) {
  if (SessionCount() >= limits_.connections) {
    base::LogEvent("connection_refused").Number("open", static_cast<int64_t>(SessionCount()));
    return;
  }
  Spawn(loop_, "session", HttpSession::Run(std::make_shared<HttpSession>(*this, std::move(socket))));
}

void HttpServer::AcceptWaiting() {
  Error error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket(loop_);
    acceptor_.accept(socket, error);
    if (!error) OpenSession(std::move(socket));
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
