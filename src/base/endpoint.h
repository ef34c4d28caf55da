/// @file IP address and port.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace frostline {

/// Numeric IP address and port that a process listens on.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(endpoint const&) const = default;
  std::string to_string() const { return address + ":" + std::to_string(port); }
};

/// Parses "IP:port" with a numeric IPv4 address.
/// @return std::nullopt if the address or the port is malformed.
inline std::optional<endpoint> parse_endpoint(std::string_view text) {
  auto const colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  endpoint parsed;
  parsed.address = std::string(text.substr(0, colon));
  boost::system::error_code failure;
  boost::asio::ip::make_address_v4(parsed.address, failure);
  if (failure) return std::nullopt;
  std::string_view const digits = text.substr(colon + 1);
  char const* const end = digits.data() + digits.size();
  auto const [stop, error] = std::from_chars(digits.data(), end, parsed.port);
  if (error != std::errc() || stop != end || digits.empty()) return std::nullopt;
  return parsed;
}

}  // namespace frostline
