#pragma once

#include <charconv>
#include <chrono>
#include <cmath>
#include <concepts>
#include <limits>
#include <optional>
#include <string_view>

namespace cornelplank::base {

/// The whole part of `value`; none when it is not finite or not between `least` and `most`. The conversion of
/// a number outside the range of `Integer` would be undefined and differ between processors.
template <std::integral Integer>
std::optional<Integer> ToInteger(double value, Integer least, Integer most) {
  if (!(value >= static_cast<double>(least) && value <= static_cast<double>(most))) return std::nullopt;
  // The greatest numbers of a 64-bit type round up to a number outside it.
  if (std::trunc(value) >= std::ldexp(1.0, std::numeric_limits<Integer>::digits)) return std::nullopt;
  return static_cast<Integer>(value);
}

/// `value` units of `Time`, without what is below a unit of `Result`; none when it is not finite or not
/// between `least` and `most`.
template <typename Time, typename Result>
std::optional<Result> ToTime(double value, Result least, Result most) {
  using Exact = std::chrono::duration<double, typename Result::period>;
  const Exact exact = std::chrono::duration<double, typename Time::period>(value);
  const auto count = ToInteger<typename Result::rep>(exact.count(), least.count(), most.count());
  if (!count) return std::nullopt;
  return Result(*count);
}

/// The number that `text` consists of, apart from blanks around it; none when there is anything else or the
/// number does not fit.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  while (text.starts_with(' ')) text.remove_prefix(1);
  while (text.ends_with(' ')) text.remove_suffix(1);
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace cornelplank::base
