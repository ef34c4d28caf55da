/// @file Chooses which of a split route's services runs a sample. Performs no I/O and reads no
/// clock.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "calls/route_table.h"
#include "engines/engine_board.h"

namespace frostline::jobs {

class service_chooser {
 public:
  explicit service_chooser(engines::engine_board& board) : board_(board) {}

  /// Starts an iteration of the owner: the engines are looked at anew.
  void begin_iteration(time_point now);

  /// Returns the service for a sample. A sample keeps its service while the route names it and it
  /// has an engine, or if no service of the route has one; otherwise the route's shares decide.
  /// @param current service of the sample; empty if none was chosen.
  std::string choose(calls::route const& route, std::string const& model,
                     std::string const& current);

  /// Chooses an engine of the route's other services, for a sample that its own service has kept
  /// waiting. The services are tried in the order of the route.
  /// @param need its service is set to that of the engine; unchanged if there is none.
  /// @return null if no engine can run the sample.
  engines::engine_entry const* choose_other_engine(calls::route const& route,
                                                   engines::run_requirements& need);

 private:
  bool has_engine(std::string const& service, std::string const& model);

  engines::engine_board& board_;
  calls::share_picker shares_;
  time_point now_{};
  /// Whether a service has an engine with a model, as far as this iteration has asked.
  std::map<std::pair<std::string, std::string>, bool> presence_;
};

}  // namespace frostline::jobs
