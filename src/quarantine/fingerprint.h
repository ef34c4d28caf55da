/// @file Identifies a request across retries by its caller, host, method, target and body.
/// No I/O.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace frostline::quarantine {

/// The parts of a request that stay the same when a client retries it. The request's identifier and
/// deadline change with each retry and are left out.
struct request_parts {
  /// The caller's tenant name, which survives key rotation. If no tenants are configured, the
  /// credentials in the request; empty if there are none.
  std::string_view caller;
  std::string_view host;
  std::string_view method;
  /// Path and query.
  std::string_view target;
  std::string_view body;
};

/// A 128-bit prefix of SHA-256. The hash must resist collisions: otherwise a client could get
/// another client's request refused by crafting one with the same fingerprint.
class fingerprint {
 public:
  static constexpr std::size_t k_bytes = 16;

  fingerprint() = default;
  static fingerprint of(request_parts const& parts);
  /// @return nullopt if `text` does not have the format of `to_string`.
  static std::optional<fingerprint> parse(std::string_view text);

  /// 32 hexadecimal digits, which reveal nothing about the request.
  std::string to_string() const;
  auto operator<=>(fingerprint const&) const = default;

 private:
  std::array<std::uint8_t, k_bytes> bytes_{};
};

}  // namespace frostline::quarantine
