/// @file What makes two requests the same request: who asks, what for, and the body. Pure.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace frostline::quarantine {

/// What a server sees of a request that does not change when its client asks again. The request's
/// identifier and its deadline change; they are left out.
struct request_parts {
  /// Name of the caller's tenant, or, where no tenants are known, the credentials that the request
  /// carries; empty if it carries none. Keys of a tenant change, its name does not.
  std::string_view caller;
  std::string_view host;
  std::string_view method;
  /// Path and query.
  std::string_view target;
  std::string_view body;
};

/// 128 bits of SHA-256: a client that could make another request collide with its own could have
/// that one refused, so a hash without that strength would not do.
class fingerprint {
 public:
  static constexpr std::size_t k_bytes = 16;

  fingerprint() = default;
  static fingerprint of(request_parts const& parts);
  /// @return nothing if `text` is not what `to_string` writes.
  static std::optional<fingerprint> parse(std::string_view text);

  /// 32 hexadecimal digits; nothing of the request can be read from it.
  std::string to_string() const;
  auto operator<=>(fingerprint const&) const = default;

 private:
  std::array<std::uint8_t, k_bytes> bytes_{};
};

}  // namespace frostline::quarantine
