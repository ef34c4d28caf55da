/// @file The record of a case: what was sent, answered and run, with times.
#pragma once

#include <fstream>
#include <mutex>
#include <string>

#include "base/time.h"

namespace frostline::review {

/// Writes one line for each event, beginning with the milliseconds since the start of the case.
/// Thread-safe.
class record {
 public:
  explicit record(std::string const& path);

  /// @param source who saw the event, for example "client" or the identifier of a server.
  void write(std::string const& source, std::string const& event);
  /// Milliseconds since the start of the case.
  std::int64_t now() const;

 private:
  time_point const started_at_ = boot_clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace frostline::review
