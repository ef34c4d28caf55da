/// @file The platform's service that takes what only one node at a time may tell it.
#pragma once

#include <cstdint>
#include <string>

#include "base/asio.h"
#include "schema/frostline_generated.h"

namespace frostline::usage {

/// In whose name a call is made.
struct duty_holder {
  std::string node;
  /// Rises whenever another node becomes the holder.
  std::uint64_t fence = 0;
};

enum class report_reply {
  accepted,
  /// Too many calls just now: nothing was done.
  busy,
  /// The service takes this call never: it is malformed, or a newer holder is known.
  refused,
  /// No answer, or a failure: it may have been taken.
  unknown,
};

class duty_service {
 public:
  virtual ~duty_service() = default;
  /// The same report may be sent again; another one for the same window must not.
  virtual awaitable<report_reply> report_usage(duty_holder holder, rpc::UsageWindowT window) = 0;
};

}  // namespace frostline::usage
