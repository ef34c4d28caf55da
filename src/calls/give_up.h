/// @file Requests that got no server's answer: why, and what their callers are told.
#pragma once

#include <optional>
#include <string_view>

#include "base/time.h"
#include "http/message.h"

namespace frostline::calls {

/// Why a request got no server's answer.
enum class call_failure {
  none,
  no_configuration,
  no_route,
  no_server,
  /// Every server that was asked refused; it has not run.
  servers_full,
  /// Out of time before any server may have run it.
  deadline_not_run,
  /// Out of time while a server may run it.
  deadline_unknown,
  /// A server failed and may have run it.
  outcome_unknown,
  caller_left,
  /// It ends the servers that run it, so no server gets it; it has not run this time.
  quarantined,
};

std::string_view to_string(call_failure reason);

/// The answer for a request that was given up, with when to come back if it has not run.
/// @param next_try for one under quarantine: when it may be tried again. Until its first trial that
/// is soon, and a request that only stood beside a crash is served then; after it the caller is
/// told a minute, as it is where nothing is known.
http::response give_up_answer(call_failure reason,
                              std::optional<milliseconds> next_try = std::nullopt);

}  // namespace frostline::calls
