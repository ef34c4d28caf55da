/// @file Event journals of the stand-ins, one JSON object per line. The checker reads these instead
/// of frostline's own counters.
#pragma once

#include <boost/json.hpp>
#include <fstream>
#include <string>

#include "base/time.h"

namespace frostline::standin {

class journal {
 public:
  /// Appends to `path`; writes nothing if the path is empty.
  explicit journal(std::string const& path) {
    if (!path.empty()) file_.open(path, std::ios::app);
  }

  /// Writes one line and flushes it, so that it survives a kill of the process.
  void write(std::string_view event, boost::json::object fields) {
    if (!file_.is_open()) return;
    fields["event"] = event;
    fields["at_ms"] = wall_clock_ms();
    file_ << boost::json::serialize(fields) << '\n' << std::flush;
  }

 private:
  std::ofstream file_;
};

}  // namespace frostline::standin
