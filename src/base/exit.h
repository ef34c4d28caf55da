/// @file The end of a process that has work in flight.
#pragma once

namespace frostline {

/// Writes the buffered log lines, as far as their reader takes them, and ends the process with exit
/// code 0, without destroying any object. A context destroys the coroutines that are suspended in
/// it when it is destroyed itself, which is after the components that they refer to.
[[noreturn]] void exit_without_destruction();

}  // namespace frostline
