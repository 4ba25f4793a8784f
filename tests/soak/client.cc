#include "tests/soak/client.h"

namespace cornelplank::soak {
namespace {

namespace asio = net::asio;
namespace http = boost::beast::http;
namespace wire = testing::wire;

constexpr size_t kMaxConnections = 4;
constexpr int kDirectoriesToAsk = 3;
constexpr std::chrono::seconds kConnectLimit{1};
constexpr std::chrono::seconds kAddressLifetime{2};
constexpr std::chrono::milliseconds kRequestLimit{4000};
constexpr std::chrono::milliseconds kAnswerMargin{500};  // beyond the time that the request states

std::string HeaderText(const http::fields& fields, const char* name) {
  const auto value = fields[name];
  return {value.data(), value.size()};
}

}  // namespace

net::Task<> Client::Run(const bool* stop) {
  while (!*stop) {
    co_await net::Sleep(loop_, std::chrono::milliseconds(20 + random_.Below(60)));
    DropClosed();
    if (connections_.empty() || (connections_.size() < kMaxConnections && random_.Below(12) == 0)) {
      co_await Open();
    }
    if (connections_.empty()) continue;
    co_await SendRequest(connections_[random_.Below(connections_.size())]);
  }
}

void Client::DropClosed() {
  std::erase_if(connections_, [this](const std::shared_ptr<Connection>& connection) {
    net::Error error;
    char byte;
    auto& socket = connection->stream.socket();
    socket.non_blocking(true, error);
    const size_t size = socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (size > 0 || connection->buffer.size() > 0) {
      ledger_.Fail("unrequested_bytes", name_, fleet_.Describe(connection->vm));
      return true;
    }
    return error != asio::error::would_block;
  });
}

net::Task<> Client::Resolve() {
  std::vector<const VmFleet::Vm*> order;
  for (const auto& vm : fleet_.vms()) order.push_back(&vm);
  for (size_t i = order.size(); i > 1; --i) std::swap(order[i - 1], order[random_.Below(i)]);
  std::stable_partition(order.begin(), order.end(), [&](auto* vm) { return vm->zone.name == zone_.name; });
  for (int i = 0; i < kDirectoriesToAsk && i < static_cast<int>(order.size()); ++i) {
    boost::beast::tcp_stream stream(loop_);
    stream.expires_after(kConnectLimit);
    net::Error error;
    const auto endpoint = fleet_.EndpointOf(*order[static_cast<size_t>(i)], "directory");
    co_await stream.async_connect(endpoint, net::Into(error));
    if (error) continue;
    const std::string question = wire::DirectoryRequest("h.example", zone_.region, zone_.name);
    co_await asio::async_write(stream, asio::buffer(question), net::Into(error));
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!error) {
      co_await http::async_read(stream, buffer, response, net::Into(error));
    }
    const auto addresses = wire::DecodeAddresses(response.body());
    if (error || response.result_int() != 200 || addresses.empty()) continue;
    addresses_ = addresses;
    addresses_until_ = Now() + kAddressLifetime;
    co_return;
  }
  ledger_.Count("unanswered_resolves");
}

net::Task<> Client::Open() {
  if (Now() > addresses_until_) {
    co_await Resolve();
  }
  if (addresses_.empty()) co_return;
  const net::Tcp::endpoint endpoint = addresses_[random_.Below(addresses_.size())];
  const VmFleet::Vm* vm = fleet_.FindVm(endpoint.address());
  if (vm == nullptr) {
    ledger_.Fail("directory", name_, "names " + wire::EndpointText(endpoint));
    co_return;
  }
  auto connection = std::make_shared<Connection>(loop_);
  connection->stream.expires_after(kConnectLimit);
  net::Error error;
  co_await connection->stream.async_connect(endpoint, net::Into(error));
  if (error) {
    ledger_.Count("failed_connects");
    addresses_until_ = {};
    co_return;
  }
  connection->vm = vm->index;
  connection->incarnation = vm->incarnation;
  connections_.push_back(connection);
}

net::Task<Result> Client::ReadResult(Connection& connection, bool* keep) {
  Result result;
  http::response_parser<http::string_body> parser;
  net::Error error;
  co_await http::async_read(connection.stream, connection.buffer, parser, net::Into(error));
  result.timed_out = error == boost::beast::error::timeout;
  result.fault = error.message();
  result.complete = !error;
  if (parser.is_header_done()) {
    const auto& response = parser.get();
    result.status = response.result_int();
    result.request_id = HeaderText(response, wire::kRequestId);
    result.signature = HeaderText(response, wire::kSignature);
    result.body = response.body();
  }
  *keep = !error && parser.keep_alive();
  co_return result;
}

net::Task<> Client::SendRequest(std::shared_ptr<Connection> connection) {
  const auto& routes = ledger_.config().routes;
  const serving::RouteConfig& route = routes[random_.Below(routes.size())];
  Request request;
  request.id = name_ + "-" + std::to_string(++sent_);
  request.route = route.name;
  request.at_most_once = route.kind == serving::RequestKind::kAtMostOnce ||
                         (route.kind == serving::RequestKind::kStream && !route.resumable);
  request.always_present = !route.name.ends_with("x");
  request.vm = connection->vm;
  request.incarnation = connection->incarnation;
  request.sent = Now();
  const std::string body = RequestBody(request.id);
  const std::string text = "POST " + route.path_prefix + request.id + " HTTP/1.1\r\nHost: h.example\r\n" +
                           wire::kRequestId + ": " + request.id + "\r\n" + wire::kTimeLeft + ": " +
                           std::to_string(kRequestLimit.count()) +
                           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  ledger_.BeginRequest(request);
  connection->stream.expires_after(kRequestLimit + kAnswerMargin);
  // A fault of the write shows again when the answer is read; the VM may have answered before it closed.
  net::Error ignored;
  co_await asio::async_write(connection->stream, asio::buffer(text), net::Into(ignored));
  bool keep = false;
  const Result result = co_await ReadResult(*connection, &keep);
  ledger_.OnResult(request.id, result);
  connection->stream.expires_never();
  if (!keep) std::erase(connections_, connection);
}

}  // namespace cornelplank::soak
