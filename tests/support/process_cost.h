/// @file CPU time and memory of a process, read from /proc.
#pragma once

#include <sys/types.h>

namespace frostline::testing {

/// CPU time in seconds.
double cpu_seconds(pid_t process);
/// Resident memory in MiB.
double resident_mib(pid_t process);

}  // namespace frostline::testing
