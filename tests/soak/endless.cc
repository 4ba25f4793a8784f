#include "tests/soak/endless.h"

#include <boost/asio/write.hpp>

namespace cornelplank::soak {
namespace {

constexpr size_t kWriteBytes = 65536;
constexpr std::chrono::milliseconds kWritePause{1};
constexpr std::chrono::seconds kSendTime{10};

}  // namespace

EndlessBytes MakeEndless(base::Random& random, const std::string& head) {
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  switch (random.Below(8)) {
    case 0:
      return {"", "garbage "};
    case 1:
      return {head + "X: ", "aaaaaaaa"};
    case 2:
      return {head, "X: a\r\n"};
    case 3:
      return {chunked, "00000000"};
    case 4:
      return {chunked + "2;x=", "aaaaaaaa"};
    case 5:
      return {chunked + "2\r\nhi\r\n0\r\nX: ", "aaaaaaaa"};
    case 6:
      return {chunked + "2\r\nhi\r\n0\r\n", "X: a\r\n"};
    default:
      return {chunked, "8\r\naaaaaaaa\r\n"};
  }
}

net::Task<> SendEndless(net::asio::io_context& loop, std::shared_ptr<net::Tcp::socket> socket,
                        EndlessBytes bytes) {
  while (bytes.part.size() < kWriteBytes) bytes.part += bytes.part;
  const auto end = std::chrono::steady_clock::now() + kSendTime;
  net::Error error;
  co_await net::asio::async_write(*socket, net::asio::buffer(bytes.start), net::Into(error));
  while (!error && std::chrono::steady_clock::now() < end) {
    co_await net::asio::async_write(*socket, net::asio::buffer(bytes.part), net::Into(error));
    co_await net::Sleep(loop, kWritePause);
  }
}

}  // namespace cornelplank::soak
