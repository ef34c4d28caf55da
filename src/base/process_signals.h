/// @file The control signals of a process: SIGHUP, SIGINT and SIGTERM.
///
/// Programs that use these functions hold the signals back from before their static initializers
/// on, so that a signal that arrives while they start waits for its handler. By its default action
/// it would end the process. SIGPIPE is ignored.
#pragma once

namespace frostline {

/// Delivers the signals that were held back, and later ones, to the installed handlers. Must be
/// called before other threads start.
void deliver_signals();

/// Returns true if SIGINT or SIGTERM has arrived and is held back.
bool is_stop_pending();

/// Returns once SIGINT or SIGTERM arrives, while they are held back. SIGHUP is ignored.
void wait_for_stop();

}  // namespace frostline
