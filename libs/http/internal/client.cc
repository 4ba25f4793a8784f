#include "libs/http/internal/client.h"

#include <curl/curl.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelplank::http {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

// Longest wait for one event in `Client::Send`, which goes on waiting until the request's own limits end it.
constexpr std::chrono::milliseconds kEventWait{1000};
constexpr size_t kMaxIdleTransfersPerHost = 32;
// Greatest size of all header and trailer lines of a response together, with its interim responses.
constexpr size_t kMaxHeadBytes = 256 << 10;

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

/// Performs one request at a time with libcurl: an easy handle in a multi handle of its own. The multi handle
/// keeps the connection between requests.
class Transfer {
 public:
  Transfer() : multi_(curl_multi_init()), easy_(curl_easy_init()) {}
  ~Transfer() {
    Detach();
    curl_easy_cleanup(easy_);
    curl_multi_cleanup(multi_);
  }
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  /// Prepares a request; `Next` sends it.
  void Begin(ClientRequest request);
  ExchangeEvent Next(std::chrono::milliseconds limit);
  ExchangeState state() const;
  bool complete() const { return finished_ && complete_; }
  /// Removes the easy handle from the multi handle, which keeps the connection for the next request.
  void Detach();

 private:
  static size_t OnHeader(char* data, size_t size, size_t count, void* self);
  static size_t OnBody(char* data, size_t size, size_t count, void* self);
  static int OnCloseSocket(void* self, curl_socket_t socket);

  void SetOptions();
  /// Records the reason for which the transfer fails. Returns the number that makes libcurl end it.
  size_t StopReceiving(const char* problem) {
    problem_ = problem;
    return 0;
  }
  /// Queues the head of the response, unless it is interim. Returns false when its status is no valid one.
  bool DeliverHead();
  /// Whether the end of the connection ended the response before the server had received the request, as a
  /// crash of the server does.
  bool EndedEarly() const;
  /// Sends and receives what is possible without blocking, and queues the event for the end.
  void Perform();
  /// `head_timeout` or `progress_timeout`, if it has passed without a byte.
  std::optional<std::chrono::milliseconds> PassedLimit() const;
  HttpReason ToReason(CURLcode code) const;

  CURLM* multi_;
  CURL* easy_;
  ClientRequest request_;
  curl_slist* header_list_ = nullptr;
  bool attached_ = false;
  Headers headers_;
  std::deque<ExchangeEvent> events_;
  size_t head_bytes_ = 0;
  size_t body_bytes_ = 0;
  const char* problem_ = nullptr;        // why this class has ended the transfer, if it has
  bool request_unacknowledged_ = false;  // when the connection was closed
  bool head_received_ = false;
  bool finished_ = false;
  bool complete_ = false;
  SteadyTime begun_;
  SteadyTime last_byte_;
};

size_t Transfer::OnHeader(char* data, size_t size, size_t count, void* self) {
  auto* transfer = static_cast<Transfer*>(self);
  const std::string_view line(data, size * count);
  transfer->head_bytes_ += line.size();
  if (transfer->head_bytes_ > kMaxHeadBytes) return transfer->StopReceiving("the head is too long");
  const size_t colon = line.find(':');
  if (line.starts_with("HTTP/")) {
    transfer->headers_.clear();  // drops the headers of an interim response
  } else if (colon != std::string_view::npos) {
    transfer->headers_[std::string(line.substr(0, colon))] = std::string(Trim(line.substr(colon + 1)));
  } else if (Trim(line).empty()) {
    if (!transfer->DeliverHead()) return transfer->StopReceiving("the status is invalid");
  }
  return line.size();
}

bool Transfer::DeliverHead() {
  constexpr long kSwitchingProtocols = 101;  // no request asks for it
  constexpr long kFirstFinalStatus = 200;
  constexpr long kLastFinalStatus = 599;
  long status = 0;
  curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
  if (status < 100 || status == kSwitchingProtocols || status > kLastFinalStatus) return false;
  if (status < kFirstFinalStatus || head_received_) return true;
  head_received_ = true;
  ExchangeEvent event{ExchangeEvent::Kind::kHead};
  event.status = static_cast<int>(status);
  event.headers = headers_;
  events_.push_back(std::move(event));
  return true;
}

bool Transfer::EndedEarly() const {
  constexpr long kNoContent = 204;
  constexpr long kNotModified = 304;
  long status = 0;
  curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
  if (request_.method == "HEAD" || status == kNoContent || status == kNotModified) return false;
  if (headers_.contains("Content-Length") || headers_.contains("Transfer-Encoding")) return false;
  curl_off_t sent = 0;
  curl_easy_getinfo(easy_, CURLINFO_SIZE_UPLOAD_T, &sent);
  return request_unacknowledged_ || static_cast<size_t>(sent) < request_.body.size();
}

int Transfer::OnCloseSocket(void* self, curl_socket_t socket) {
  int unacknowledged = 0;
  if (ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0) {
    static_cast<Transfer*>(self)->request_unacknowledged_ = true;
  }
  return close(socket);
}

size_t Transfer::OnBody(char* data, size_t size, size_t count, void* self) {
  auto* transfer = static_cast<Transfer*>(self);
  const size_t limit = transfer->request_.max_body_bytes;
  transfer->body_bytes_ += size * count;
  if (limit > 0 && transfer->body_bytes_ > limit) return transfer->StopReceiving("the body is too long");
  transfer->last_byte_ = std::chrono::steady_clock::now();
  auto& events = transfer->events_;
  if (events.empty() || events.back().kind != ExchangeEvent::Kind::kData) {
    events.push_back({ExchangeEvent::Kind::kData});
  }
  events.back().data.append(data, size * count);
  return size * count;
}

void Transfer::Begin(ClientRequest request) {
  request_ = std::move(request);
  headers_.clear();
  events_.clear();
  head_bytes_ = body_bytes_ = 0;
  problem_ = nullptr;
  head_received_ = finished_ = complete_ = request_unacknowledged_ = false;
  begun_ = std::chrono::steady_clock::now();
  last_byte_ = {};
  curl_easy_reset(easy_);
  for (const auto& [name, value] : request_.headers) {
    header_list_ = curl_slist_append(header_list_, (name + ": " + value).c_str());
  }
  header_list_ = curl_slist_append(header_list_, "Expect:");
  SetOptions();
  curl_multi_add_handle(multi_, easy_);
  attached_ = true;
}

void Transfer::SetOptions() {
  curl_easy_setopt(easy_, CURLOPT_URL, request_.url.c_str());
  curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy_, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, header_list_);
  if (request_.method == "GET") {
    curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L);
  } else if (request_.method == "HEAD") {
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
  } else {
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request_.body.data());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE, static_cast<long>(request_.body.size()));
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
  }
  curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request_.connect_timeout.count()));
  curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, std::max<long>(1, static_cast<long>(request_.timeout.count())));
  if (request_.single_use_connection) {
    curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
  }
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETFUNCTION, &Transfer::OnCloseSocket);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETDATA, this);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &Transfer::OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
}

void Transfer::Detach() {
  if (attached_) curl_multi_remove_handle(multi_, easy_);
  curl_slist_free_all(header_list_);
  header_list_ = nullptr;
  attached_ = false;
}

std::optional<std::chrono::milliseconds> Transfer::PassedLimit() const {
  const auto now = std::chrono::steady_clock::now();
  const bool in_body = last_byte_ != SteadyTime{};
  const auto limit = in_body ? request_.progress_timeout : request_.head_timeout;
  if (limit.count() == 0 || (!in_body && head_received_)) return std::nullopt;
  if (now - (in_body ? last_byte_ : begun_) <= limit) return std::nullopt;
  return limit;
}

HttpReason Transfer::ToReason(CURLcode code) const {
  HttpErrorCode http_code = HttpErrorCode::kBroken;
  if (code == CURLE_COULDNT_CONNECT) http_code = HttpErrorCode::kConnect;
  if (code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL) http_code = HttpErrorCode::kInvalid;
  if (code == CURLE_OPERATION_TIMEDOUT) {
    curl_off_t connect_time = 0;
    curl_easy_getinfo(easy_, CURLINFO_PRETRANSFER_TIME_T, &connect_time);
    http_code = connect_time == 0 ? HttpErrorCode::kConnect : HttpErrorCode::kTimeout;
  }
  return {http_code, problem_ != nullptr ? problem_ : curl_easy_strerror(code)};
}

void Transfer::Perform() {
  int running = 0;
  curl_multi_perform(multi_, &running);
  if (running > 0) return;
  int left = 0;
  const CURLMsg* message = curl_multi_info_read(multi_, &left);
  const CURLcode code = message == nullptr ? CURLE_RECV_ERROR : message->data.result;
  finished_ = true;
  // libcurl reports success when the server closes inside the head.
  const bool ended_early = code == CURLE_OK && head_received_ && EndedEarly();
  complete_ = code == CURLE_OK && head_received_ && !ended_early;
  ExchangeEvent event{complete_ ? ExchangeEvent::Kind::kEnd : ExchangeEvent::Kind::kFailed};
  if (!complete_) {
    const char* problem = ended_early ? "the connection ended early" : "the head is incomplete";
    event.reason = code == CURLE_OK ? HttpReason{HttpErrorCode::kBroken, problem} : ToReason(code);
  }
  events_.push_back(std::move(event));
}

ExchangeEvent Transfer::Next(std::chrono::milliseconds limit) {
  const SteadyTime end = std::chrono::steady_clock::now() + limit;
  while (events_.empty()) {
    if (finished_) {
      return {ExchangeEvent::Kind::kFailed, 0, {}, "", {HttpErrorCode::kAborted, "already ended"}};
    }
    Perform();
    if (!events_.empty()) break;
    // Checked only after all bytes that have arrived were read, so that a pause of this process doesn't count
    // as silence of the peer.
    if (const auto silence = PassedLimit()) {
      finished_ = true;
      const std::string detail = "no byte for " + std::to_string(silence->count()) + " ms";
      return {ExchangeEvent::Kind::kFailed, 0, {}, "", {HttpErrorCode::kStalled, detail}};
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
    if (left.count() <= 0) return {};
    auto wait = left;
    if (request_.progress_timeout.count() > 0) wait = std::min(wait, request_.progress_timeout);
    if (request_.head_timeout.count() > 0) wait = std::min(wait, request_.head_timeout);
    curl_multi_poll(multi_, nullptr, 0, static_cast<int>(wait.count()), nullptr);
  }
  ExchangeEvent event = std::move(events_.front());
  events_.pop_front();
  return event;
}

ExchangeState Transfer::state() const {
  long request_bytes = 0;
  curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &request_bytes);
  return {request_bytes > 0, head_received_};
}

/// Host and port of a URL, as written.
std::string HostAndPort(const std::string& url) {
  const size_t start = url.find("://");
  const size_t host = start == std::string::npos ? 0 : start + 3;
  return url.substr(host, url.find('/', host) - host);
}

/// Transfers that are not in use, with their open connections, by host and port. Thread-safe.
class TransferPool {
 public:
  /// Returns an idle transfer for the host, or a new one.
  std::unique_ptr<Transfer> Take(const std::string& host) {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& idle = idle_[host];
    if (idle.empty()) return std::make_unique<Transfer>();
    auto transfer = std::move(idle.back());
    idle.pop_back();
    return transfer;
  }

  /// Keeps the transfer for reuse; destroys it when `kMaxIdleTransfersPerHost` are kept already.
  void Keep(const std::string& host, std::unique_ptr<Transfer> transfer) {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& idle = idle_[host];
    if (idle.size() < kMaxIdleTransfersPerHost) idle.push_back(std::move(transfer));
  }

 private:
  std::mutex mutex_;
  std::unordered_map<std::string, std::vector<std::unique_ptr<Transfer>>> idle_;
};

class CurlExchange final : public Exchange {
 public:
  CurlExchange(TransferPool* pool, const ClientRequest& request)
      : pool_(pool), host_(HostAndPort(request.url)), transfer_(pool->Take(host_)) {
    transfer_->Begin(request);
  }
  ~CurlExchange() override {
    // The connection of a failed transfer may be dead, so only transfers with a complete response are reused.
    if (!transfer_->complete()) return;
    transfer_->Detach();
    pool_->Keep(host_, std::move(transfer_));
  }

  ExchangeEvent Next(std::chrono::milliseconds limit) override { return transfer_->Next(limit); }
  ExchangeState state() const override { return transfer_->state(); }

 private:
  TransferPool* pool_;
  const std::string host_;
  std::unique_ptr<Transfer> transfer_;
};

class CurlClient final : public Client {
 public:
  std::unique_ptr<Exchange> Open(const ClientRequest& request) override {
    return std::make_unique<CurlExchange>(&pool_, request);
  }

  std::optional<Response> Send(const ClientRequest& request, HttpReason* reason,
                               ExchangeState* state) override {
    const auto exchange = Open(request);
    Response response;
    while (true) {
      ExchangeEvent event = exchange->Next(kEventWait);
      if (state != nullptr) *state = exchange->state();
      switch (event.kind) {
        case ExchangeEvent::Kind::kHead:
          response.status = event.status;
          response.headers = std::move(event.headers);
          break;
        case ExchangeEvent::Kind::kData:
          response.body += event.data;
          break;
        case ExchangeEvent::Kind::kEnd:
          return response;
        case ExchangeEvent::Kind::kFailed:
          base::SetReason(reason, event.reason.code, event.reason.detail);
          return std::nullopt;
        case ExchangeEvent::Kind::kNothing:
          break;
      }
    }
  }

 private:
  TransferPool pool_;
};

}  // namespace

std::unique_ptr<Client> Client::Create() {
  static std::once_flag initialised;
  std::call_once(initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  return std::make_unique<CurlClient>();
}

}  // namespace cornelplank::http
