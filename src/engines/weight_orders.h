/// @file Gives the orders that bring a pool's engines to the versions in use. Only the pool's owner
/// runs it; each order is checked against the lease right before it is sent.
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

/// What the orders depend on besides the board.
struct order_authority {
  /// Machine that orders.
  std::string holder;
  /// Whether an order may be sent now.
  std::function<bool()> may_order;
  std::function<std::uint64_t()> fence;
  /// How runs on an engine are treated while it loads.
  std::function<load_mode(engine_entry const&)> mode_for;
};

class weight_orders {
 public:
  weight_orders(asio::io_context& context, engine_board& board, engine_control& control,
                order_authority authority);

  void name_version(std::string const& model, std::uint64_t version);
  /// A job of this model was accepted that allows versions from `min_version` on.
  /// @param size of the job, in tokens.
  /// @param samples of the job.
  void note_job(std::string const& model, std::uint64_t min_version, std::uint64_t size,
                std::size_t samples);
  std::uint64_t newest(std::string const& model) const;
  /// Plans and sends what is due. Called whenever something changed, and now and then.
  void advance(time_point now);
  /// Forgets what earlier orders may have left: a new term of ownership begins.
  void begin_term();
  std::uint64_t sent() const { return sent_; }

 private:
  /// What is known of the orders that one life of an engine has taken.
  struct engine_sequence {
    bool known = false;
    std::uint64_t value = 0;
    /// The life that has taken them.
    std::uint64_t born = 0;
  };

  awaitable<void> give(directory::server engine, planned_order order);
  awaitable<bool> learn_sequence(directory::server engine);
  /// Sees which orders have been carried out, and looks into those that take long.
  void settle(time_point now);
  void settle_one(engine_entry const& one, time_point now);
  awaitable<void> look_into(directory::server engine);
  /// What is known of an engine's count; nothing is, if it has started again since.
  engine_sequence& sequence_of(directory::server const& engine);
  void take_report(directory::server const& engine, engine_report const& report);

  asio::io_context& context_;
  engine_board& board_;
  engine_control& control_;
  order_authority authority_;
  planner_options options_;
  model_needs needs_;
  std::map<std::string, engine_sequence> sequences_;
  std::uint64_t sent_ = 0;
};

}  // namespace frostline::engines
