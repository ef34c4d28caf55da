/// @file The commands of frostlinectl.
#pragma once

#include <string>
#include <vector>

#include "base/endpoint.h"

namespace frostline::ctl {

/// Exit codes, as --help states them.
enum class exit_code {
  done = 0,
  /// The service refused or could not be reached; nothing was changed.
  failed = 1,
  /// The command line is wrong.
  usage = 2,
  /// Another change won.
  conflict = 3,
  /// It can't be known whether the change was accepted; ask `status` for the token.
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
exit_code run(invocation const& what);

}  // namespace frostline::ctl
