#include "gateway/application.h"

#include <algorithm>

#include "base/encoding.h"
#include "base/log.h"
#include "calls/forwarder.h"
#include "calls/ingress.h"
#include "gateway/metrics.h"
#include "http/server.h"
#include "jobs/job_client.h"
#include "kv/follower.h"
#include "relay/relayed_store.h"
#include "relay/watch_relay.h"
#include "rpc/dispatcher.h"

namespace frostline::gateway {
namespace {

constexpr std::string_view k_part = "gateway";
/// Changes of servers are read together; with the time in which a lost relay is noticed, far below
/// that in which a leaving server must get nothing more.
constexpr milliseconds k_servers_pause{400};
/// An owner waits for engines that have loaded.
constexpr milliseconds k_owners_servers_pause{60};
constexpr milliseconds k_configuration_pause{100};
constexpr milliseconds k_versions_pause{20};
constexpr milliseconds k_probe_interval{2000};
constexpr milliseconds k_probe_timeout{700};
/// A loop that did not turn for that long stood still: what it believes may be old.
constexpr milliseconds k_standstill{1200};
constexpr milliseconds k_housekeeping_interval{250};
/// Time in which the platform learns that a node stops; it serves new clients meanwhile.
constexpr milliseconds k_leave_notice{2600};
constexpr milliseconds k_stop_margin{700};
constexpr milliseconds k_stop_poll{20};
constexpr milliseconds k_last_requests{150};
constexpr milliseconds k_default_deadline{10'000};
/// Readers wait that much longer than they allow.
constexpr milliseconds k_list_margin{1200};
constexpr milliseconds k_end_deadline{3000};
constexpr std::size_t k_peer_body_bytes = 64 << 20;
constexpr std::string_view k_metrics_path = "/metrics";
constexpr std::string_view k_plain_text = "text/plain; version=0.0.4";

}  // namespace

struct application::parts {
  parts(asio::io_context& context, settings all, platform_adapter& adapter);

  std::string start();
  awaitable<void> stop(std::function<void()> on_stopped);
  void reload(settings const& all);
  application_state state() const { return state_; }
  asio::io_context& context() { return context_; }

 private:
  void add_relay_method();
  std::string listen();
  void start_followers();
  void take_configuration(std::string_view value);
  void take_server(kv::watch_event const& event);
  void take_servers(kv::range_answer const& all);
  /// The node that watches servers for the others: the owner of a pool, unless it is this one.
  std::optional<endpoint> find_relay() const;
  /// When the store last answered this node as an owner.
  time_point confirmed_as_owner() const;
  void take_owner(std::string const& key, kv::key_value const* record);
  void take_owners(kv::range_answer const& all);
  void take_request(kv::key_value const& record);
  void ensure_pools();
  jobs::pool& make_pool(std::string const& name);
  void follow_operators_if_owner();
  void note_progress();
  awaitable<void> report_empty(std::string machine);
  awaitable<void> probe_loop();
  awaitable<void> housekeeping_loop();
  void resynchronize(std::string_view cause);
  void notify_owners();
  awaitable<void> handle(http::request message, calls::caller& from);
  awaitable<void> handle_job(job_request request, calls::caller& from);
  awaitable<void> handle_submission(http::request message, calls::route const& by,
                                    calls::caller& from);
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
  calls::forwarder forwarder_{calls::forwarder_parts{context_, configuration_, servers_,
                                                     connections_, selector_, adapter_.names()}};
  jobs::pool_map pools_;
  jobs::job_client job_client_{context_, transport_, adapter_.store(), pools_,
                               jobs::calling_node{settings_.id, settings_.peers.to_string(),
                                                  settings_.zone, settings_.processor_share}};
  relay::watch_relay relay_{context_, [this] { return confirmed_as_owner(); }};
  relay::relayed_store relayed_store_{adapter_.store(), transport_,
                                      [this] { return find_relay(); }};
  bool owns_any_ = false;
  std::shared_ptr<kv::follower> configuration_follower_;
  std::shared_ptr<kv::follower> servers_follower_;
  std::shared_ptr<kv::follower> owners_follower_;
  std::shared_ptr<kv::follower> operators_follower_;
  std::map<std::string, bool> emptied_;
  rpc::dispatcher peer_methods_;
  metrics metrics_;
  std::unique_ptr<http::server> peers_;
  std::unique_ptr<http::server> readiness_;
  std::unique_ptr<calls::ingress> ingress_;
  bool store_answers_ = true;
};

application::application(asio::io_context& context, settings all, platform_adapter& adapter)
    : parts_(std::make_unique<parts>(context, std::move(all), adapter)) {}

application::~application() = default;

std::string application::start() { return parts_->start(); }

void application::stop(std::function<void()> on_stopped) {
  spawn(parts_->context(), parts_->stop(std::move(on_stopped)));
}

void application::reload(settings const& all) { parts_->reload(all); }

application_state application::state() const { return parts_->state(); }

application::parts::parts(asio::io_context& context, settings all, platform_adapter& adapter)
    : context_(context), settings_(std::move(all)), adapter_(adapter) {
  peer_methods_.add<rpc::JobCallT, rpc::JobReplyT>(
      "JobService", "Call", [this](rpc::JobCallT call) -> awaitable<rpc::reply<rpc::JobReplyT>> {
        auto const found = pools_.find(call.pool);
        rpc::JobReplyT reply;
        reply.status = rpc::JobStatus::UNAVAILABLE;
        if (found != pools_.end()) reply = co_await found->second.owner->handle(std::move(call));
        co_return std::move(reply);
      });
  peer_methods_.add<rpc::ProgressReportT, rpc::ProgressReplyT>(
      "JobService", "Replicate",
      [this](rpc::ProgressReportT report) -> awaitable<rpc::reply<rpc::ProgressReplyT>> {
        auto const found = pools_.find(report.pool);
        rpc::ProgressReplyT reply;
        if (found != pools_.end()) reply = found->second.owner->replicate(std::move(report));
        co_return reply;
      });
  add_relay_method();
}

void application::parts::add_relay_method() {
  peer_methods_.add<rpc::WatchCallT, rpc::WatchReplyT>(
      "RelayService", "Watch",
      [this](rpc::WatchCallT call) -> awaitable<rpc::reply<rpc::WatchReplyT>> {
        relay_.history().advance(servers_follower_->at());
        co_return co_await relay_.watch(std::move(call));
      });
}

std::string application::parts::listen() {
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
        return handle(std::move(message), from);
      },
      settings_.connections);
  std::string failure = peers_->listen(settings_.peers);
  if (failure.empty()) failure = readiness_->listen(settings_.readiness);
  if (failure.empty()) failure = ingress_->listen(settings_.clients);
  return failure;
}

std::string application::parts::start() {
  std::string failure = listen();
  if (!failure.empty()) return failure;
  servers_.on_change([this] {
    note_progress();
    for (auto& [name, one] : pools_) one.owner->note_servers();
  });
  start_followers();
  spawn(context_, probe_loop());
  spawn(context_, housekeeping_loop());
  log_line(log_level::info, k_part, "Started.",
           {{"id", settings_.id},
            {"zone", settings_.zone},
            {"clients", settings_.clients.to_string()},
            {"peers", settings_.peers.to_string()},
            {"record_store", settings_.record_store.to_string()}});
  return {};
}

void application::parts::start_followers() {
  kv::follower_callbacks on_configuration;
  on_configuration.snapshot = [this](kv::range_answer const& all) {
    for (kv::key_value const& one : all.entries) take_configuration(one.value);
  };
  on_configuration.event = [this](kv::watch_event const& event) {
    if (!event.deleted) take_configuration(event.entry.value);
  };
  kv::record_store& store = adapter_.store();
  configuration_follower_ = std::make_shared<kv::follower>(
      context_, store, adapter_.keys().configuration, std::move(on_configuration),
      kv::follower_options{k_configuration_pause});
  kv::follower_callbacks on_servers;
  on_servers.snapshot = [this](kv::range_answer const& all) { take_servers(all); };
  on_servers.event = [this](kv::watch_event const& event) { take_server(event); };
  servers_follower_ =
      std::make_shared<kv::follower>(context_, relayed_store_, adapter_.keys().servers_prefix,
                                     std::move(on_servers), kv::follower_options{k_servers_pause});
  kv::follower_callbacks on_owners;
  on_owners.snapshot = [this](kv::range_answer const& all) { take_owners(all); };
  on_owners.event = [this](kv::watch_event const& event) {
    take_owner(event.entry.key, event.deleted ? nullptr : &event.entry);
  };
  owners_follower_ =
      std::make_shared<kv::follower>(context_, store, ownership::pool_lease::owners_prefix(),
                                     std::move(on_owners), kv::follower_options());
  configuration_follower_->start();
  servers_follower_->start();
  owners_follower_->start();
}

void application::parts::note_progress() {
  if (state_ == application_state::starting && configuration_.table() && servers_.is_loaded()) {
    state_ = application_state::serving;
    log_line(log_level::info, k_part, "Serving.",
             {{"config", configuration_.table()->all().version},
              {"servers", servers_.servers().size()}});
  }
  notify_owners();
}

void application::parts::take_configuration(std::string_view value) {
  auto parsed = adapter_.parse_configuration(value);
  if (!parsed) {
    log_line(log_level::error, k_part, "Configuration is malformed; the one before stays.");
    return;
  }
  if (!configuration_.offer(std::move(*parsed))) return;
  ingress_->set_limits(configuration_.table()->all().limits);
  ensure_pools();
  note_progress();
}

void application::parts::take_servers(kv::range_answer const& all) {
  std::vector<directory::server> servers;
  for (kv::key_value const& one : all.entries) {
    auto parsed = adapter_.parse_server(one.key, one.value);
    if (parsed) servers.push_back(std::move(*parsed));
  }
  servers_.replace_all(std::move(servers));
  relay_.history().reset(all.store_revision);
  relay_.notify();
}

void application::parts::take_server(kv::watch_event const& event) {
  relay_.history().add(event);
  relay_.notify();
  if (!event.deleted) {
    auto parsed = adapter_.parse_server(event.entry.key, event.entry.value);
    if (parsed) servers_.put(std::move(*parsed));
    return;
  }
  servers_.remove(event.entry.key.substr(adapter_.keys().servers_prefix.size()));
}

std::optional<endpoint> application::parts::find_relay() const {
  for (auto const& [name, one] : pools_) {
    auto const& owner = one.lease->owner();
    if (owner && owner->node != settings_.id) return owner->address;
  }
  return std::nullopt;
}

time_point application::parts::confirmed_as_owner() const {
  time_point newest = time_point::min();
  for (auto const& [name, one] : pools_) {
    if (one.lease->holds(steady_clock::now())) newest = std::max(newest, one.lease->confirmed_at());
  }
  return newest;
}

jobs::pool& application::parts::make_pool(std::string const& name) {
  jobs::pool& one = pools_[name];
  if (one.lease) return one;
  ownership::pool_lease_options options;
  options.node = settings_.id;
  options.address = settings_.peers;
  options.handicap = ownership::handicap_of(settings_.processor_share);
  options.time_to_live = std::max(options.time_to_live, settings_.store_limits.shortest_lease);
  one.lease =
      std::make_unique<ownership::pool_lease>(context_, adapter_.store(), name, std::move(options));
  one.lease->set_order_gap(settings_.order_gap);
  one.owner = std::make_unique<jobs::pool_owner>(
      jobs::owner_parts{context_, adapter_.store(), settings_.store_limits, configuration_,
                        servers_, connections_, forwarder_, adapter_.names(), adapter_.engines(),
                        *one.lease, transport_, settings_.id, settings_.zone, settings_.retention});
  one.owner->start();
  return one;
}

void application::parts::ensure_pools() {
  for (auto const& [name, service] : configuration_.table()->all().services) {
    if (!service.engines || pools_.contains(name)) continue;
    jobs::pool& one = make_pool(name);
    if (owners_follower_->is_loaded() && !one.lease->owner()) one.lease->note_record(nullptr);
    one.lease->start();
  }
}

void application::parts::take_owner(std::string const& key, kv::key_value const* record) {
  std::string const name = key.substr(ownership::pool_lease::owners_prefix().size());
  bool const fresh = !pools_.contains(name);
  // A pool may be older than the configuration that this node knows.
  jobs::pool& one = make_pool(name);
  one.lease->note_record(record);
  if (fresh) one.lease->start();
  follow_operators_if_owner();
}

void application::parts::take_owners(kv::range_answer const& all) {
  for (kv::key_value const& one : all.entries) take_owner(one.key, &one);
  for (auto& [name, one] : pools_) {
    std::string const key = ownership::pool_lease::key_of(name);
    bool const listed = std::any_of(all.entries.begin(), all.entries.end(),
                                    [&](kv::key_value const& entry) { return entry.key == key; });
    if (!listed) one.lease->note_record(nullptr);
  }
}

void application::parts::follow_operators_if_owner() {
  bool const owner = std::any_of(pools_.begin(), pools_.end(), [](auto const& entry) {
    return entry.second.lease->state() == ownership::lease_state::owner;
  });
  servers_follower_->set_pause(owner ? k_owners_servers_pause : k_servers_pause);
  // Whoever passes changes on must not wait for the node that did so before.
  if (owner && !owns_any_) servers_follower_->watch_again();
  owns_any_ = owner;
  if (!owner) {
    if (operators_follower_) operators_follower_->stop();
    operators_follower_.reset();
    return;
  }
  if (operators_follower_) return;
  kv::follower_callbacks on_request;
  on_request.snapshot = [this](kv::range_answer const& all) {
    for (kv::key_value const& one : all.entries) take_request(one);
  };
  on_request.event = [this](kv::watch_event const& event) {
    if (!event.deleted) take_request(event.entry);
  };
  operators_follower_ =
      std::make_shared<kv::follower>(context_, adapter_.store(), adapter_.keys().operators_prefix,
                                     std::move(on_request), kv::follower_options{k_versions_pause});
  operators_follower_->start();
}

void application::parts::take_request(kv::key_value const& record) {
  if (record.key == adapter_.keys().configuration) {
    take_configuration(record.value);
    return;
  }
  auto const request = adapter_.parse_request(record.key, record.value);
  if (!request) return;
  if (request->kind == operator_request::request_kind::name_version) {
    for (auto& [name, one] : pools_) {
      one.owner->orders().name_version(request->model, request->version);
    }
    notify_owners();
    return;
  }
  bool const first =
      emptied_.emplace(record.key + std::to_string(record.mod_revision), true).second;
  if (first) spawn(context_, report_empty(request->machine));
}

awaitable<void> application::parts::report_empty(std::string machine) {
  // Nothing that must last lies on a machine: it is empty as soon as that is asked for.
  while (state_ != application_state::stopped) {
    kv::transaction change;
    change.on_success.push_back(adapter_.report_empty(machine));
    auto outcome = co_await adapter_.store().apply(std::move(change), milliseconds(1500));
    log_line(log_level::info, k_part, "Machine reported as empty.",
             {{"machine", machine}, {"stored", outcome ? "yes" : outcome.error().message()}});
    if (outcome) co_return;
    co_await wait_for(milliseconds(200));
  }
}

void application::parts::notify_owners() {
  for (auto& [name, one] : pools_) one.owner->notify();
}

void application::parts::resynchronize(std::string_view cause) {
  log_line(log_level::warning, k_part, "Reading all records again.", {{"cause", cause}});
  configuration_follower_->resynchronize();
  servers_follower_->resynchronize();
  owners_follower_->resynchronize();
  if (operators_follower_) operators_follower_->resynchronize();
}

awaitable<void> application::parts::probe_loop() {
  while (state_ != application_state::stopped) {
    co_await wait_for(k_probe_interval);
    auto const answer = co_await adapter_.store().probe(k_probe_timeout);
    bool const answers = static_cast<bool>(answer);
    if (answers != store_answers_) {
      log_line(log_level::warning, k_part,
               answers ? "Record store answers again." : "Record store does not answer.",
               {{"error", answers ? "" : answer.error().message()}});
    }
    // A watch that began before the silence may be dead without showing it.
    if (answers && !store_answers_) resynchronize("the store was silent");
    store_answers_ = answers;
  }
}

awaitable<void> application::parts::housekeeping_loop() {
  time_point last = steady_clock::now();
  while (state_ != application_state::stopped) {
    co_await wait_for(k_housekeeping_interval);
    time_point const now = steady_clock::now();
    auto const pause = std::chrono::duration_cast<milliseconds>(now - last);
    last = now;
    if (pause > k_standstill) resynchronize("this process stood still");
    connections_.clean(servers_);
    selector_.clean(servers_);
    follow_operators_if_owner();
    flush_logs();
  }
}

http::response application::parts::readiness() const {
  bool const ready = state_ == application_state::serving;
  auto const code = ready ? http::status::ok : http::status::service_unavailable;
  return http::make_response(code, ready ? "ready\n" : "not ready\n", "text/plain");
}

http::response application::parts::metrics_page() {
  node_readings now;
  now.config_version = configuration_.table() ? configuration_.table()->all().version : 0;
  now.servers = servers_.servers().size();
  now.calls = forwarder_.figures();
  now.connections_opened = connections_.opened();
  now.logs_dropped = dropped_log_lines();
  for (auto& [name, one] : pools_) {
    now.pools.push_back({name, one.lease->state() == ownership::lease_state::owner,
                         one.owner->jobs(), one.owner->runner().running(),
                         one.owner->runner().figures(), one.owner->runner().scoring(),
                         one.owner->orders().sent(), one.owner->log().transactions()});
  }
  return http::make_response(http::status::ok, metrics_.write(now), k_plain_text);
}

awaitable<http::response> application::parts::handle_peer(http::request message) {
  std::string_view const target = http::as_view(message.target());
  if (target.starts_with(rpc::k_rpc_prefix)) {
    co_return co_await peer_methods_.handle(std::move(message));
  }
  if (target == k_metrics_path) co_return metrics_page();
  co_return http::make_response(http::status::not_found, "", "text/plain");
}

awaitable<void> application::parts::handle(http::request message, calls::caller& from) {
  time_point const begin = steady_clock::now();
  auto about_job = adapter_.parse_job_request(message);
  if (about_job) {
    co_await handle_job(std::move(*about_job), from);
    co_return;
  }
  auto const table = configuration_.table();
  calls::route const* by =
      table ? table->match(http::header(message, "Host"), http::as_view(message.target()))
            : nullptr;
  if (by != nullptr && by->kind == calls::route_kind::job) {
    co_await handle_submission(std::move(message), *by, from);
    co_return;
  }
  time_point deadline = begin + k_default_deadline;
  std::string const told(http::header(message, adapter_.names().deadline));
  if (!told.empty()) deadline = begin + milliseconds(std::strtoll(told.c_str(), nullptr, 10));
  co_await forwarder_.handle(std::move(message), deadline, from);
  auto const spent = std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
  metrics_.note_call(spent);
}

awaitable<void> application::parts::handle_job(job_request request, calls::caller& from) {
  bool const ends = request.call.action == rpc::JobAction::END;
  auto const patience = ends ? k_end_deadline : milliseconds(request.call.wait_ms) + k_list_margin;
  time_point const deadline =
      steady_clock::now() + std::min(patience, request.deadline.value_or(patience));
  rpc::JobReplyT const reply = co_await job_client_.ask(request.call, deadline);
  if (reply.status != rpc::JobStatus::OK) {
    log_line(log_level::info, k_part, "Job call not answered.",
             {{"job", request.call.job},
              {"action", rpc::EnumNameJobAction(request.call.action)},
              {"status", rpc::EnumNameJobStatus(reply.status)},
              {"detail", reply.detail}});
  }
  co_await from.answer(adapter_.write_job_reply(request.call, reply));
}

awaitable<void> application::parts::handle_submission(http::request message, calls::route const& by,
                                                      calls::caller& from) {
  time_point const begin = steady_clock::now();
  std::string const pool = by.shares.front().service;
  milliseconds const longest = by.timeout > milliseconds(0) ? by.timeout : k_default_deadline;
  rpc::JobReplyT reply;
  auto request = adapter_.parse_submission(message);
  if (!request) {
    reply.status = rpc::JobStatus::INVALID;
    reply.detail = "the body is not a job";
    co_await from.answer(adapter_.write_job_reply(rpc::JobCallT(), reply));
    co_return;
  }
  // A submission is taken by its body alone; its copies need not stay in memory.
  message = http::request();
  rpc::JobCallT asked;
  asked.action = rpc::JobAction::SUBMIT;
  asked.job = request->call.job;
  time_point const deadline = begin + std::min(longest, request->deadline.value_or(longest));
  reply = co_await job_client_.submit(pool, std::move(request->call), deadline);
  auto const spent = std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
  metrics_.note_submission(spent);
  log_line(log_level::info, k_part, "Submission answered.",
           {{"job", asked.job},
            {"pool", pool},
            {"status", rpc::EnumNameJobStatus(reply.status)},
            {"detail", reply.detail},
            {"after_ms", spent.count()}});
  co_await from.answer(adapter_.write_job_reply(asked, reply));
}

void application::parts::reload(settings const& all) {
  settings_.order_gap = all.order_gap;
  settings_.retention = all.retention;
  settings_.stop_time = all.stop_time;
  for (auto& [name, one] : pools_) one.lease->set_order_gap(all.order_gap);
  start_logging(all.id, all.log_level);
  log_line(log_level::info, k_part, "Settings reloaded.", {{"id", all.id}});
}

awaitable<void> application::parts::stop(std::function<void()> on_stopped) {
  if (state_ == application_state::stopping) co_return;
  state_ = application_state::stopping;
  log_line(log_level::info, k_part, "Planned stop begins.", {{"in_flight", ingress_->in_flight()}});
  time_point const begin = steady_clock::now();
  time_point const deadline = begin + settings_.stop_time - k_stop_margin;
  ingress_->drain();
  for (auto& [name, one] : pools_) {
    co_await one.owner->flush(begin + k_leave_notice / 2);
    co_await one.lease->release();
  }
  while (steady_clock::now() < begin + k_leave_notice ||
         (ingress_->in_flight() > 0 && steady_clock::now() < deadline)) {
    co_await wait_for(k_stop_poll);
  }
  ingress_->close_listener();
  // Connections that were just accepted may still bring a request.
  time_point const last = std::min(steady_clock::now() + k_last_requests, deadline);
  while (steady_clock::now() < last ||
         (ingress_->in_flight() > 0 && steady_clock::now() < deadline)) {
    co_await wait_for(k_stop_poll);
  }
  log_line(log_level::info, k_part, "Planned stop ends.", {{"cut", ingress_->in_flight()}});
  state_ = application_state::stopped;
  flush_logs();
  on_stopped();
}

}  // namespace frostline::gateway
