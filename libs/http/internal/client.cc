#include "libs/http/internal/client.h"

#include <curl/curl.h>

#include <algorithm>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelplank::http {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr int kPollMs = 100;
constexpr size_t kIdleHandlesPerHost = 32;

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

/// One easy handle in a multi handle of its own, which owns the kept connection.
class Transfer {
 public:
  Transfer() : multi_(curl_multi_init()), easy_(curl_easy_init()) {}
  ~Transfer() {
    curl_easy_cleanup(easy_);
    curl_multi_cleanup(multi_);
  }
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  bool Run(const ClientRequest& request, const ResponseSink& sink, HttpReason* reason, ExchangeState* state);

 private:
  static size_t OnHeader(char* data, size_t size, size_t count, void* self);
  static size_t OnBody(char* data, size_t size, size_t count, void* self);

  void Prepare(const ClientRequest& request, curl_slist** headers);
  bool DeliverHead();
  bool Expired(const ClientRequest& request, HttpReason* reason);
  void Explain(CURLcode code, HttpReason* reason) const;

  CURLM* multi_;
  CURL* easy_;
  const ResponseSink* sink_ = nullptr;
  Headers headers_;
  bool head_delivered_ = false;
  bool refused_ = false;
  bool body_seen_ = false;
  SteadyTime last_byte_;
};

size_t Transfer::OnHeader(char* data, size_t size, size_t count, void* self) {
  auto* transfer = static_cast<Transfer*>(self);
  const std::string_view line(data, size * count);
  if (line.starts_with("HTTP/")) {
    transfer->headers_.clear();  // an interim response came before
    return line.size();
  }
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    const bool end_of_head = line == "\r\n" || line == "\n";
    return !end_of_head || transfer->DeliverHead() ? line.size() : 0;
  }
  const std::string_view value = Trim(line.substr(colon + 1));
  transfer->headers_[std::string(line.substr(0, colon))] = std::string(value);
  return line.size();
}

bool Transfer::DeliverHead() {
  long status = 0;
  curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
  if (status < 200) return true;
  head_delivered_ = true;
  if (sink_->on_head && !sink_->on_head(static_cast<int>(status), headers_)) refused_ = true;
  return !refused_;
}

size_t Transfer::OnBody(char* data, size_t size, size_t count, void* self) {
  auto* transfer = static_cast<Transfer*>(self);
  transfer->body_seen_ = true;
  transfer->last_byte_ = std::chrono::steady_clock::now();
  if (transfer->sink_->on_body && !transfer->sink_->on_body(std::string_view(data, size * count))) {
    transfer->refused_ = true;
    return 0;
  }
  return size * count;
}

void Transfer::Prepare(const ClientRequest& request, curl_slist** headers) {
  curl_easy_reset(easy_);
  headers_.clear();
  head_delivered_ = refused_ = body_seen_ = false;
  for (const auto& [name, value] : request.headers) {
    *headers = curl_slist_append(*headers, (name + ": " + value).c_str());
  }
  *headers = curl_slist_append(*headers, "Expect:");
  curl_easy_setopt(easy_, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy_, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, *headers);
  if (request.method == "GET") {
    curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L);
  } else {
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  }
  curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request.connect_timeout.count()));
  curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, std::max<long>(1, static_cast<long>(request.timeout.count())));
  if (request.single_use_connection) {
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &Transfer::OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
}

/// Called only after all bytes that are there have been taken, so that a process that was paused does not
/// take its own pause for the silence of the peer.
bool Transfer::Expired(const ClientRequest& request, HttpReason* reason) {
  if (request.cancel != nullptr && request.cancel->load(std::memory_order_acquire)) {
    base::SetReason(reason, HttpCode::kAborted, "cancelled");
    return true;
  }
  if (request.progress_timeout.count() > 0 && body_seen_ &&
      std::chrono::steady_clock::now() - last_byte_ > request.progress_timeout) {
    base::SetReason(reason, HttpCode::kStalled,
                    "no byte for " + std::to_string(request.progress_timeout.count()) + " ms");
    return true;
  }
  return false;
}

void Transfer::Explain(CURLcode code, HttpReason* reason) const {
  HttpCode http_code = HttpCode::kBroken;
  if (refused_) http_code = HttpCode::kAborted;
  if (code == CURLE_COULDNT_CONNECT) http_code = HttpCode::kConnect;
  if (code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL) http_code = HttpCode::kInvalid;
  if (code == CURLE_OPERATION_TIMEDOUT) {
    curl_off_t connect_time = 0;
    curl_easy_getinfo(easy_, CURLINFO_PRETRANSFER_TIME_T, &connect_time);
    http_code = connect_time == 0 ? HttpCode::kConnect : HttpCode::kTimeout;
  }
  base::SetReason(reason, http_code, curl_easy_strerror(code));
}

bool Transfer::Run(const ClientRequest& request, const ResponseSink& sink, HttpReason* reason,
                   ExchangeState* state) {
  curl_slist* headers = nullptr;
  sink_ = &sink;
  Prepare(request, &headers);
  curl_multi_add_handle(multi_, easy_);
  bool whole = false;
  for (int running = 1;;) {
    curl_multi_perform(multi_, &running);
    if (running == 0) {
      int left = 0;
      const CURLMsg* message = curl_multi_info_read(multi_, &left);
      const CURLcode code = message == nullptr ? CURLE_RECV_ERROR : message->data.result;
      whole = code == CURLE_OK;
      if (!whole) Explain(code, reason);
      break;
    }
    if (Expired(request, reason)) break;
    curl_multi_poll(multi_, nullptr, 0, kPollMs, nullptr);
  }
  if (state != nullptr) {
    long request_bytes = 0;
    curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &request_bytes);
    state->connected = request_bytes > 0;
    state->head_seen = head_delivered_;
  }
  curl_multi_remove_handle(multi_, easy_);
  curl_slist_free_all(headers);
  return whole;
}

std::string HostOf(const std::string& url) {
  const size_t start = url.find("://");
  const size_t host = start == std::string::npos ? 0 : start + 3;
  return url.substr(host, url.find('/', host) - host);
}

class CurlClient final : public Client {
 public:
  std::optional<Response> Send(const ClientRequest& request, HttpReason* reason,
                               ExchangeState* state) override {
    Response response;
    ResponseSink sink;
    sink.on_head = [&](int status, const Headers& headers) {
      response.status = status;
      response.headers = headers;
      return true;
    };
    sink.on_body = [&](std::string_view bytes) {
      response.body.append(bytes);
      return true;
    };
    if (!Stream(request, sink, reason, state)) return std::nullopt;
    return response;
  }

  bool Stream(const ClientRequest& request, const ResponseSink& sink, HttpReason* reason,
              ExchangeState* state) override {
    const std::string host = HostOf(request.url);
    std::unique_ptr<Transfer> transfer = Take(host);
    const bool whole = transfer->Run(request, sink, reason, state);
    // A transfer that broke may hold a connection that has gone silent, so it is not used again.
    if (whole) Keep(host, std::move(transfer));
    return whole;
  }

 private:
  std::unique_ptr<Transfer> Take(const std::string& host) {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& idle = idle_[host];
    if (idle.empty()) return std::make_unique<Transfer>();
    auto transfer = std::move(idle.back());
    idle.pop_back();
    return transfer;
  }

  void Keep(const std::string& host, std::unique_ptr<Transfer> transfer) {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& idle = idle_[host];
    if (idle.size() < kIdleHandlesPerHost) idle.push_back(std::move(transfer));
  }

  std::mutex mutex_;
  std::unordered_map<std::string, std::vector<std::unique_ptr<Transfer>>> idle_;
};

}  // namespace

std::unique_ptr<Client> Client::Create() {
  static std::once_flag initialised;
  std::call_once(initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  return std::make_unique<CurlClient>();
}

}  // namespace cornelplank::http
