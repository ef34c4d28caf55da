#include "platform_cluster.h"

#include <signal.h>
#include <unistd.h>

#include <boost/filesystem.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "base/encoding.h"
#include "cluster.h"
#include "http/json_fields.h"
#include "silent_connections.h"

namespace frostline::testing {
namespace {

namespace json = boost::json;

constexpr char k_engine_service[] = "engines";
constexpr char k_app_service[] = "apps";

constexpr std::uint64_t k_prompt_tokens = 50;

std::string config_text(std::uint64_t version, std::string const& extra_routes,
                        platform_options const& options) {
  std::ostringstream text;
  text << R"({"version":)" << version << R"(,"routes":[)"
       << R"({"name":"calls","host":"test.example","path_prefix":"/calls/","kind":"safe",)"
       << R"("timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":"apps",)"
       << R"("max_attempts":3},)"
       << R"({"name":"once","host":"test.example","path_prefix":"/once/","kind":"unsafe",)"
       << R"("timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":"apps",)"
       << R"("max_attempts":3},)"
       << R"({"name":"stream","host":"test.example","path_prefix":"/stream/","kind":"streaming",)"
       << R"("timeout_ms":5000,"target_latency_ms":400,"priority":1,"service":")"
       << options.engine_service << R"(","max_attempts":3,"resumable":true},)"
       << R"({"name":"jobs","host":"test.example","path_prefix":"/jobs/","kind":"rollout",)"
       << R"("timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":")"
       << options.engine_service
       << R"(","max_attempts":3,"due_ms":7500,"max_queue_s":40,"single_version":)"
       << (options.single_version ? "true" : "false") << "},"
       << R"({"name":"open","host":"test.example","path_prefix":"/open/","kind":"safe",)"
       << R"("timeout_ms":2000,"target_latency_ms":150,"priority":2,"service":"apps",)"
       << R"("max_attempts":3,"public":true})" << extra_routes << R"(],"services":[{"name":")"
       << options.engine_service << R"(","health_path":"/health","max_conns":150,)"
       << R"("engine":{"slots":8,"kv_capacity":)" << options.cache_tokens
       << R"(,"models":[{"name":"model"}]}},)"
       << R"({"name":"apps","health_path":"/health","max_conns":100}],)"
       << R"("limits":{"max_header_bytes":16384,"max_body_bytes":)" << options.max_body_bytes << ","
       << R"("header_timeout_ms":3000,"idle_timeout_ms":15000})";
  if (!options.tenants.empty()) text << R"(,"tenants":)" << options.tenants;
  text << "}";
  return text.str();
}

json::object write_item(test_item const& spec) {
  json::object item;
  item["id"] = spec.id;
  item["path"] = "/jobs/run/" + spec.id;
  json::object headers;
  headers["X-Frostline-Model"] = platform_cluster::k_model;
  if (spec.length_hint > 0) {
    headers["X-Frostline-Length-Hint"] = std::to_string(spec.length_hint);
    headers["X-Frostline-Token-Usage"] =
        std::to_string(k_prompt_tokens) + "," + std::to_string(spec.generated_limit);
  }
  item["headers"] = std::move(headers);
  item["body"] = base64_encode("prompt of " + spec.id + spec.prompt);
  item["tokens"] = spec.length_hint > 0 ? k_prompt_tokens + spec.generated_limit : 100;
  item["group"] = spec.group;
  if (!spec.scored) return item;
  json::object scorer;
  scorer["id"] = "score-" + spec.id;
  scorer["host"] = platform_cluster::k_host;
  scorer["path"] = spec.scorer_path;
  scorer["body"] = base64_encode("score " + spec.id + spec.scorer_body);
  item["scorer"] = std::move(scorer);
  return item;
}

}  // namespace

platform_cluster::platform_cluster(platform_options options)
    : options_(options),
      folder_(make_run_folder("platform")),
      address_(unique_loopback_address()),
      store_address_(free_endpoint(address_)) {
  store_ = std::make_unique<store_standin>(context_, store_address_);
  duties_address_ = free_endpoint(address_);
  duties_ = std::make_unique<duty_standin>(context_, duties_address_);
  for (std::uint32_t index = 0; index < options_.engines + options_.apps; ++index) {
    bool const is_engine = index < options_.engines;
    server_options server;
    server.id = (is_engine ? "engine-" : "app-") + std::to_string(index) + ".1";
    server.service = is_engine ? k_engine_service : k_app_service;
    server.address = free_endpoint(address_);
    server.events = options_.events;
    server.event_gap = options_.event_gap;
    if (is_engine) server.model = k_model;
    auto& kind = is_engine ? engines_ : apps_;
    kind.push_back(std::make_unique<server_standin>(context_, server));
    server_standin* const made = kind.back().get();
    announce(*made, "ready");
    made->on_version([this, made] { announce(*made, "ready"); });
    made->on_restart([this, made](std::string const& previous_id) {
      if (previous_id != made->id()) store_->remove("servers/" + previous_id);
      announce(*made, "ready");
    });
  }
  put_config(1);
  thread_ = std::thread([this] {
    auto const work = asio::make_work_guard(context_);
    context_.run();
  });
  nodes_.resize(options_.nodes);
  for (std::size_t index = 0; index < options_.nodes; ++index) {
    addresses_.push_back(
        {free_endpoint(address_), free_endpoint(address_), free_endpoint(address_)});
    if (options_.proxied_store) {
      store_proxies_.push_back(std::make_unique<fault_proxy>(store_address_));
    }
    start_node(index);
  }
  for (std::size_t index = 0; index < options_.nodes; ++index) {
    wait_until("node " + std::to_string(index) + " is ready", [&] { return is_ready(index); });
  }
}

platform_cluster::~platform_cluster() {
  nodes_.clear();
  context_.stop();
  thread_.join();
}

std::vector<endpoint> platform_cluster::addresses_of(connected_part part) const {
  bool const all = part == connected_part::all;
  std::vector<endpoint> addresses;
  if (all || part == connected_part::store) {
    addresses.push_back(store_address_);
    for (auto const& proxy : store_proxies_) addresses.push_back(proxy->listen());
  }
  if (all || part == connected_part::servers) {
    for (auto const& server : engines_) addresses.push_back(server->address());
    for (auto const& server : apps_) addresses.push_back(server->address());
  }
  if (all || part == connected_part::nodes) {
    for (node_addresses const& node : addresses_) addresses.push_back(node.peers);
  }
  return addresses;
}

std::size_t platform_cluster::silence_connections(connected_part part) {
  std::set<tcp::endpoint> ends;
  for (endpoint const& address : addresses_of(part)) {
    ends.emplace(asio::ip::make_address(address.address), address.port);
  }
  auto const chosen = [&](tcp::endpoint const& local, tcp::endpoint const& peer) {
    return ends.contains(local) || ends.contains(peer);
  };
  std::size_t silenced = testing::silence_connections(::getpid(), chosen);
  for (auto const& node : nodes_) {
    if (node->is_running()) silenced += testing::silence_connections(node->pid(), chosen);
  }
  return silenced;
}

void platform_cluster::add_crash_budget(std::string const& text, std::uint32_t count) {
  crash_budget const budget{text, std::make_shared<std::uint32_t>(count)};
  on_platform([&] {
    for (auto const& server : apps_) server->faults().crash_budgets.push_back(budget);
    for (auto const& server : engines_) server->faults().crash_budgets.push_back(budget);
    return 0;
  });
}

void platform_cluster::set_crash_text(std::string const& text) {
  on_platform([&] {
    for (auto const& server : apps_) server->faults().crash_text = text;
    for (auto const& server : engines_) server->faults().crash_text = text;
    return 0;
  });
}

void platform_cluster::announce(server_standin const& server, std::string const& state) {
  store_->put("servers/" + server.id(), server.record(state));
}

void platform_cluster::withdraw(server_standin const& server) {
  store_->remove("servers/" + server.id());
}

void platform_cluster::put_config(std::uint64_t version, std::string const& extra_routes) {
  store_->put("op/config", config_text(version, extra_routes, options_));
}

void platform_cluster::name_version(std::uint64_t version) {
  json::object body;
  body["model"] = k_model;
  body["version"] = version;
  store_->put("op/version/" + std::string(k_model), json::serialize(body));
}

std::string platform_cluster::settings_path(std::size_t index) const {
  return folder_ + "/node-" + std::to_string(index) + ".toml";
}

void platform_cluster::write_settings(std::size_t index) {
  std::ofstream(settings_path(index)) << settings_text(index);
}

std::string platform_cluster::settings_text(std::size_t index) const {
  node_addresses const& where = addresses_.at(index);
  std::ostringstream file;
  endpoint const store =
      options_.proxied_store ? store_proxies_.at(index)->listen() : store_address_;
  file << "[node]\nrole = \"gateway\"\nid = \"node-" << index << "\"\nzone = \"zone-"
       << index % options_.zones << "\"\n"
       << "[listen]\nclients = \"" << where.clients.to_string() << "\"\nreadiness = \""
       << where.readiness.to_string() << "\"\npeers = \"" << where.peers.to_string() << "\"\n"
       << "[relay]\nseeds = \"" << addresses_.front().peers.to_string() << "\"\n"
       << "[record_store]\naddress = \"" << store.to_string() << "\"\n"
       << "[orders]\ngap_ms = 300\n[stop]\nseconds = 8\n";
  if (options_.usage_window > milliseconds(0)) {
    file << "[duties]\naddress = \"" << duties_address_.to_string() << "\"\n[usage]\n"
         << "window_seconds = " << static_cast<double>(options_.usage_window.count()) / 1000
         << "\nlate_seconds = " << static_cast<double>(options_.usage_delay.count()) / 1000 << "\n";
  }
  file << options_.extra_settings;
  return file.str();
}

void platform_cluster::touch_settings(std::size_t index) {
  write_settings(index);
  boost::filesystem::path const file = settings_path(index);
  // File systems may store modification times in whole seconds.
  boost::filesystem::last_write_time(file, boost::filesystem::last_write_time(file) + 2);
}

void platform_cluster::start_node(std::size_t index) {
  write_settings(index);
  start_node_as_configured(
      index, options_.suspendable ? program_path("tests/libfrostline-suspension.so") : "");
}

void platform_cluster::start_node_as_configured(std::size_t index, std::string const& preload) {
  suspended_at_.erase(index);
  std::vector<std::string> const arguments = {"--config=" + settings_path(index)};
  // Each process writes its own log file.
  static std::size_t starts = 0;
  logs_[index] =
      folder_ + "/node-" + std::to_string(index) + "." + std::to_string(++starts) + ".log";
  nodes_.at(index) = std::make_unique<child_process>(program_path("frostline-gateway"), arguments,
                                                     logs_.at(index), preload);
}

void platform_cluster::suspend(std::size_t index) {
  suspended_at_.try_emplace(index, boot_clock::now());
  nodes_.at(index)->send_signal(SIGSTOP);
}

void platform_cluster::resume(std::size_t index) {
  auto const suspended = suspended_at_.extract(index);
  if (suspended.empty()) return;
  auto const duration =
      std::chrono::duration_cast<milliseconds>(boot_clock::now() - suspended.mapped());
  nodes_.at(index)->resume_from_suspension(static_cast<int>(duration.count()));
}

bool platform_cluster::is_ready(std::size_t index) {
  auto const answer = client_.exchange(addresses_.at(index).readiness, http::make_get("/ready"),
                                       milliseconds(1000));
  return answer && answer.value().result() == http::status::ok;
}

std::string platform_cluster::log(std::size_t index) const {
  std::ifstream file(logs_.at(index));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::optional<std::size_t> platform_cluster::find_owner() {
  return find_named("frostline/owners/engines");
}

std::size_t platform_cluster::duty_holder() {
  std::optional<std::size_t> found;
  wait_until("a node holds the duties", [&] {
    found = find_duty_holder();
    return found.has_value();
  });
  return *found;
}

std::optional<std::size_t> platform_cluster::find_duty_holder() {
  return find_named("frostline/owners/duties/platform");
}

std::optional<std::size_t> platform_cluster::find_relay(std::uint32_t zone) {
  return find_named("frostline/relays/zone-" + std::to_string(zone));
}

std::size_t platform_cluster::relay(std::uint32_t zone) {
  std::optional<std::size_t> found;
  wait_until("a node relays in zone " + std::to_string(zone), [&] {
    found = find_relay(zone);
    return found.has_value();
  });
  return *found;
}

std::optional<std::size_t> platform_cluster::find_named(std::string const& key) {
  std::string const value = on_platform([&] {
    auto const record = store_->items().find(key);
    return record == store_->items().end() ? std::string() : record->second.value;
  });
  for (std::size_t index = 0; index < addresses_.size(); ++index) {
    if (value.find("node-" + std::to_string(index)) != std::string::npos) return index;
  }
  return std::nullopt;
}

std::size_t platform_cluster::owner() {
  std::optional<std::size_t> found;
  wait_until("a node owns the pool", [&] {
    found = find_owner();
    return found.has_value();
  });
  return *found;
}

http::request platform_cluster::make_call(http::verb method, std::string const& path,
                                          std::string const& request_id, std::string const& body,
                                          milliseconds deadline,
                                          std::optional<std::string> const& key) const {
  // The blocking client would send the node's address as Host, which matches no route.
  http::request message(method, path, 11);
  message.set(http::field::host, k_host);
  if (!request_id.empty()) message.set("X-Frostline-Request-Id", request_id);
  message.set("X-Frostline-Deadline-Ms", std::to_string(deadline.count()));
  std::string const used_key = key.value_or(api_key_);
  if (!used_key.empty()) message.set(http::field::authorization, "Bearer " + used_key);
  if (!header_name_.empty()) message.insert(header_name_, header_value_);
  message.body() = body;
  message.prepare_payload();
  return message;
}

std::string platform_cluster::call_text(http::verb method, std::string const& path,
                                        std::string const& request_id,
                                        std::string const& body) const {
  std::ostringstream text;
  text << make_call(method, path, request_id, body, milliseconds(5000), std::nullopt);
  return text.str();
}

std::string platform_cluster::id_field(std::string const& request_id) {
  return "X-Frostline-Request-Id: " + request_id + "\r\n";
}

std::string platform_cluster::call_head(std::string const& path, std::string const& request_id,
                                        std::string const& fields) {
  return "POST " + path + " HTTP/1.1\r\nHost: " + k_host + "\r\n" + id_field(request_id) +
         "X-Frostline-Deadline-Ms: 60000\r\n" + fields + "\r\n";
}

result<http::response> platform_cluster::exchange(std::size_t node, http::request const& message,
                                                  milliseconds read_timeout) const {
  asio::io_context context(1);
  http::beast::tcp_stream stream(context);
  endpoint const where = addresses_.at(node).clients;
  auto exchange = [&]() -> awaitable<result<http::response>> {
    stream.expires_after(read_timeout);
    tcp::endpoint const remote(asio::ip::make_address(where.address), where.port);
    auto [unconnected] = co_await stream.async_connect(remote, k_as_tuple);
    if (unconnected) co_return std::error_code(http::errc::connect_failed);
    auto [unsent, sent] = co_await http::bhttp::async_write(stream, message, k_as_tuple);
    if (unsent) co_return std::error_code(http::errc::exchange_failed);
    http::beast::flat_buffer buffer;
    http::response answer;
    auto [failure, count] = co_await http::bhttp::async_read(stream, buffer, answer, k_as_tuple);
    if (failure) co_return std::error_code(http::errc::answer_truncated);
    co_return answer;
  };
  return rpc::run_blocking(context, exchange());
}

result<http::response> platform_cluster::call(std::size_t node, http::verb method,
                                              std::string const& path,
                                              std::string const& request_id,
                                              std::string const& body, milliseconds timeout,
                                              std::optional<std::string> const& key) {
  return exchange(node, make_call(method, path, request_id, body, timeout, key), timeout);
}

void platform_cluster::call_and_disconnect(std::size_t node, std::string const& path,
                                           std::string const& request_id, std::string const& body,
                                           milliseconds read_timeout) {
  constexpr milliseconds k_request_deadline{5000};
  auto const message =
      make_call(http::verb::post, path, request_id, body, k_request_deadline, std::nullopt);
  // Any answer that arrives before the timeout is ignored.
  static_cast<void>(exchange(node, message, read_timeout));
}

unsigned platform_cluster::submit(std::size_t node, std::string const& job,
                                  std::vector<test_item> const& items, std::uint64_t min_version) {
  json::array list;
  for (test_item const& item : items) list.push_back(write_item(item));
  json::object body;
  body["step"] = 0;
  body["model"] = k_model;
  body["min_version"] = min_version;
  body["desired"] = 1;
  body["requests"] = std::move(list);
  auto const answer = call(node, http::verb::post, "/jobs/" + job, job, json::serialize(body));
  return answer ? answer.value().result_int() : 0;
}

unsigned platform_cluster::end_job(std::size_t node, std::string const& job) {
  auto const answer = call(node, http::verb::delete_, "/api/lots/" + job, "");
  return answer ? answer.value().result_int() : 0;
}

result<http::response> platform_cluster::item_body(std::size_t node, std::string const& job,
                                                   std::string const& item) {
  return call(node, http::verb::get, "/api/items/" + job + "?id=" + item, "");
}

std::string platform_cluster::stamp_of(http::response const& answer) {
  return std::string(http::header(answer, "X-Frostline-Server-Stamp"));
}

void platform_cluster::request_evacuation(std::string const& machine) {
  on_platform([&] {
    store_->put("op/retire/" + machine, "{\"duration_s\":10}");
    return 0;
  });
}

bool platform_cluster::is_reported_empty(std::string const& machine) {
  return on_platform([&] {
    auto const found = store_->items().find("status/retire/" + machine);
    return found != store_->items().end() &&
           found->second.value.find("completed") != std::string::npos;
  });
}

unsigned platform_cluster::results_status(std::size_t node, std::string const& job) {
  auto const answer = call(node, http::verb::get, "/api/lots/" + job + "?after_rev=0", "");
  return answer ? answer.value().result_int() : 0;
}

std::optional<json::object> platform_cluster::results(std::size_t node, std::string const& job,
                                                      std::uint64_t after) {
  auto const answer =
      call(node, http::verb::get, "/api/lots/" + job + "?after_rev=" + std::to_string(after), "");
  if (!answer || answer.value().result() != http::status::ok) return std::nullopt;
  return parse_json_object(answer.value().body());
}

json::object platform_cluster::wait_for_results(std::size_t node, std::string const& job,
                                                std::size_t count) {
  std::optional<json::object> found;
  wait_until(std::to_string(count) + " results of " + job, [&] {
    found = results(node, job);
    return found && found->at("results").as_array().size() >= count;
  });
  return *found;
}

void platform_cluster::wait_until(std::string const& what, std::function<bool()> condition) {
  cluster::wait_until(what, std::move(condition));
}

}  // namespace frostline::testing
