#include "tests/soak/replica.h"

#include <netinet/tcp.h>

#include <boost/beast/http.hpp>

#include "tests/soak/endless.h"

namespace cornelplank::soak {
namespace {

namespace asio = net::asio;
namespace http = boost::beast::http;
namespace wire = testing::wire;

constexpr int kSlots = 16;
constexpr uint64_t kMaxBodyBytes = 4 << 20;
// Small buffers and the segments of an Ethernet link, so that a long body waits in the VM while it is not
// read.
constexpr int kReceiveBufferBytes = 65536;
constexpr int kSegmentBytes = 1460;

}  // namespace

void Replica::Start(const std::string& id) {
  id_ = id;
  leaving_ = endless_ = cutting_ = false;
  push_back_.reset();
  ledger_.OnReplicaStart(id);
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  born_ = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
  acceptor_.emplace(loop_, address_);
  acceptor_->set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  acceptor_->set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>(kSegmentBytes));
  address_ = acceptor_->local_endpoint();  // keeps the port for the next start
  net::Spawn(loop_, "replica", Accept(++generation_));
  Publish(false);
}

void Replica::Drain(bool announced) {
  leaving_ = true;
  if (announced) Publish(true);
}

void Replica::Publish(bool draining) {
  store_.Put(wire::ReplicaKey(id_), wire::EncodeReplica(service_, address_, zone_, kSlots, draining, born_));
}

void Replica::SetLimit(std::optional<double> per_second) {
  limit_ = per_second;
  ledger_.rates().OnEnded(id_);
}

void Replica::Crash() {
  ++generation_;
  if (limit_) SetLimit(std::nullopt);
  acceptor_.reset();
  for (const std::string& id : working_) ledger_.OnReplicaFailed(id);
  for (const Socket& socket : sockets_) {
    net::Error ignored;  // a socket may be disconnected already
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
  sockets_.clear();
}

net::Task<> Replica::Accept(int generation) {
  while (generation == generation_) {
    auto socket = std::make_shared<net::Tcp::socket>(loop_);
    net::Error error;
    co_await acceptor_->async_accept(*socket, net::Into(error));
    if (error || generation != generation_) co_return;
    sockets_.insert(socket);
    net::Spawn(loop_, "replica_connection", Serve(socket, generation));
  }
}

net::Task<bool> Replica::Write(Socket socket, std::string bytes) {
  net::Error error;
  co_await asio::async_write(*socket, asio::buffer(bytes), net::Into(error));
  co_return !error;
}

std::string Replica::Head(const std::string& id, int status, const std::string& framing) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  if (!id.empty()) head += std::string(wire::kRequestId) + ": " + id + "\r\n";
  if (limit_) {
    head += std::string(wire::kRateLimit) + ": " + std::to_string(*limit_) + "\r\n";
    ledger_.rates().OnStated(id_, *limit_, Now());
  }
  if (leaving_) {
    head += std::string(wire::kLeaving) + ": 1\r\n";
    ledger_.OnStatement(id, id_, region_, std::nullopt);
  }
  return head + framing;
}

net::Task<> Replica::Serve(Socket socket, int generation) {
  boost::beast::flat_buffer buffer;
  bool open = true;
  bool kept = false;  // the connection has carried another request
  while (open && generation == generation_) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    net::Error error;
    co_await http::async_read_header(*socket, buffer, parser, net::Into(error));
    if (error || generation != generation_) break;
    const auto& request = parser.get();
    const std::string id(request[wire::kRequestId]);
    const bool cut = cutting_ && request[wire::kExpectedReplica] == id_ && random_.Below(4) == 0;
    if (cut) {
      ledger_.OnArrival(id, id_, region_);
      ledger_.OnRun(id, std::string(request.target()), RequestBody(id), service_, region_);
      co_await CutAnswer(socket, id);
      break;
    }
    co_await http::async_read(*socket, buffer, parser, net::Into(error));
    if (error || generation != generation_) break;
    ledger_.OnArrival(id, id_, region_);
    const auto expected = request[wire::kExpectedReplica];
    const bool other_replica = !expected.empty() && expected != id_;
    if (other_replica || random_.Below(60) == 0) {
      const std::string refusal = std::string(wire::kNotRun) + ": 1\r\nContent-Length: 0\r\n\r\n";
      open = co_await Write(socket, Head(id, other_replica ? 421 : 503, refusal));
      kept = true;
      continue;
    }
    if (push_back_ && random_.Below(2) == 0) {
      ledger_.OnStatement(id, id_, region_, push_back_);
      const std::string refusal = std::string(wire::kNotRun) + ": 1\r\n" + wire::kRetryAfter + ": " +
                                  std::to_string(std::chrono::duration<double>(*push_back_).count()) +
                                  "\r\nContent-Length: 0\r\n\r\n";
      open = co_await Write(socket, Head(id, 503, refusal));
      kept = true;
      continue;
    }
    ledger_.OnRun(id, std::string(request.target()), request.body(), service_, region_);
    if (endless_ && random_.Below(4) == 0) {
      ledger_.OnReplicaFailed(id);
      const std::string framing = std::string(wire::kSignature) + ": " + Signature(id, id_) + "\r\n";
      co_await SendEndless(loop_, socket, MakeEndless(random_, Head(id, 200, framing)));
      break;
    }
    if (random_.Below(150) == 0) {
      // An answer to no request that arrives where the next answer is due.
      ledger_.OnReplicaFailed(id);
      co_await WriteStray(socket, kept);
    }
    const auto working = working_.insert(id);
    if (service_.starts_with("stream")) {
      const std::string last(request[wire::kLastEvent]);
      open = co_await AnswerStream(socket, id, last.empty() ? 1 : std::stoull(last) + 1);
    } else {
      open = co_await AnswerSimple(socket, id);
    }
    working_.erase(working);
    if (open && random_.Below(150) == 0) {
      open = co_await WriteStray(socket, true);
    }
    kept = true;
  }
  if (generation == generation_) sockets_.erase(socket);
  net::Error ignored;  // the other side may have closed first
  socket->close(ignored);
}

net::Task<> Replica::CutAnswer(Socket socket, std::string id) {
  const std::string body = ResponseBody(id);
  const std::string framing =
      std::string(wire::kSignature) + ": " + Signature(id, id_) + "\r\nConnection: close\r\n\r\n";
  ledger_.OnReplicaFailed(id);
  ledger_.OnReplicaStatus(id, 200);
  co_await Write(socket, Head(id, 200, framing) + body.substr(0, body.size() / 2));
  co_await net::Sleep(loop_, std::chrono::milliseconds(50));
  net::Error ignored;  // the VM may have closed first
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
}

net::Task<bool> Replica::WriteStray(Socket socket, bool kept) {
  if (random_.Below(2) == 0) {
    const std::string refusal = std::string(wire::kNotRun) + ": 1\r\nContent-Length: 0\r\n\r\n";
    co_return co_await Write(socket, Head(kept && random_.Below(2) == 0 ? "" : "stray", 503, refusal));
  }
  const std::string body = ResponseBody("stray");
  const std::string framing = std::string(wire::kSignature) + ": " + Signature("stray", id_) +
                              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  co_return co_await Write(socket, Head("stray", 200, framing) + body);
}

net::Task<bool> Replica::AnswerSimple(Socket socket, std::string id) {
  co_await net::Sleep(loop_, std::chrono::milliseconds(5 + random_.Below(60)));
  const int status = random_.Below(120) == 0 ? 500 : 200;
  const bool until_close = random_.Below(25) == 0;
  const bool truncated = !until_close && random_.Below(150) == 0;
  const std::string body = status == 200 ? ResponseBody(id) : "error";
  ledger_.OnReplicaStatus(id, static_cast<unsigned>(status));
  std::string framing = std::string(wire::kSignature) + ": " + Signature(id, id_) + "\r\n";
  framing += until_close
                 ? "Connection: close\r\n\r\n"
                 : "Content-Length: " + std::to_string(body.size() + (truncated ? 10 : 0)) + "\r\n\r\n";
  // The body follows in two parts, so that a crash can fall between them.
  const std::string first = Head(id, status, framing) + body.substr(0, body.size() / 2);
  if (!co_await Write(socket, first)) co_return false;
  co_await net::Sleep(loop_, std::chrono::milliseconds(random_.Below(20)));
  if (truncated) ledger_.OnReplicaFailed(id);
  const bool written = co_await Write(socket, body.substr(body.size() / 2));
  co_return written && !truncated && !until_close;
}

net::Task<bool> Replica::AnswerStream(Socket socket, std::string id, uint64_t first_event) {
  co_await net::Sleep(loop_, std::chrono::milliseconds(10 + random_.Below(80)));
  ledger_.OnReplicaStatus(id, 200);
  const std::string framing = std::string(wire::kSignature) + ": " + Signature(id, id_) +
                              "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  if (!co_await Write(socket, Head(id, 200, framing))) co_return false;
  const uint64_t events = EventCount(id);
  // A stream that breaks off ends inside an event.
  const uint64_t broken_at = random_.Below(60) == 0 ? 1 + random_.Below(events) : 0;
  for (uint64_t number = first_event; number <= events; ++number) {
    std::string text = EventText(id, number);
    if (number == broken_at) {
      ledger_.OnReplicaFailed(id);
      text.resize(text.size() / 2);
    }
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    const bool written = co_await Write(socket, size + text + "\r\n");
    if (!written || number == broken_at) co_return false;
    co_await net::Sleep(loop_, std::chrono::milliseconds(10 + random_.Below(50)));
  }
  co_return co_await Write(socket, "0\r\n\r\n");
}

}  // namespace cornelplank::soak
