/// @file Reports of exceptions that nothing has handled.
#pragma once

#include <cstdint>
#include <exception>
#include <source_location>
#include <string>

namespace frostline {

/// Returns the message of an exception.
std::string describe(std::exception_ptr const& failure);

/// Logs and counts an exception that left the coroutine or handler that `origin` started, and
/// writes all buffered lines, since the process may end.
void log_unhandled_exception(std::exception_ptr const& failure,
                             std::source_location origin = std::source_location::current());

/// Number of exceptions logged since the process started.
std::uint64_t unhandled_exceptions();

}  // namespace frostline
