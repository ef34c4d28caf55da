/// @file Sends the load orders that bring a pool's engines to the published versions. Only the
/// pool's owner sends orders; the owner's lease is checked immediately before each one.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/asio.h"
#include "engines/engine_board.h"
#include "engines/engine_control.h"
#include "engines/version_planner.h"

namespace frostline::engines {

/// Sender and authorization of the orders.
struct order_authority {
  /// Machine that sends the orders.
  std::string holder;
  /// Service whose engines may be ordered; empty for all.
  std::string service;
  /// Returns true if this node may send an order now.
  std::function<bool()> may_order;
  /// Returns the fencing token of the current lease.
  std::function<std::uint64_t()> fence;
  /// Returns how an engine must treat its runs while it loads.
  std::function<load_mode(engine_entry const&)> mode_for;
};

class weight_orders {
 public:
  weight_orders(asio::io_context& context, engine_board& board, engine_control& control,
                order_authority authority);

  /// Records that a version of a model was published. Ignored unless newer than all earlier ones.
  void name_version(std::string const& model, std::uint64_t version);
  /// Records the demand of an accepted job that allows versions from `min_version` on.
  /// @param size size of the job in tokens.
  /// @param samples number of samples of the job.
  void note_job(std::string const& model, std::uint64_t min_version, std::uint64_t size,
                std::size_t samples);
  /// Newest published version; 0 if there is none.
  std::uint64_t newest(std::string const& model) const;
  /// Checks pending loads. If this node may send orders, also plans and sends those that are due.
  /// Called periodically, and soon after changes of engines or demand.
  void advance(time_point now);
  /// Discards the state of earlier orders at the start of a new term of ownership.
  void begin_term();
  /// Total number of orders sent.
  std::uint64_t sent() const { return sent_; }

 private:
  /// Number of orders accepted by one incarnation of an engine.
  struct engine_sequence {
    /// False if `value` must be queried from the engine.
    bool known = false;
    std::uint64_t value = 0;
    /// Start time of the incarnation in Unix milliseconds; 0 if not reported.
    std::uint64_t born = 0;
  };

  awaitable<void> send_order(directory::server engine, planned_order order);
  /// Queries the engine's sequence if it is unknown. @return false if it stays unknown.
  awaitable<bool> fetch_sequence(directory::server engine);
  /// Ends the orders whose version is loaded, and queries the engines of overdue ones.
  void check_pending_loads(time_point now);
  void check_pending_load(engine_entry const& entry, time_point now);
  /// Ends an overdue order unless the engine reports that it is still loading.
  awaitable<void> resolve_overdue_order(directory::server engine);
  /// Returns the sequence of an engine, reset to unknown if the engine has restarted.
  engine_sequence& sequence_of(directory::server const& engine);
  void apply_report(directory::server const& engine, engine_report const& report);

  asio::io_context& context_;
  engine_board& board_;
  engine_control& control_;
  order_authority authority_;
  planner_options options_;
  model_demands demands_;
  std::map<std::string, engine_sequence> sequences_;
  std::uint64_t sent_ = 0;
};

}  // namespace frostline::engines
