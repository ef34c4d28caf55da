/// @file Reports of exceptions that nothing has handled.
#pragma once

#include <boost/assert/source_location.hpp>
#include <cstdint>
#include <exception>
#include <string>

namespace frostline {

/// Returns the message of an exception.
std::string describe(std::exception_ptr const& failure);

/// Logs and counts an exception that left the coroutine or handler that `origin` started, and
/// writes all buffered lines, since the process may end.
void log_unhandled_exception(std::exception_ptr const& failure,
                             boost::source_location origin = BOOST_CURRENT_LOCATION);

/// Number of exceptions logged since the process started.
std::uint64_t unhandled_exceptions();

}  // namespace frostline
