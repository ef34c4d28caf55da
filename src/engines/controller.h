/// @file Controls one engine while this node owns it: polls its load report, loads published weight
/// versions, admits samples and streams their results.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/asio.h"
#include "config/store.h"
#include "engines/engine_client.h"
#include "engines/spans.h"
#include "machines/machine_list.h"
#include "routing/leaving_tracker.h"

namespace frostline::engines {

/// Lifecycle of a controlled engine.
/// unknown (no load report yet) -> loading (a wanted version is missing) -> ready (all wanted
/// versions are loaded); any state -> unreachable (consecutive load reports are missing) -> loading
/// (a report arrives); any state -> leaving (the engine reports that it is leaving).
enum class engine_state { unknown, loading, ready, unreachable, leaving };

std::string_view to_string(engine_state state);

/// Newest published version of a model, and the location of that version's weights.
struct wanted_version {
  std::uint64_t version = 0;
  std::string weights;
};

/// Returns the version that `engine` should hold of each model: the newest one published for any of
/// the tasks that the engine serves.
std::map<std::string, wanted_version> wanted_versions(config::store const& store,
                                                      std::string const& engine);

class controller : public std::enable_shared_from_this<controller> {
 public:
  controller(asio::io_context& context, http::client& transport, config::store const& store,
             routing::leaving_tracker& leaving, machines::machine machine, kv::revision epoch);

  void start();
  /// Stops polling and load orders after a loss of ownership, and refuses new samples. Samples in
  /// flight continue.
  void stop();
  /// Reevaluates the wanted versions, and interrupts samples whose oldest tokens exceed the
  /// sample's freshness bound.
  void on_config_change();

  /// Runs a sample until it finishes, is refused, is rejected or is interrupted. The response
  /// carries the outcome, and the reason unless the sample finished.
  awaitable<rpc::RunSampleResponseT> run(rpc::RunSampleRequestT request);
  /// Interrupts the sample of an attempt. @return false if the attempt is not in flight.
  bool cancel(std::string const& attempt);
  /// Interrupts all samples in flight. Their owners resume them on other engines.
  void abandon_all();

  rpc::EngineStatusT status() const;
  kv::revision epoch() const { return epoch_; }
  machines::machine const& machine() const { return machine_; }
  std::size_t in_flight() const { return running_.size(); }

 private:
  struct running_sample {
    std::string task;
    std::uint32_t freshness_bound = 0;
    span_list spans;
    std::string text;
    bool abandoned = false;
    std::string reason;
  };

  awaitable<void> report_loop();
  awaitable<void> load_loop();
  /// Sends a load order for the first model whose loaded version is older than the wanted one.
  /// @return true if no model needed an order.
  awaitable<bool> load_next_version();
  awaitable<void> cancel_at_engine(std::string attempt);
  void apply_report(load_report const& report);
  /// Returns the reason to refuse a sample; empty if the sample can be admitted.
  std::string refusal_reason(rpc::RunSampleRequestT const& request) const;
  void abandon(std::string const& attempt, running_sample& sample, std::string reason);
  rpc::RunSampleResponseT make_response(rpc::RunOutcome outcome, std::string reason) const;
  bool is_leaving() const;
  std::uint64_t version_of(std::string const& model) const;

  asio::io_context& context_;
  config::store const& store_;
  routing::leaving_tracker& leaving_;
  machines::machine machine_;
  kv::revision epoch_;
  engine_client client_;
  async_condition wanted_changed_;
  engine_state state_ = engine_state::unknown;
  load_report report_;
  std::map<std::string, std::uint64_t> versions_;
  std::map<std::string, running_sample> running_;
  std::string swap_error_;
  bool stopped_ = false;
};

}  // namespace frostline::engines
