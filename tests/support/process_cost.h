/// @file CPU time, memory and descriptors of a process, read from /proc.
#pragma once

#include <sys/types.h>

#include <cstddef>

namespace frostline::testing {

/// User and system CPU time in seconds since the start of the process.
double cpu_seconds(pid_t process);
/// Resident memory in MiB; 0 if the process does not exist.
double resident_mib(pid_t process);
/// Largest resident memory so far in MiB; 0 if the process does not exist.
double peak_resident_mib(pid_t process);
/// Number of open descriptors.
std::size_t open_descriptors(pid_t process);

}  // namespace frostline::testing
