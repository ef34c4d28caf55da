/// @file Errors of the HTTP layer. They tell how far a request got, which decides whether it may be
/// reported as not run.
#pragma once

#include "base/error_category.h"

namespace frostline::http {

enum class errc {
  /// The connection was not established and nothing was sent: the request was not run.
  connect_failed = 1,
  /// The request may have reached the peer and may have run.
  exchange_failed,
  /// The deadline passed; the request may have run.
  deadline_exceeded,
  /// The response ended before its declared length.
  answer_truncated,
  /// The response is larger than the limit.
  answer_too_large,
};

inline const char* layer_name(errc) { return "http"; }

inline std::string describe(errc code) {
  switch (code) {
    case errc::connect_failed:
      return "could not connect";
    case errc::exchange_failed:
      return "connection failed during the exchange";
    case errc::deadline_exceeded:
      return "deadline passed during the exchange";
    case errc::answer_truncated:
      return "answer ended early";
    case errc::answer_too_large:
      return "answer is over the size limit";
  }
  return "unknown error";
}

inline std::error_code make_error_code(errc code) { return make_layer_error(code); }

}  // namespace frostline::http

template <>
struct std::is_error_code_enum<frostline::http::errc> : std::true_type {};
