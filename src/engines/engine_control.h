/// @file Orders to engines, and their reports, as the product speaks of them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/asio.h"
#include "directory/server_directory.h"

namespace frostline::engines {

/// What becomes of runs while an engine loads.
enum class load_mode { wait_for_runs, cut_runs, keep_runs };

/// Loads a version of a model's weights.
struct load_command {
  std::string model;
  std::uint64_t version = 0;
  load_mode mode = load_mode::keep_runs;
  /// Machine that orders, and the epoch of its ownership.
  std::string holder;
  std::uint64_t fence = 0;
  /// Orders that the engine must have taken so far, or it refuses.
  std::uint64_t expected_sequence = 0;
};

enum class command_reply {
  /// Being carried out.
  taken,
  /// The engine holds the version already.
  holds_already,
  /// Another order is under way, or its sequence differs.
  conflict,
  /// A higher fence was seen, or the order is malformed, or another server has the address.
  refused,
  /// Not sent: there is no connection.
  not_sent,
  /// It may be carried out, perhaps late.
  unknown,
};

std::string_view to_string(command_reply reply);

struct engine_report {
  bool busy = false;
  /// When the life that answered began; 0: not told.
  std::uint64_t born = 0;
  std::uint64_t sequence = 0;
  std::map<std::string, std::uint64_t> versions;
};

class engine_control {
 public:
  virtual ~engine_control() = default;
  virtual awaitable<command_reply> load(directory::server engine, load_command command) = 0;
  virtual awaitable<std::optional<engine_report>> report(directory::server engine) = 0;
};

}  // namespace frostline::engines
