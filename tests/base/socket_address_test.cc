#include <gtest/gtest.h>

#include "libs/base/base.h"

namespace cornelplank::base {
namespace {

struct AddressCase {
  const char* name;
  std::string text;
  std::optional<uint16_t> port;
};
class SocketAddressTest : public testing::TestWithParam<AddressCase> {};

// Guards against a listener on another address than the configured one, when a malformed text is accepted in
// part.
TEST_P(SocketAddressTest, IsParsedCompletelyOrRefused) {
  const auto address = ParseSocketAddress(GetParam().text);
  ASSERT_EQ(address.has_value(), GetParam().port.has_value());
  if (address) {
    EXPECT_EQ(ntohs(address->sin_port), *GetParam().port);
  }
}

INSTANTIATE_TEST_SUITE_P(Texts, SocketAddressTest,
                         testing::Values(AddressCase{"AddressAndPort", "127.0.0.1:80", 80},
                                         AddressCase{"AnyPort", "0.0.0.0:0", 0},
                                         AddressCase{"NoPort", "127.0.0.1", std::nullopt},
                                         AddressCase{"EmptyPort", "127.0.0.1:", std::nullopt},
                                         AddressCase{"PortTooHigh", "127.0.0.1:65536", std::nullopt},
                                         AddressCase{"TextAfterPort", "127.0.0.1:80x", std::nullopt},
                                         AddressCase{"HostName", "localhost:80", std::nullopt}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace cornelplank::base
