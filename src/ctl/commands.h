/// @file The commands of frostlinectl.
#pragma once

#include <string>
#include <vector>

#include "base/endpoint.h"

namespace frostline::ctl {

/// Exit codes, as documented by --help.
enum class exit_code {
  done = 0,
  /// The service refused or could not be reached; nothing was changed.
  failed = 1,
  /// The command line is invalid.
  usage = 2,
  /// A concurrent change was applied first.
  conflict = 3,
  /// It is unknown whether the change was accepted; look for its token with `status`.
  unknown = 4,
};

struct invocation {
  endpoint node;
  bool json = false;
  std::string command;
  std::vector<std::string> arguments;
};

/// Text of --help.
extern char const k_usage[];

/// Runs one command.
exit_code run(invocation const& command_line);

}  // namespace frostline::ctl
