/// @file Errors of the key-value client.
#pragma once

#include "base/error_category.h"

namespace frostline::kv {

enum class errc {
  /// The request was not sent, or the service refused it; nothing changed.
  unavailable = 1,
  /// The service rejected the request because of its rate limit; nothing changed.
  rate_limited,
  /// The request may have taken effect; the caller has to read the keys to find out.
  outcome_unknown,
  /// The answer has an unexpected status or does not follow the protocol.
  malformed_answer,
  /// The lease has expired or was revoked.
  lease_expired,
  /// A watch got no answer in time on a connection that reported no error: the answer was lost, or
  /// the connection is dead.
  watch_silent,
};

inline const char* layer_name(errc) { return "kv"; }

inline std::string describe(errc code) {
  switch (code) {
    case errc::unavailable:
      return "key-value service is unavailable";
    case errc::rate_limited:
      return "key-value service limits the rate";
    case errc::outcome_unknown:
      return "outcome of the change is unknown";
    case errc::malformed_answer:
      return "malformed answer of the key-value service";
    case errc::lease_expired:
      return "lease has expired";
    case errc::watch_silent:
      return "watch was not answered in time";
  }
  return "unknown error";
}

inline std::error_code make_error_code(errc code) { return make_layer_error(code); }

}  // namespace frostline::kv

template <>
struct std::is_error_code_enum<frostline::kv::errc> : std::true_type {};
