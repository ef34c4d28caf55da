#include "gateway/application.h"

#include <algorithm>

#include "base/encoding.h"
#include "base/log.h"
#include "calls/forwarder.h"
#include "calls/ingress.h"
#include "gateway/client_calls.h"
#include "gateway/directory_updater.h"
#include "gateway/duties.h"
#include "gateway/features.h"
#include "gateway/metrics.h"
#include "gateway/operator_request_reader.h"
#include "gateway/pool_registry.h"
#include "http/server.h"
#include "jobs/job_client.h"
#include "quarantine/service.h"
#include "relay/record_feed.h"
#include "rpc/dispatcher.h"

namespace frostline::gateway {
namespace {

constexpr std::string_view k_part = "gateway";
/// The delay before this node claims its zone's relay record is this multiple of its delay before
/// it claims a pool. The claim is less urgent, since relays of other zones serve a zone without
/// one.
constexpr int k_relay_claim_delay_factor = 4;
/// If an iteration of the housekeeping loop takes this long, the process is assumed to have been
/// suspended, so that the node's records may be stale.
constexpr milliseconds k_suspension_threshold{1200};
constexpr milliseconds k_housekeeping_interval{250};
/// How long a stopping node serves new clients, so that the platform can redirect them.
constexpr milliseconds k_leave_notice{2600};
constexpr milliseconds k_stop_margin{700};
constexpr milliseconds k_stop_poll_interval{20};
/// Time to send the answers of requests that were taken during the stop and reach its end.
constexpr milliseconds k_answer_reserve{200};
/// Pause between attempts to bind an address that is not free or not there yet.
constexpr milliseconds k_bind_retry_interval{50};
/// An address that can't be bound is reported this often.
constexpr seconds k_bind_report_interval{10};
constexpr std::size_t k_peer_body_bytes = 64 << 20;
/// Largest body that a readiness probe may send; it is not read.
constexpr std::size_t k_probe_body_bytes = 16 << 10;
constexpr std::size_t k_probe_connections = 64;
/// Number of nodes that collect crash reports. One suffices; the others provide redundancy.
constexpr std::size_t k_evidence_collectors = 3;
/// Maximum age of records that count as current. Longer than a poll of a relay plus the relay's own
/// poll of the store.
constexpr milliseconds k_max_current_age{2000};
constexpr std::string_view k_metrics_path = "/metrics";
constexpr std::string_view k_plain_text = "text/plain; version=0.0.4";

}  // namespace

struct application::components {
  components(asio::io_context& context, settings initial_settings, platform_adapter& adapter);

  awaitable<void> start();
  awaitable<void> stop(std::function<void()> on_stopped);
  void reload(settings const& new_settings);
  application_state state() const { return state_; }
  bool is_ending() const {
    return state_ == application_state::stopping || state_ == application_state::stopped;
  }
  asio::io_context& context() { return context_; }

 private:
  void create_listeners();
  /// Binds a listener's address, as often as it takes. @return false if a stop has begun before.
  template <class Listener>
  awaitable<bool> bind(Listener& listener, endpoint const& address);
  void start_components();
  awaitable<void> finish_stop(time_point deadline, std::function<void()> on_stopped);
  void listen_to_records();
  milliseconds records_age() const { return feed_.age(boot_clock::now()); }
  relay::feed_options make_feed_options() const;
  /// @param record may be another record whose key has the configuration's key as a prefix; such a
  /// record is ignored.
  void take_configuration_record(kv::key_value const& record);
  void take_configuration(std::string_view value);
  /// Starts or stops the work that only owners of pools do.
  void note_ownership();
  void note_progress();
  awaitable<void> housekeeping_loop();
  void resynchronize(std::string_view cause);
  http::response readiness() const;
  http::response metrics_page();
  awaitable<http::response> handle_peer(http::request message);

  asio::io_context& context_;
  settings settings_;
  platform_adapter& adapter_;
  application_state state_ = application_state::starting;
  /// The components run; before, a stop has nothing to hand over.
  bool has_started_ = false;
  http::client transport_{context_};
  calls::active_configuration configuration_;
  features features_{settings_.features, configuration_};
  directory::server_directory servers_;
  calls::connection_pool connections_{context_};
  calls::server_selector selector_{settings_.zone, hash_bytes(settings_.id),
                                   [this] { return features_.avoids_slow_servers(); }};
  usage::run_counter runs_;
  quarantine::service quarantine_{quarantine::service_dependencies{
      context_, adapter_.store(), transport_, settings_.id, settings_.peers,
      [this] { return feed_.relay_addresses(k_evidence_collectors); },
      [this] { return feed_.age(boot_clock::now()) < k_max_current_age; },
      quarantine::crash_watch_dependencies{
          [this](directory::server const& server, time_point opened_before) {
            return connections_.has_open(server.id, opened_before);
          },
          [this](directory::server const& server, http::beast::tcp_stream stream) {
            connections_.add_idle(server.id, std::move(stream));
          },
          &servers_}}};
  calls::forwarder forwarder_{calls::forwarder_dependencies{
      context_, servers_, connections_, selector_, adapter_.names(), runs_, quarantine_,
      [this] { return records_age(); }, [this] { return features_.times_attempts(); },
      std::min(calls::k_max_answer_bytes, settings_.memory / k_memory_divisor)}};
  pool_registry pools_{pool_registry_dependencies{context_, settings_, adapter_, transport_,
                                                  configuration_, features_, servers_, connections_,
                                                  forwarder_}};
  /// Empty if the platform has no duty service, or if usage is not reported.
  std::optional<duties> duties_;
  directory_updater directory_updater_{context_, adapter_, servers_, settings_.leave_time,
                                       [this] { return feed_.store_recovered_at(); }};
  relay::record_feed feed_{context_, adapter_.store(), transport_, make_feed_options(),
                           [this] { return pools_.other_owner(); }};
  operator_request_reader operator_request_reader_{
      context_, adapter_, pools_, [this](std::string_view value) { take_configuration(value); }};
  jobs::job_client job_client_{context_, transport_, adapter_.store(), pools_.all(),
                               jobs::calling_node{settings_.id, settings_.peers.to_string(),
                                                  settings_.zone, settings_.processor_share}};
  rpc::dispatcher peer_methods_;
  metrics metrics_;
  client_calls client_calls_{client_calls_dependencies{adapter_, configuration_, forwarder_,
                                                       job_client_, metrics_,
                                                       [this] { return records_age(); }}};
  std::unique_ptr<http::server> peers_;
  std::unique_ptr<http::server> readiness_;
  std::unique_ptr<calls::ingress> ingress_;
};

application::application(asio::io_context& context, settings initial_settings,
                         platform_adapter& adapter)
    : components_(std::make_unique<components>(context, std::move(initial_settings), adapter)) {}

application::~application() = default;

void application::start() { spawn(components_->context(), components_->start()); }

void application::stop(std::function<void()> on_stopped) {
  spawn(components_->context(), components_->stop(std::move(on_stopped)));
}

void application::reload(settings const& new_settings) { components_->reload(new_settings); }

application_state application::state() const { return components_->state(); }

application::components::components(asio::io_context& context, settings initial_settings,
                                    platform_adapter& adapter)
    : context_(context), settings_(std::move(initial_settings)), adapter_(adapter) {
  usage::duty_service* const service = adapter_.duty_service();
  if (service != nullptr && settings_.usage_window > milliseconds(0)) {
    duties_.emplace(
        duties_dependencies{context_, settings_, adapter_.store(), transport_, *service, runs_});
    duties_->add_methods(peer_methods_);
  }
  pools_.add_methods(peer_methods_);
  feed_.add_methods(peer_methods_);
  quarantine_.add_methods(peer_methods_);
  create_listeners();
}

void application::components::create_listeners() {
  std::size_t const request_memory =
      settings_.request_memory > 0 ? settings_.request_memory : settings_.memory / k_memory_divisor;
  http::server_limits limits;
  limits.body_bytes = k_peer_body_bytes;
  limits.request_memory_bytes = request_memory;
  limits.connections = settings_.peer_connections;
  http::server_limits probe_limits;
  probe_limits.body_bytes = k_probe_body_bytes;
  probe_limits.connections = k_probe_connections;
  peers_ = std::make_unique<http::server>(
      context_, limits, [this](http::request message) { return handle_peer(std::move(message)); });
  readiness_ = std::make_unique<http::server>(
      context_, probe_limits,
      [this](http::request) -> awaitable<http::response> { co_return readiness(); });
  ingress_ = std::make_unique<calls::ingress>(
      context_,
      [this](http::request message, calls::caller& client) {
        return client_calls_.handle(std::move(message), client);
      },
      settings_.connections, request_memory);
}

template <class Listener>
awaitable<bool> application::components::bind(Listener& listener, endpoint const& address) {
  time_point report_at = boot_clock::now();
  while (!is_ending()) {
    std::string const failure = listener.listen(address);
    if (failure.empty()) co_return true;
    if (boot_clock::now() >= report_at) {
      log_line(log_level::error, k_part, "Address can't be bound; trying again.",
               {{"error", failure}});
      report_at = boot_clock::now() + k_bind_report_interval;
    }
    co_await wait_for(k_bind_retry_interval);
  }
  co_return false;
}

awaitable<void> application::components::start() {
  // Clients are refused until the node knows a configuration; other nodes and the readiness probe
  // see the node only when its other addresses are its own.
  // GCC 12 compiles `if (!co_await ...) co_return;` here into a coroutine that crashes.
  bool is_bound = co_await bind(*ingress_, settings_.clients);
  if (is_bound) is_bound = co_await bind(*peers_, settings_.peers);
  if (!is_bound) co_return;
  start_components();
  co_await bind(*readiness_, settings_.readiness);
}

void application::components::start_components() {
  has_started_ = true;
  servers_.on_change([this](std::vector<std::string> const& ids) {
    note_progress();
    pools_.note_servers(ids);
    quarantine_.note_servers_changed();
  });
  servers_.on_server_restart([this](directory::server const& server) {
    connections_.forget(server.id);
    selector_.note_restart(server.id);
  });
  listen_to_records();
  feed_.set_slow_servers_source([this](time_point now) { return selector_.slow_servers(now); });
  feed_.on_slow_servers([this](std::vector<balancing::slow_server> const& received) {
    for (balancing::slow_server const& server : received) {
      if (servers_.find(server.id) != nullptr) {
        selector_.note_received(server, boot_clock::now());
      }
    }
  });
  feed_.on_store_recovered([this] { operator_request_reader_.resynchronize(); });
  feed_.start();
  quarantine_.start();
  if (duties_) duties_->start();
  spawn(context_, housekeeping_loop());
  log_line(log_level::info, k_part, "Started.",
           {{"id", settings_.id},
            {"zone", settings_.zone},
            {"clients", settings_.clients.to_string()},
            {"peers", settings_.peers.to_string()},
            {"record_store", settings_.record_store.to_string()}});
}

relay::feed_options application::components::make_feed_options() const {
  relay::feed_options options;
  options.node = settings_.id;
  options.zone = settings_.zone;
  options.self = settings_.peers;
  options.seeds = settings_.seeds;
  options.prefixes[relay::index_of(relay::topic::CONFIGURATION)] = adapter_.keys().configuration;
  options.prefixes[relay::index_of(relay::topic::OWNERS)] = ownership::owner_lease::owners_prefix();
  options.prefixes[relay::index_of(relay::topic::RELAYS)] = relay::zone_relays::records_prefix();
  options.prefixes[relay::index_of(relay::topic::SERVERS)] = adapter_.keys().servers_prefix;
  options.prefixes[relay::index_of(relay::topic::QUARANTINE)] =
      quarantine::quarantine_records_prefix();
  options.servers_traits = directory_updater_.traits();
  options.wanted_servers = [this]() -> std::optional<std::set<std::string>> {
    if (!configuration_.table()) return std::nullopt;
    return configuration_.table()->callable_services();
  };
  options.processor_share = settings_.processor_share;
  options.claim_delay =
      ownership::claim_delay_of(settings_.processor_share) * k_relay_claim_delay_factor;
  return options;
}

void application::components::listen_to_records() {
  kv::prefix_watcher_callbacks on_configuration;
  on_configuration.snapshot = [this](kv::range_answer const& records) {
    for (kv::key_value const& record : records.entries) take_configuration_record(record);
  };
  on_configuration.event = [this](kv::watch_event const& event) {
    if (!event.deleted) take_configuration_record(event.entry);
  };
  kv::prefix_watcher_callbacks on_owners;
  on_owners.snapshot = [this](kv::range_answer const& records) {
    pools_.take_owners(records);
    if (duties_) duties_->take_owners(records);
    note_ownership();
  };
  on_owners.event = [this](kv::watch_event const& event) {
    kv::key_value const* const record = event.deleted ? nullptr : &event.entry;
    pools_.take_owner(event.entry.key, record);
    if (duties_) duties_->take_owner(event.entry.key, record);
    note_ownership();
  };
  feed_.listen(relay::topic::CONFIGURATION, std::move(on_configuration));
  feed_.listen(relay::topic::OWNERS, std::move(on_owners));
  feed_.listen(relay::topic::SERVERS, directory_updater_.listener());
  feed_.listen(relay::topic::QUARANTINE, quarantine_.listener());
}

void application::components::note_progress() {
  bool const known = configuration_.table() && servers_.is_loaded();
  if (state_ == application_state::starting && known && feed_.is_trusted(boot_clock::now())) {
    state_ = application_state::serving;
    log_line(log_level::info, k_part, "Serving.",
             {{"config", configuration_.table()->all().version},
              {"servers", servers_.servers().size()},
              {"records_age_ms", feed_.age(boot_clock::now()).count()}});
    // The log must be complete once the node reports that it is ready.
    flush_logs();
  }
  pools_.notify();
}

void application::components::note_ownership() {
  feed_.set_owner(pools_.needs_engines());
  operator_request_reader_.set_owner(pools_.owns_any());
}

void application::components::take_configuration_record(kv::key_value const& record) {
  if (record.key == adapter_.keys().configuration) take_configuration(record.value);
}

void application::components::take_configuration(std::string_view value) {
  std::string fault;
  auto parsed = adapter_.parse_configuration(value, fault);
  if (!parsed) {
    log_line(log_level::error, k_part, "Configuration is malformed; keeping the previous one.",
             {{"fault", fault}});
    return;
  }
  if (!configuration_.offer(std::move(*parsed))) return;
  ingress_->set_limits(configuration_.table()->all().limits);
  pools_.ensure(configuration_.table()->all());
  feed_.note_wanted_servers();
  note_progress();
}

void application::components::resynchronize(std::string_view cause) {
  log_line(log_level::warning, k_part, "Reading all records again.", {{"cause", cause}});
  feed_.resynchronize(cause);
  operator_request_reader_.resynchronize();
}

awaitable<void> application::components::housekeeping_loop() {
  time_point last_iteration_at = boot_clock::now();
  while (state_ != application_state::stopped) {
    co_await wait_for(k_housekeeping_interval);
    time_point const now = boot_clock::now();
    auto const iteration_time = std::chrono::duration_cast<milliseconds>(now - last_iteration_at);
    last_iteration_at = now;
    if (iteration_time > k_suspension_threshold) resynchronize("this process was suspended");
    connections_.expire_overdue(now);
    connections_.clean(servers_);
    selector_.clean(servers_);
    quarantine_.clean(now);
    note_ownership();
    if (state_ == application_state::starting) note_progress();
    flush_logs();
  }
}

http::response application::components::readiness() const {
  bool const ready = state_ == application_state::serving;
  auto const code = ready ? http::status::ok : http::status::service_unavailable;
  return http::make_response(code, ready ? "ready\n" : "not ready\n", "text/plain");
}

http::response application::components::metrics_page() {
  node_snapshot snapshot;
  snapshot.config_version = configuration_.table() ? configuration_.table()->all().version : 0;
  snapshot.servers = servers_.servers().size();
  snapshot.malformed_servers = directory_updater_.malformed();
  snapshot.calls = forwarder_.counters();
  snapshot.paces = selector_.pace_counters();
  snapshot.quarantine = quarantine_.counters();
  snapshot.quarantine_records = quarantine_.records();
  snapshot.connections_opened = connections_.opened();
  snapshot.logs_dropped = dropped_log_lines();
  snapshot.unhandled_exceptions = unhandled_exceptions();
  snapshot.request_memory_held = ingress_->memory().held() + peers_->memory().held();
  snapshot.refused_for_memory = ingress_->memory().refused() + peers_->memory().refused();
  snapshot.job_memory_held = pools_.job_bytes();
  snapshot.connections_evicted = ingress_->evicted() + peers_->evicted() + readiness_->evicted();
  snapshot.tenants_requests = runs_.total();
  if (duties_) {
    snapshot.usage = usage_snapshot{duties_->is_holder(), duties_->reporter().counters(),
                                    duties_->reporter().late()};
  }
  snapshot.role = feed_.role();
  snapshot.records = feed_.counters();
  snapshot.polls_answered = feed_.answers().answered();
  snapshot.slow_servers_sent = feed_.answers().slow_servers_sent();
  snapshot.snapshot_answers = feed_.answers().snapshot_answers();
  snapshot.snapshot_records = feed_.answers().snapshot_records();
  for (relay::topic const topic : relay::k_topics) {
    snapshot.records_held.emplace_back(rpc::EnumNameRecordTopic(topic),
                                       feed_.view(topic).records().size());
  }
  snapshot.records_age = feed_.age(boot_clock::now());
  for (relay::topic const topic : relay::k_topics) {
    auto const watch_age = feed_.watch_age(topic, boot_clock::now());
    if (watch_age) snapshot.watch_ages.emplace_back(rpc::EnumNameRecordTopic(topic), *watch_age);
  }
  for (auto const& [name, pool] : pools_.all()) {
    snapshot.pools.push_back({name, pool.lease->state() == ownership::lease_state::owner,
                              pool.owner->jobs(), pool.owner->runner().running(),
                              pool.owner->runner().counters(), pool.owner->runner().scoring(),
                              pool.owner->memory(), pool.owner->orders().sent(),
                              pool.owner->log().transactions()});
  }
  return http::make_response(http::status::ok, metrics_.write(snapshot), k_plain_text);
}

awaitable<http::response> application::components::handle_peer(http::request message) {
  std::string_view const target = http::to_string_view(message.target());
  if (target.starts_with(rpc::k_rpc_prefix)) {
    co_return co_await peer_methods_.handle(std::move(message));
  }
  if (target == k_metrics_path) co_return metrics_page();
  co_return http::make_response(http::status::not_found, "", "text/plain");
}

void application::components::reload(settings const& new_settings) {
  settings_.order_gap = new_settings.order_gap;
  settings_.retention = new_settings.retention;
  settings_.stop_time = new_settings.stop_time;
  pools_.set_order_gap(new_settings.order_gap);
  if (duties_) duties_->set_order_gap(new_settings.order_gap);
  start_logging(new_settings.id, new_settings.log_level);
  log_line(log_level::info, k_part, "Settings reloaded.", {{"id", new_settings.id}});
}

awaitable<void> application::components::stop(std::function<void()> on_stopped) {
  if (state_ == application_state::stopping) co_return;
  state_ = application_state::stopping;
  log_line(log_level::info, k_part, "Planned stop begins.", {{"in_flight", ingress_->in_flight()}});
  time_point const begin = boot_clock::now();
  time_point const deadline = begin + settings_.stop_time - k_stop_margin;
  ingress_->drain();
  if (!has_started_) {
    co_await finish_stop(deadline, std::move(on_stopped));
    co_return;
  }
  client_calls_.begin_stop(begin + k_leave_notice, deadline - k_answer_reserve);
  spawn(context_, feed_.leave());
  co_await pools_.release(begin + k_leave_notice / 2);
  if (duties_) co_await duties_->release(begin + k_leave_notice);
  while (boot_clock::now() < begin + k_leave_notice ||
         (ingress_->in_flight() > 0 && boot_clock::now() < deadline - http::k_shutdown_time)) {
    co_await wait_for(k_stop_poll_interval);
  }
  co_await finish_stop(deadline, std::move(on_stopped));
}

awaitable<void> application::components::finish_stop(time_point deadline,
                                                     std::function<void()> on_stopped) {
  http::shutdown_report const report = co_await ingress_->shut_down(deadline);
  log_line(report.cut > 0 ? log_level::warning : log_level::info, k_part, "Planned stop ends.",
           {{"cut", report.cut},
            {"accepted_last", report.accepted_last},
            {"awaited", report.awaited},
            {"closed_unused", report.closed_unused},
            {"crossed", report.crossed}});
  state_ = application_state::stopped;
  operator_request_reader_.stop();
  flush_logs();
  on_stopped();
}

}  // namespace frostline::gateway
