/// @file Controls one engine for as long as this node owns it: watches its load, brings versions
/// onto it, admits samples and streams them.
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

/// Lifecycle of an engine under control.
/// unknown -> loading (a version is ordered) -> ready (all wanted versions are in force);
/// any state -> unreachable (no load report) and back to loading; any -> leaving, which is final
/// for an incarnation.
enum class engine_state { unknown, loading, ready, unreachable, leaving };

std::string_view to_string(engine_state state);

/// A version that an engine should hold.
struct wanted_version {
  std::uint64_t version = 0;
  std::string weights;
};

/// The versions that `engine` should hold, by model: the newest published for any task it serves.
std::map<std::string, wanted_version> wanted_versions(config::store const& store,
                                                      std::string const& engine);

class controller : public std::enable_shared_from_this<controller> {
 public:
  controller(asio::io_context& context, http::client& transport, config::store const& store,
             routing::leaving_tracker& leaving, machines::machine machine, kv::revision epoch);

  void start();
  /// This node no longer owns the engine; samples in flight go on.
  void stop();
  /// New configuration may want new versions, and may have made samples too old to go on.
  void on_config_change();

  /// Runs a sample to its end, or says why not.
  awaitable<rpc::RunSampleResponseT> run(rpc::RunSampleRequestT request);
  bool cancel(std::string const& attempt);
  /// Interrupts all samples in flight; their owners go on with them elsewhere.
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
    bool given_up = false;
    std::string why;
  };

  awaitable<void> report_loop();
  awaitable<void> load_loop();
  awaitable<bool> bring_up_to_date();
  awaitable<void> cancel_at_engine(std::string attempt);
  void take_report(load_report const& report);
  std::string refusal_for(rpc::RunSampleRequestT const& request) const;
  void give_up(std::string const& attempt, running_sample& sample, std::string why);
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
