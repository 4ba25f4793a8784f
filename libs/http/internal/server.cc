#include "libs/http/internal/server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <atomic>
#include <cstring>
#include <thread>
#include <utility>
#include <vector>

namespace cornelplank::http {
namespace {

// Interval at which `WaitIdle` checks the requests in progress.
constexpr std::chrono::milliseconds kIdlePollInterval{5};
// Most bytes of a streamed body that are requested at once.
constexpr size_t kStreamBlockBytes = 4096;
// glibc's default of 8 MB for each thread is virtual memory only, but with this limit 750 threads stay well
// below 128 MB even when each of them has touched its stack.
constexpr size_t kThreadStackBytes = 256 * 1024;

/// Returns a listening socket, and the bound port in `*address`; -1 and the reason on failure. ulfius refuses
/// port 0, so the socket is opened here and passed to the library.
int BindSocket(sockaddr_in* address, HttpReason* reason) {
  const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  socklen_t length = sizeof *address;
  auto* raw = reinterpret_cast<sockaddr*>(address);
  if (bind(socket_fd, raw, length) != 0 || listen(socket_fd, SOMAXCONN) != 0 ||
      getsockname(socket_fd, raw, &length) != 0) {
    base::SetReason(reason, HttpErrorCode::kBind, std::strerror(errno));
    close(socket_fd);
    return -1;
  }
  return socket_fd;
}

/// Copies the request out of the library's form.
Request ToRequest(const _u_request& raw) {
  Request request;
  request.method = raw.http_verb;
  const std::string url = raw.http_url;
  request.path = url.substr(0, url.find('?'));
  const auto copy = [](const _u_map* from, auto& to) {
    const char** keys = u_map_enum_keys(from);
    for (int i = 0; keys != nullptr && keys[i] != nullptr; ++i) to[keys[i]] = u_map_get(from, keys[i]);
  };
  copy(raw.map_header, request.headers);
  copy(raw.map_url, request.query);
  request.body.assign(static_cast<const char*>(raw.binary_body), raw.binary_body_length);
  return request;
}

/// The library's callback for a streamed body; `user` is the `BodySource`.
ssize_t ReadStream(void* user, uint64_t /*offset*/, char* buffer, size_t capacity) {
  const auto count = static_cast<BodySource*>(user)->Read(buffer, capacity);
  if (!count) return U_STREAM_ERROR;
  return *count == 0 ? U_STREAM_END : static_cast<ssize_t>(*count);
}

void FreeStream(void* user) { delete static_cast<BodySource*>(user); }

class UlfiusServer final : public Server {
 public:
  UlfiusServer(ServerOptions options, Handler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {}

  ~UlfiusServer() override {
    if (started_) {
      ulfius_stop_framework(&instance_);
      ulfius_clean_instance(&instance_);
    }
  }

  bool Start(HttpReason* reason) {
    auto address = base::ParseSocketAddress(options_.address);
    if (!address) {
      base::SetReason(reason, HttpErrorCode::kBind, "'" + options_.address + "' is not IP:PORT");
      return false;
    }
    const int socket_fd = BindSocket(&*address, reason);
    if (socket_fd < 0) return false;
    port_ = ntohs(address->sin_port);
    ulfius_init_instance(&instance_, port_, nullptr, nullptr);
    // The library cuts off longer bodies. One byte more than allowed is kept, so that a body that is too long
    // can be told from one of exactly the greatest length.
    instance_.max_post_body_size = options_.max_body_bytes + 1;
    instance_.allowed_post_processor = U_POST_PROCESS_NONE;
    instance_.check_utf8 = 0;
    ulfius_set_default_endpoint(&instance_, &UlfiusServer::OnRequest, this);
    MHD_OptionItem items[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&UlfiusServer::OnCompleted), this},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&UlfiusServer::OnUri), this},
        {MHD_OPTION_LISTEN_SOCKET, socket_fd, nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(options_.max_connections), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(options_.idle_timeout.count()), nullptr},
        {MHD_OPTION_THREAD_STACK_SIZE, static_cast<intptr_t>(kThreadStackBytes), nullptr},
        {MHD_OPTION_END, 0, nullptr}};
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    started_ = ulfius_start_framework_with_mhd_options(&instance_, flags, items) == U_OK;
    if (!started_) {
      base::SetReason(reason, HttpErrorCode::kBind, "the HTTP server can't be started");
      ulfius_clean_instance(&instance_);
      close(socket_fd);
    }
    return started_;
  }

  uint16_t port() const override { return port_; }
  size_t in_flight() const override { return in_flight_.load(); }

  bool WaitIdle(std::chrono::milliseconds limit) const override {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (in_flight_.load() > 0) {
      if (std::chrono::steady_clock::now() >= end) return false;
      std::this_thread::sleep_for(kIdlePollInterval);
    }
    return true;
  }

 private:
  // A request counts as in progress from its request line until its response has been sent, so that a
  // graceful shutdown doesn't close a connection whose response is still in the send buffer.
  static void* OnUri(void* self, const char* uri) {
    static_cast<UlfiusServer*>(self)->in_flight_.fetch_add(1);
    return ulfius_uri_logger(nullptr, uri);
  }

  static void OnCompleted(void* self, MHD_Connection* connection, void** context,
                          MHD_RequestTerminationCode code) {
    mhd_request_completed(nullptr, connection, context, code);
    static_cast<UlfiusServer*>(self)->in_flight_.fetch_sub(1);
  }

  static int OnRequest(const _u_request* raw, _u_response* out, void* self) {
    auto* server = static_cast<UlfiusServer*>(self);
    Response response;
    if (raw->binary_body_length > server->options_.max_body_bytes) {
      response.status = 413;
      response.headers["Content-Type"] = "application/problem+json";
      response.body = R"({"type":"about:blank","title":"The body is too long.","status":413,)"
                      R"("code":"body-too-long","outcome":"not-run"})";
    } else {
      response = server->handler_(ToRequest(*raw));
    }
    for (const auto& [name, value] : response.headers) {
      ulfius_add_header_to_response(out, name.c_str(), value.c_str());
    }
    if (response.stream) {
      ulfius_set_stream_response(out, static_cast<unsigned>(response.status), ReadStream, FreeStream,
                                 U_STREAM_SIZE_UNKNOWN, kStreamBlockBytes, response.stream.release());
    } else {
      ulfius_set_binary_body_response(out, static_cast<unsigned>(response.status), response.body.data(),
                                      response.body.size());
    }
    return U_CALLBACK_COMPLETE;
  }

  const ServerOptions options_;
  const Handler handler_;
  _u_instance instance_{};
  bool started_ = false;
  uint16_t port_ = 0;
  std::atomic<size_t> in_flight_{0};
};

}  // namespace

std::unique_ptr<Server> Server::Start(const ServerOptions& options, Handler handler, HttpReason* reason) {
  auto server = std::make_unique<UlfiusServer>(options, std::move(handler));
  if (!server->Start(reason)) return nullptr;
  return server;
}

}  // namespace cornelplank::http
