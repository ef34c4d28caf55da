/// @file Journals of the stand-ins: one JSON object a line, what an outside system saw. The checker
/// judges by these, never by the node's own counters.
#pragma once

#include <boost/json.hpp>
#include <fstream>
#include <string>

#include "base/time.h"

namespace frostline::standin {

class journal {
 public:
  /// Appends to `path`; an empty path keeps no journal.
  explicit journal(std::string const& path) {
    if (!path.empty()) file_.open(path, std::ios::app);
  }

  /// Writes one line and flushes it, so that a kill loses nothing that was acknowledged.
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
