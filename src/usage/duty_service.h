/// @file Interface of the platform service that accepts calls from only one node, the duty holder,
/// at a time.
#pragma once

#include <cstdint>
#include <string>

#include "base/asio.h"
#include "schema/frostline_generated.h"

namespace frostline::usage {

/// The node that makes a call, and its fencing token.
struct duty_holder {
  std::string node;
  /// Increases whenever another node becomes the holder.
  std::uint64_t fence = 0;
};

enum class report_reply {
  accepted,
  /// The service is overloaded and did nothing.
  busy,
  /// The call will never be accepted: it is malformed, or the service has accepted a newer holder.
  refused,
  /// No answer or a failure; the report may have been accepted.
  unknown,
};

class duty_service {
 public:
  virtual ~duty_service() = default;
  /// The same report may be sent again, but a window must not be reported with different counts.
  virtual awaitable<report_reply> report_usage(duty_holder holder, rpc::UsageWindowT window) = 0;
};

}  // namespace frostline::usage
