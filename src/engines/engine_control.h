/// @file Interface for sending load orders to engines and querying their load state, independent of
/// the platform's protocol.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/asio.h"
#include "directory/server_directory.h"

namespace frostline::engines {

/// How an engine treats its runs while it loads weights.
enum class load_mode { wait_for_runs, cut_runs, keep_runs };

/// Order to load a version of a model's weights.
struct load_command {
  std::string model;
  std::uint64_t version = 0;
  load_mode mode = load_mode::keep_runs;
  /// Machine that sends the order.
  std::string holder;
  /// Fencing token: the epoch of the sender's ownership.
  std::uint64_t fence = 0;
  /// Number of orders that the engine must have accepted so far; it refuses the order otherwise.
  std::uint64_t expected_sequence = 0;
};

enum class command_reply {
  /// Accepted; the load is in progress.
  taken,
  /// The engine already holds the version.
  holds_already,
  /// Another order is in progress, or the expected sequence differs.
  conflict,
  /// The fence is outdated, the order is malformed, or another server has the address.
  refused,
  /// The connection failed before the order was sent.
  not_sent,
  /// No answer; the engine may still carry out the order.
  unknown,
};

std::string_view to_string(command_reply reply);

struct engine_report {
  /// A load is in progress.
  bool busy = false;
  /// Start time of the incarnation that answered, in Unix milliseconds; 0 if not reported.
  std::uint64_t born = 0;
  /// Number of orders that this incarnation has accepted.
  std::uint64_t sequence = 0;
  std::map<std::string, std::uint64_t> versions;
};

class engine_control {
 public:
  virtual ~engine_control() = default;
  virtual awaitable<command_reply> load(directory::server engine, load_command command) = 0;
  /// @return nothing if the engine did not answer, or its answer is malformed.
  virtual awaitable<std::optional<engine_report>> report(directory::server engine) = 0;
};

}  // namespace frostline::engines
