#include "gateway/application.h"

#include <algorithm>

#include "base/encoding.h"
#include "base/log.h"
#include "calls/forwarder.h"
#include "calls/ingress.h"
#include "gateway/client_calls.h"
#include "gateway/duties.h"
#include "gateway/metrics.h"
#include "gateway/operator_requests.h"
#include "gateway/pools.h"
#include "gateway/server_watch.h"
#include "http/server.h"
#include "jobs/job_client.h"
#include "quarantine/service.h"
#include "relay/record_feed.h"
#include "rpc/dispatcher.h"

namespace frostline::gateway {
namespace {

constexpr std::string_view k_part = "gateway";
/// Delay before a weak node claims its zone's record, as a multiple of that for a pool: a
/// zone without a relay is served by other zones' relays, so there is time.
constexpr int k_relay_claim_delay_factor = 4;
/// A loop that did not turn for that long stood still: what it believes may be old.
constexpr milliseconds k_standstill{1200};
constexpr milliseconds k_housekeeping_interval{250};
/// Time in which the platform learns that a node stops; it serves new clients meanwhile.
constexpr milliseconds k_leave_notice{2600};
constexpr milliseconds k_stop_margin{700};
constexpr milliseconds k_stop_poll{20};
constexpr milliseconds k_last_requests{150};
constexpr std::size_t k_peer_body_bytes = 64 << 20;
/// Nodes that bring evidence of crashes together: one is enough, two more outlast it.
constexpr std::size_t k_collectors = 3;
/// Age of records that come without delay: a wait at a relay (0.7 s), and the relay's own look at
/// the store, with a margin.
constexpr milliseconds k_current_age{2000};
constexpr std::string_view k_metrics_path = "/metrics";
constexpr std::string_view k_plain_text = "text/plain; version=0.0.4";

}  // namespace

struct application::components {
  components(asio::io_context& context, settings all, platform_adapter& adapter);

  std::string start();
  awaitable<void> stop(std::function<void()> on_stopped);
  void reload(settings const& all);
  application_state state() const { return state_; }
  asio::io_context& context() { return context_; }

 private:
  std::string listen();
  void listen_to_records();
  milliseconds records_age() const { return feed_.age(boot_clock::now()); }
  relay::feed_options make_feed_options() const;
  /// @param record whose key begins like the configuration's; another writer's is passed over.
  void take_configuration_record(kv::key_value const& record);
  void take_configuration(std::string_view value);
  /// Takes up, or lays down, what only owners of a pool do.
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
  http::client transport_{context_};
  calls::active_configuration configuration_;
  directory::server_directory servers_;
  calls::connection_pool connections_{context_};
  calls::server_selector selector_{settings_.zone, hash_bytes(settings_.id)};
  usage::run_counter runs_;
  quarantine::service quarantine_{quarantine::service_dependencies{
      context_, adapter_.store(), transport_, settings_.id, settings_.peers,
      [this] { return feed_.relay_addresses(k_collectors); },
      [this] { return feed_.age(boot_clock::now()) < k_current_age; },
      quarantine::server_knowledge{
          [this](directory::server const& one, time_point made_before) {
            return connections_.has_open(one.id, made_before);
          },
          [this](directory::server const& one, http::beast::tcp_stream stream) {
            connections_.keep(one.id, std::move(stream));
          },
          &servers_}}};
  calls::forwarder forwarder_{
      calls::forwarder_dependencies{context_, servers_, connections_, selector_, adapter_.names(),
                                    runs_, quarantine_, [this] { return records_age(); }}};
  pools pools_{pools_dependencies{context_, settings_, adapter_, transport_, configuration_,
                                  servers_, connections_, forwarder_, quarantine_}};
  /// None if the platform takes no calls of one node at a time.
  std::optional<duties> duties_;
  server_watch server_watch_{context_, adapter_, servers_, settings_.leave_time,
                             [this] { return feed_.store_back_at(); }};
  relay::record_feed feed_{context_, adapter_.store(), transport_, make_feed_options(),
                           [this] { return pools_.other_owner(); }};
  operator_requests operator_requests_{
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

application::application(asio::io_context& context, settings all, platform_adapter& adapter)
    : components_(std::make_unique<components>(context, std::move(all), adapter)) {}

application::~application() = default;

std::string application::start() { return components_->start(); }

void application::stop(std::function<void()> on_stopped) {
  spawn(components_->context(), components_->stop(std::move(on_stopped)));
}

void application::reload(settings const& all) { components_->reload(all); }

application_state application::state() const { return components_->state(); }

application::components::components(asio::io_context& context, settings all,
                                    platform_adapter& adapter)
    : context_(context), settings_(std::move(all)), adapter_(adapter) {
  usage::duty_service* const service = adapter_.duty_service();
  if (service != nullptr && settings_.usage_window > milliseconds(0)) {
    duties_.emplace(
        duties_dependencies{context_, settings_, adapter_.store(), transport_, *service, runs_});
    duties_->add_methods(peer_methods_);
  }
  pools_.add_methods(peer_methods_);
  feed_.add_methods(peer_methods_);
  quarantine_.add_methods(peer_methods_);
}

std::string application::components::listen() {
  http::server_limits limits;
  limits.body_bytes = k_peer_body_bytes;
  peers_ = std::make_unique<http::server>(
      context_, limits, [this](http::request message) { return handle_peer(std::move(message)); });
  readiness_ = std::make_unique<http::server>(
      context_, http::server_limits(),
      [this](http::request) -> awaitable<http::response> { co_return readiness(); });
  ingress_ = std::make_unique<calls::ingress>(
      context_,
      [this](http::request message, calls::caller& from) {
        return client_calls_.handle(std::move(message), from);
      },
      settings_.connections);
  std::string failure = peers_->listen(settings_.peers);
  if (failure.empty()) failure = readiness_->listen(settings_.readiness);
  if (failure.empty()) failure = ingress_->listen(settings_.clients);
  return failure;
}

std::string application::components::start() {
  std::string failure = listen();
  if (!failure.empty()) return failure;
  servers_.on_change([this](std::vector<std::string> const& ids) {
    note_progress();
    pools_.note_servers(ids);
    quarantine_.note_servers_changed();
  });
  servers_.on_new_life([this](directory::server const& one) {
    connections_.forget(one.id);
    selector_.note_new_life(one.id);
  });
  listen_to_records();
  feed_.on_store_back([this] { operator_requests_.resynchronize(); });
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
  return {};
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
  options.prefixes[relay::index_of(relay::topic::QUARANTINE)] = quarantine::records_of_quarantine();
  options.servers_traits = server_watch_.traits();
  options.wanted_servers = [this]() -> std::optional<std::set<std::string>> {
    if (!configuration_.table()) return std::nullopt;
    return configuration_.table()->services_of_calls();
  };
  options.processor_share = settings_.processor_share;
  options.claim_delay =
      ownership::claim_delay_of(settings_.processor_share) * k_relay_claim_delay_factor;
  return options;
}

void application::components::listen_to_records() {
  kv::prefix_watcher_callbacks on_configuration;
  on_configuration.snapshot = [this](kv::range_answer const& all) {
    for (kv::key_value const& one : all.entries) take_configuration_record(one);
  };
  on_configuration.event = [this](kv::watch_event const& event) {
    if (!event.deleted) take_configuration_record(event.entry);
  };
  kv::prefix_watcher_callbacks on_owners;
  on_owners.snapshot = [this](kv::range_answer const& all) {
    pools_.take_owners(all);
    if (duties_) duties_->take_owners(all);
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
  feed_.listen(relay::topic::SERVERS, server_watch_.listener());
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
    // What the node knows can be read as soon as it calls itself ready.
    flush_logs();
  }
  pools_.notify();
}

void application::components::note_ownership() {
  feed_.set_owner(pools_.needs_engines());
  operator_requests_.set_owner(pools_.owns_any());
}

void application::components::take_configuration_record(kv::key_value const& record) {
  if (record.key == adapter_.keys().configuration) take_configuration(record.value);
}

void application::components::take_configuration(std::string_view value) {
  std::string fault;
  auto parsed = adapter_.parse_configuration(value, fault);
  if (!parsed) {
    log_line(log_level::error, k_part, "Configuration is malformed; the one before stays.",
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
  operator_requests_.resynchronize();
}

awaitable<void> application::components::housekeeping_loop() {
  time_point last = boot_clock::now();
  while (state_ != application_state::stopped) {
    co_await wait_for(k_housekeeping_interval);
    time_point const now = boot_clock::now();
    auto const pause = std::chrono::duration_cast<milliseconds>(now - last);
    last = now;
    if (pause > k_standstill) resynchronize("this process stood still");
    connections_.end_overdue(now);
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
  node_readings now;
  now.config_version = configuration_.table() ? configuration_.table()->all().version : 0;
  now.servers = servers_.servers().size();
  now.malformed_servers = server_watch_.malformed();
  now.calls = forwarder_.counters();
  now.quarantine = quarantine_.counters();
  now.quarantine_records = quarantine_.records();
  now.connections_opened = connections_.opened();
  now.logs_dropped = dropped_log_lines();
  now.tenants_requests = runs_.total();
  if (duties_) {
    now.usage = usage_readings{duties_->is_holder(), duties_->reporter().counters(),
                               duties_->reporter().late()};
  }
  now.role = feed_.role();
  now.records = feed_.counters();
  now.polls_answered = feed_.answers().answered();
  now.whole_answers = feed_.answers().whole_answers();
  now.whole_records = feed_.answers().whole_records();
  for (relay::topic const one : relay::k_topics) {
    now.records_held.emplace_back(rpc::EnumNameRecordTopic(one), feed_.view(one).records().size());
  }
  now.records_age = feed_.age(boot_clock::now());
  for (relay::topic const one : relay::k_topics) {
    auto const watch_age = feed_.watch_age(one, boot_clock::now());
    if (watch_age) now.watch_ages.emplace_back(rpc::EnumNameRecordTopic(one), *watch_age);
  }
  for (auto const& [name, one] : pools_.all()) {
    now.pools.push_back({name, one.lease->state() == ownership::lease_state::owner,
                         one.owner->jobs(), one.owner->runner().running(),
                         one.owner->runner().counters(), one.owner->runner().scoring(),
                         one.owner->orders().sent(), one.owner->log().transactions()});
  }
  return http::make_response(http::status::ok, metrics_.write(now), k_plain_text);
}

awaitable<http::response> application::components::handle_peer(http::request message) {
  std::string_view const target = http::to_string_view(message.target());
  if (target.starts_with(rpc::k_rpc_prefix)) {
    co_return co_await peer_methods_.handle(std::move(message));
  }
  if (target == k_metrics_path) co_return metrics_page();
  co_return http::make_response(http::status::not_found, "", "text/plain");
}

void application::components::reload(settings const& all) {
  settings_.order_gap = all.order_gap;
  settings_.retention = all.retention;
  settings_.stop_time = all.stop_time;
  pools_.set_order_gap(all.order_gap);
  if (duties_) duties_->set_order_gap(all.order_gap);
  start_logging(all.id, all.log_level);
  log_line(log_level::info, k_part, "Settings reloaded.", {{"id", all.id}});
}

awaitable<void> application::components::stop(std::function<void()> on_stopped) {
  if (state_ == application_state::stopping) co_return;
  state_ = application_state::stopping;
  log_line(log_level::info, k_part, "Planned stop begins.", {{"in_flight", ingress_->in_flight()}});
  time_point const begin = boot_clock::now();
  time_point const deadline = begin + settings_.stop_time - k_stop_margin;
  ingress_->drain();
  spawn(context_, feed_.leave());
  co_await pools_.release(begin + k_leave_notice / 2);
  if (duties_) co_await duties_->release(begin + k_leave_notice);
  while (boot_clock::now() < begin + k_leave_notice ||
         (ingress_->in_flight() > 0 && boot_clock::now() < deadline)) {
    co_await wait_for(k_stop_poll);
  }
  ingress_->close_listener();
  // Connections that were just accepted may still bring a request.
  time_point const last = std::min(boot_clock::now() + k_last_requests, deadline);
  while (boot_clock::now() < last || (ingress_->in_flight() > 0 && boot_clock::now() < deadline)) {
    co_await wait_for(k_stop_poll);
  }
  log_line(log_level::info, k_part, "Planned stop ends.", {{"cut", ingress_->in_flight()}});
  state_ = application_state::stopped;
  operator_requests_.stop();
  flush_logs();
  on_stopped();
}

}  // namespace frostline::gateway
