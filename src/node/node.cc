#include "node/node.h"

#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

#include "base/encoding.h"
#include "base/log.h"
#include "http/json_fields.h"
#include "http/server.h"
#include "membership/gossip_service.h"
#include "operators/service.h"
#include "rollout/service.h"
#include "routing/health_watch.h"
#include "routing/proxy.h"

namespace frostline::node {
namespace {

constexpr std::string_view k_part = "node";
/// The key-value service counts as unreachable if neither this node nor, according to gossip, any
/// other node has had a reply for this long.
constexpr milliseconds k_kv_silence_timeout{2000};
/// A node without the key-value service considers itself cut off if it hears from no node outside
/// its zone for this long.
constexpr milliseconds k_peer_silence_timeout{2000};
/// Time for callers and peers to learn that the node is leaving; it continues to serve them.
constexpr milliseconds k_leave_notice_wait{1500};
constexpr milliseconds k_drain_poll_interval{20};
constexpr milliseconds k_seed_interval{1000};
constexpr milliseconds k_handover_margin{2000};
constexpr std::string_view k_metrics_content_type = "text/plain; version=0.0.4";

membership::member_update describe_self(settings const& node_settings, std::uint64_t incarnation) {
  membership::member_update self;
  self.id = node_settings.id;
  self.zone = node_settings.zone;
  self.incarnation = incarnation;
  self.http_address = node_settings.listen.to_string();
  self.gossip_address = node_settings.gossip.to_string();
  self.bulk = !node_settings.data_folder.empty();
  return self;
}

}  // namespace

struct node::components {
  components(asio::io_context& context, settings node_settings);

  std::string start();
  awaitable<void> stop(std::function<void()> on_stopped);
  node_counters counters() const;
  asio::io_context& context() { return context_; }

 private:
  awaitable<http::response> handle(http::request message);
  http::response health() const;
  http::response readiness() const;
  http::response metrics_page();
  void register_methods();
  void apply_machine_list();
  void apply_configuration();
  void apply_gossiped_leaving();
  bool is_cut_off() const;
  void fill_status(rpc::GetStatusResponseT& status);
  awaitable<void> seed_loop();
  awaitable<void> wait_until_idle(time_point deadline);
  std::string listen();

  settings settings_;
  std::uint64_t incarnation_ = wall_clock_ms();
  node_state state_ = node_state::starting;
  asio::io_context& context_;
  std::shared_ptr<prometheus::Registry> registry_ = std::make_shared<prometheus::Registry>();
  http::client transport_{context_};
  kv::client kv_{transport_, settings_.kv, hash_bytes(settings_.id)};
  membership::table members_{describe_self(settings_, incarnation_), {}, incarnation_};
  membership::gossip_service gossip_{context_, members_};
  config::store config_;
  config::sync config_sync_{context_, kv_, transport_, members_, config_};
  machines::machine_list machines_{context_, transport_, settings_.machines};
  routing::leaving_tracker leaving_;
  std::unique_ptr<bulk::store> bulk_store_;
  std::unique_ptr<bulk::client> bulk_;
  std::unique_ptr<ownership::ownership_manager> ownership_manager_;
  std::unique_ptr<rollout::node_dependencies> rollout_dependencies_;
  std::unique_ptr<rollout::service> rollout_;
  std::unique_ptr<operators::service> operators_;
  routing::metrics routing_metrics_{*registry_};
  routing::claim_store claims_{context_, kv_};
  std::unique_ptr<routing::proxy> proxy_;
  routing::health_watch health_watch_{context_, transport_, machines_, members_};
  rpc::dispatcher methods_;
  std::unique_ptr<http::server> server_;
};

node::node(asio::io_context& context, settings node_settings)
    : components_(std::make_unique<components>(context, std::move(node_settings))) {}

node::~node() = default;

std::string node::start() { return components_->start(); }

void node::stop(std::function<void()> on_stopped) {
  spawn(components_->context(), components_->stop(std::move(on_stopped)));
}

node_counters node::counters() const { return components_->counters(); }

node::components::components(asio::io_context& context, settings node_settings)
    : settings_(std::move(node_settings)), context_(context) {
  ownership::identity const self{settings_.id, incarnation_, settings_.zone};
  ownership_manager_ = std::make_unique<ownership::ownership_manager>(
      context_, kv_, config_, config_sync_, members_, self, settings_.listen.to_string(),
      [this] { return rollout_->list_resources(); });
  routing::proxy_hooks hooks;
  hooks.is_cut_off = [this] { return is_cut_off(); };
  hooks.is_leaving = [this](machines::machine const& server) {
    apply_gossiped_leaving();
    return leaving_.is_leaving(server.id, server.incarnation, server.incarnation);
  };
  hooks.on_server_leaving = [this](machines::machine const& server) {
    members_.spread_leaving(server.id, server.incarnation);
  };
  proxy_ = std::make_unique<routing::proxy>(context_, transport_, config_, machines_, claims_,
                                            routing_metrics_, std::move(hooks));
  operators_ = std::make_unique<operators::service>(
      kv_, transport_, config_, config_sync_, members_, machines_,
      [this](rpc::GetStatusResponseT& status) { fill_status(status); });
  server_ = std::make_unique<http::server>(
      context_, settings_.limits,
      [this](http::request message) { return handle(std::move(message)); });
}

std::string node::components::listen() {
  if (!settings_.data_folder.empty()) {
    auto opened = bulk::store::open(settings_.data_folder);
    if (!opened) return settings_.data_folder + ": " + opened.error().message();
    bulk_store_ = std::move(opened.value());
  }
  bulk::replica const replica{settings_.id, settings_.zone, settings_.listen.to_string()};
  bulk_ = std::make_unique<bulk::client>(transport_, members_, replica, bulk_store_.get(),
                                         settings_.bulk_copies);
  rollout_dependencies_ = std::make_unique<rollout::node_dependencies>(rollout::node_dependencies{
      context_, kv_, transport_, config_, config_sync_, members_, *ownership_manager_, machines_,
      leaving_, *bulk_, settings_.zone, settings_.placement, settings_.listen.to_string(), nullptr,
      [this] { return is_cut_off(); }});
  rollout_ =
      std::make_unique<rollout::service>(*rollout_dependencies_, leaving_, bulk_store_.get());
  register_methods();
  std::string failure = server_->listen(settings_.listen);
  if (failure.empty()) failure = gossip_.start(settings_.gossip);
  return failure;
}

void node::components::register_methods() {
  operators_->register_methods(methods_);
  rollout_->register_methods(methods_);
  methods_.add<rpc::FetchConfigRequestT, rpc::FetchConfigResponseT>(
      "NodeService", "FetchConfig",
      [this](rpc::FetchConfigRequestT request) -> awaitable<rpc::reply<rpc::FetchConfigResponseT>> {
        co_return config_sync_.handle_fetch(request);
      });
}

std::string node::components::start() {
  std::string failure = listen();
  if (!failure.empty()) return failure;
  config_sync_.on_change([this] { apply_configuration(); });
  machines_.on_change([this] { apply_machine_list(); });
  config_sync_.start();
  machines_.start();
  ownership_manager_->start();
  claims_.start();
  health_watch_.start();
  spawn(context_, seed_loop());
  log_line(log_level::info, k_part, "Started.",
           {{"id", settings_.id},
            {"zone", settings_.zone},
            {"http", settings_.listen.to_string()},
            {"incarnation", incarnation_}});
  return {};
}

node_counters node::components::counters() const {
  node_counters result;
  result.gossip_bytes_sent = gossip_.traffic().bytes_sent;
  result.gossip_bytes_received = gossip_.traffic().bytes_received;
  result.http_bytes_sent = transport_.traffic().sent;
  result.http_bytes_received = transport_.traffic().received;
  result.kv_operations = kv_.operations();
  result.config_revision = config_.revision();
  result.members_alive = 1;
  for (auto const& [id, peer] : members_.members()) {
    if (peer.is_alive()) ++result.members_alive;
  }
  rpc::GetStatusResponseT status;
  rollout_->fill_status(status);
  result.engines_controlled = status.engines.size();
  for (auto const& engine : status.engines) {
    bool const ready = engine->state == to_string(engines::engine_state::ready);
    if (ready && !engine->versions.empty()) ++result.engines_ready;
  }
  result.state = state_;
  return result;
}

awaitable<http::response> node::components::handle(http::request message) {
  std::string_view const target = http::to_string_view(message.target());
  if (target.starts_with(rpc::k_rpc_prefix)) co_return co_await methods_.handle(std::move(message));
  if (target == "/healthz") co_return health();
  if (target == "/readyz") co_return readiness();
  if (target == "/metrics") co_return metrics_page();
  co_return co_await proxy_->handle(std::move(message));
}

http::response node::components::health() const {
  return json_response(http::status::ok, {{"status", "ok"}});
}

http::response node::components::readiness() const {
  bool const ready = state_ == node_state::serving && !is_cut_off();
  http::status const code = ready ? http::status::ok : http::status::service_unavailable;
  return json_response(code, {{"ready", ready},
                              {"draining", state_ == node_state::draining},
                              {"cut_off", is_cut_off()},
                              {"config_revision", config_.revision()}});
}

http::response node::components::metrics_page() {
  auto& gauges = prometheus::BuildGauge()
                     .Name("frostline_node")
                     .Help("State of this node, by quantity")
                     .Register(*registry_);
  auto const set = [&gauges](std::string const& quantity, double value) {
    gauges.Add({{"quantity", quantity}}).Set(value);
  };
  auto const& traffic = gossip_.traffic();
  set("gossip_bytes_sent", static_cast<double>(traffic.bytes_sent));
  set("gossip_bytes_received", static_cast<double>(traffic.bytes_received));
  set("kv_operations", static_cast<double>(kv_.operations()));
  set("config_revision", static_cast<double>(config_.revision()));
  set("members", static_cast<double>(members_.members().size()));
  set("runs_in_flight", static_cast<double>(rollout_->runs_in_flight()));
  set("requests_in_flight", static_cast<double>(server_->in_flight()));
  prometheus::TextSerializer const serializer;
  return http::make_response(http::status::ok, serializer.Serialize(registry_->Collect()),
                             k_metrics_content_type);
}

bool node::components::is_cut_off() const {
  time_point const now = boot_clock::now();
  if (!members_.knows_other_members()) return false;
  if (config_sync_.kv_age(now) < k_kv_silence_timeout) return false;
  time_point const last_heard = members_.last_heard_outside_zone();
  // time_point::min() means never; subtracting it would overflow.
  return last_heard == time_point::min() || now - last_heard > k_peer_silence_timeout;
}

void node::components::apply_machine_list() {
  time_point const now = boot_clock::now();
  for (auto const& [id, machine] : machines_.machines()) {
    if (machine.leaving) {
      leaving_.mark(id, machine.incarnation, routing::leaving_source::machine_list);
      // Other nodes may not see the entry if the list changes back quickly.
      members_.spread_leaving(id, machine.incarnation);
    }
    if (machine.kind != machines::machine_kind::node || machine.leaving) continue;
    membership::member_update seed;
    seed.id = id;
    seed.zone = machine.zone;
    seed.http_address = machine.address.to_string();
    seed.gossip_address = machine.gossip_address;
    members_.add_seed(seed, now);
  }
  rollout_->reconcile();
}

void node::components::apply_configuration() {
  for (auto const& [id, drain] : config_.drains()) {
    if (drain.record.leaving) {
      leaving_.mark(id, drain.record.incarnation, routing::leaving_source::operator_drain);
    } else {
      leaving_.undo_operator_drain(id);
    }
  }
  if (state_ == node_state::starting && config_.is_complete()) state_ = node_state::serving;
  rollout_->reconcile();
}

void node::components::apply_gossiped_leaving() {
  for (auto const& [back_end, incarnation] : members_.leaving_back_ends()) {
    leaving_.mark(back_end, incarnation, routing::leaving_source::back_end);
  }
}

/// Adds the machine list's nodes as gossip seeds again, since gossip may have dropped one that is
/// still listed.
awaitable<void> node::components::seed_loop() {
  while (state_ != node_state::stopped) {
    co_await wait_for(k_seed_interval);
    apply_machine_list();
  }
}

void node::components::fill_status(rpc::GetStatusResponseT& status) {
  apply_gossiped_leaving();
  status.kv_reachable = config_sync_.kv_age(boot_clock::now()) < k_kv_silence_timeout;
  rollout_->fill_status(status);
  for (auto const& entry : leaving_.entries()) {
    auto item = std::make_unique<rpc::LeavingStatusT>();
    item->backend = entry.back_end;
    item->incarnation = entry.incarnation;
    item->source = std::string(routing::to_string(entry.source));
    status.leaving.push_back(std::move(item));
  }
}

awaitable<void> node::components::wait_until_idle(time_point deadline) {
  while (boot_clock::now() < deadline) {
    bool const idle = server_->in_flight() == 0 && rollout_->runs_in_flight() == 0;
    if (idle) co_return;
    co_await wait_for(k_drain_poll_interval);
  }
}

/// Planned stop: announces that the node is leaving, releases ownership, waits for requests and
/// runs in flight, and shuts the HTTP server down. Runs that are still in flight shortly before the
/// end of the drain time are interrupted.
awaitable<void> node::components::stop(std::function<void()> on_stopped) {
  if (state_ == node_state::draining) co_return;
  state_ = node_state::draining;
  log_line(log_level::info, k_part, "Planned stop begins.");
  time_point const begin = boot_clock::now();
  time_point const deadline = begin + settings_.drain_time;
  server_->drain();
  gossip_.announce_leave();
  rollout_->stop_owners();
  while (rollout_->has_busy_owners() && boot_clock::now() < deadline) {
    co_await wait_for(k_drain_poll_interval);
  }
  co_await ownership_manager_->release_all();
  gossip_.announce_leave();
  co_await wait_for(k_leave_notice_wait);
  co_await wait_until_idle(deadline - k_handover_margin);
  rollout_->abandon_runs();
  co_await wait_until_idle(deadline - http::k_shutdown_time);
  http::shutdown_report const report = co_await server_->shut_down(deadline);
  log_line(report.cut > 0 ? log_level::warning : log_level::info, k_part, "Planned stop ends.",
           {{"cut", report.cut},
            {"accepted_last", report.accepted_last},
            {"awaited", report.awaited},
            {"closed_unused", report.closed_unused},
            {"crossed", report.crossed}});
  flush_logs();
  state_ = node_state::stopped;
  on_stopped();
}

}  // namespace frostline::node
