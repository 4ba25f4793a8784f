#include "apps/ctl/http_transport.h"

#include <utility>

#include "libs/http/http.h"

namespace cornelplank::ctl {
namespace {

// Longer than the 250 ms used inside a zone, because operators may reach a gateway over a long-distance link.
constexpr std::chrono::milliseconds kConnectTimeout{3000};

class HttpTransport final : public Transport {
 public:
  explicit HttpTransport(std::chrono::milliseconds timeout)
      : timeout_(timeout), client_(http::Client::Create()) {}

  std::optional<HttpResponse> Get(const std::string& url, const std::map<std::string, std::string>& headers,
                                  std::string* error) override {
    http::ClientRequest request;
    request.url = url;
    request.connect_timeout = kConnectTimeout;
    request.timeout = timeout_;
    for (const auto& [name, value] : headers) request.headers[name] = value;
    http::HttpReason reason;
    http::ExchangeState state;
    auto response = client_->Send(request, &reason, &state);
    if (response) return HttpResponse{response->status, std::move(response->body)};
    *error = reason.detail.empty() ? "no answer" : reason.detail;
    return std::nullopt;
  }

 private:
  std::chrono::milliseconds timeout_;
  std::unique_ptr<http::Client> client_;
};

}  // namespace

std::unique_ptr<Transport> MakeHttpTransport(std::chrono::milliseconds timeout) {
  return std::make_unique<HttpTransport>(timeout);
}

}  // namespace cornelplank::ctl
