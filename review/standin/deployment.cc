#include "deployment.h"

#include <unistd.h>

#include <algorithm>
#include <boost/filesystem.hpp>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <stdexcept>

#include "base/encoding.h"
#include "http/json_fields.h"
#include "rpc/blocking.h"

namespace frostline::review {
namespace {

namespace files = boost::filesystem;
namespace json = boost::json;

constexpr std::uint32_t k_zones = 3;
constexpr milliseconds k_start_timeout{20'000};
constexpr milliseconds k_poll{20};
constexpr std::size_t k_shown_bytes = 160;

std::string zone_of(std::size_t number) { return "zone-" + std::to_string(number % k_zones); }

std::string own_loopback_address() {
  auto const process = static_cast<std::uint32_t>(::getpid());
  auto const part = [](std::uint32_t value) { return std::to_string(1 + value % 250); };
  return "127." + part(process) + "." + part(process / 250) + ".1";
}

std::string read_file(std::string const& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("can't read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Fills the gaps of a settings template. Sections stand only where their field is given; no field
/// of the sections in the template is given here.
std::string fill(std::string text, std::map<std::string, std::string> const& fields) {
  static std::regex const section(R"(\{\{#([a-z_.]+)\}\}[\s\S]*?\{\{/\1\}\}\n?)");
  text = std::regex_replace(text, section, "");
  for (auto const& [name, value] : fields) {
    std::string const gap = "{{" + name + "}}";
    for (auto place = text.find(gap); place != std::string::npos; place = text.find(gap)) {
      text.replace(place, gap.size(), value);
    }
  }
  if (text.find("{{") != std::string::npos) throw std::runtime_error("a gap is left: " + text);
  return text;
}

/// Reads a number of seconds, which may have a fraction; 0 if there is none.
milliseconds read_seconds(std::string_view text) {
  return milliseconds(static_cast<std::int64_t>(1000 * std::atof(std::string(text).c_str())));
}

}  // namespace

bool wait_until(milliseconds timeout, std::function<bool()> const& condition) {
  time_point const deadline = boot_clock::now() + timeout;
  while (!condition()) {
    if (boot_clock::now() >= deadline) return false;
    pause(k_poll);
  }
  return true;
}

void pause(milliseconds duration) { std::this_thread::sleep_for(duration); }

deployment::deployment(deployment_options options, record& log)
    : options_(std::move(options)),
      record_(log),
      folder_((files::temp_directory_path() / files::unique_path("review-%%%%%%%%")).string()),
      address_(own_loopback_address()),
      store_address_(free_endpoint()) {
  files::create_directories(folder_);
  store_ = std::make_unique<testing::store_standin>(context_, store_address_);
  thread_ = std::thread([this] {
    auto const work = asio::make_work_guard(context_);
    context_.run();
  });
}

deployment::~deployment() {
  processes_.clear();
  context_.stop();
  thread_.join();
  boost::system::error_code ignored;
  files::remove_all(folder_, ignored);
}

endpoint deployment::free_endpoint() const {
  static std::set<std::uint16_t> given;
  asio::io_context context;
  while (true) {
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address(address_), 0));
    std::uint16_t const port = acceptor.local_endpoint().port();
    if (given.insert(port).second) return {address_, port};
  }
}

void deployment::announce(server const& target) {
  std::string& known = announced_[&target];
  if (!known.empty() && known != target.id()) store_->remove("servers/" + known);
  known = target.id();
  store_->put("servers/" + target.id(), target.description());
}

server& deployment::add_server(server_options options) {
  options.zone = zone_of(servers_.size());
  options.address = free_endpoint();
  return *on_platform([&] {
    servers_.push_back(std::make_unique<server>(context_, options, record_));
    server* const made = servers_.back().get();
    made->on_change([this, made] { announce(*made); });
    announce(*made);
    return made;
  });
}

std::int64_t deployment::put_configuration(std::string const& text) {
  return on_platform([&] {
    store_->put("op/config", text);
    record_.write("operator", "the store has taken " + text);
    return record_.now();
  });
}

void deployment::name_version(std::uint64_t version) {
  json::object body{{"model", k_model}, {"version", version}};
  on_platform([&] {
    store_->put("op/version/" + std::string(k_model), json::serialize(body));
    record_.write("trainer", "names version " + std::to_string(version));
    return 0;
  });
}

void deployment::crash_server(server& target, milliseconds down_time) {
  on_platform([&] {
    target.crash(down_time);
    return 0;
  });
}

std::string deployment::settings_of(std::uint32_t gateway) const {
  gateway_addresses const& own = addresses_.at(gateway);
  std::map<std::string, std::string> const fields = {
      {"node", "frontend-" + std::to_string(gateway)},
      {"zone", zone_of(gateway)},
      {"limits.cpu_share", "0.25"},
      {"listen.front", own.clients.to_string()},
      {"listen.ready", own.readiness.to_string()},
      {"listen.control", own.peers.to_string()},
      {"seeds", addresses_.front().peers.to_string()},
      {"platform.address", store_address_.to_string()},
      {"platform.value_bytes", "1048576"},
      {"platform.ttl_min_ms", "1000"},
      {"bounds.lease_ms", std::to_string(k_lease_time.count())},
      {"bounds.drain_ms", "2000"},
      {"bounds.grace_s", "8"},
      {"bounds.status_interval_s", "120"}};
  return fill(read_file(options_.repository + "/deploy/gateway.toml"), fields);
}

void deployment::start_gateways() {
  for (std::uint32_t index = 0; index < options_.gateways; ++index) {
    addresses_.push_back({free_endpoint(), free_endpoint(), free_endpoint()});
  }
  for (std::uint32_t index = 0; index < options_.gateways; ++index) {
    std::string const name = folder_ + "/frontend-" + std::to_string(index);
    std::ofstream(name + ".toml") << settings_of(index);
    std::vector<std::string> const arguments = {"--config", name + ".toml"};
    processes_.push_back(std::make_unique<testing::child_process>(
        options_.repository + "/target/frostline-gateway", arguments, name + ".log"));
  }
  rpc::blocking_client client;
  for (gateway_addresses const& gateway : addresses_) {
    bool const ready = wait_until(k_start_timeout, [&] {
      auto const answer =
          client.exchange(gateway.readiness, http::make_get("/api/ready"), milliseconds(1000));
      return answer && answer.value().result() == http::status::ok;
    });
    if (!ready) throw std::runtime_error("a gateway is not ready");
  }
  record_.write("platform", std::to_string(options_.gateways) + " gateways are ready");
}

client_answer deployment::call(std::uint32_t gateway, http::verb method, std::string const& path,
                               std::string const& request, std::string const& body,
                               milliseconds deadline) {
  http::request message(method, path, 11);
  message.set(http::field::host, k_host);
  if (!request.empty()) message.set("X-Frostline-Request-Id", request);
  message.set("X-Frostline-Deadline-Ms", std::to_string(deadline.count()));
  message.set("X-Frostline-Model", k_model);
  message.set("X-Frostline-Token-Usage", "60,40");
  message.set("X-Frostline-Prompt-Prefix", "9c2e41:60");
  message.body() = body;
  message.prepare_payload();
  std::string const what = std::string(message.method_string()) + " " + path + " " + request +
                           " at frontend-" + std::to_string(gateway);
  record_.write("client", "sends " + what);
  asio::io_context context(1);
  http::beast::tcp_stream stream(context);
  endpoint const where = addresses_.at(gateway).clients;
  auto exchange = [&]() -> awaitable<client_answer> {
    stream.expires_after(deadline);
    tcp::endpoint const remote(asio::ip::make_address(where.address), where.port);
    auto [unconnected] = co_await stream.async_connect(remote, k_as_tuple);
    if (unconnected) co_return client_answer();
    auto [unsent, sent] = co_await http::bhttp::async_write(stream, message, k_as_tuple);
    if (unsent) co_return client_answer();
    http::beast::flat_buffer buffer;
    http::response answer;
    auto [failure, count] = co_await http::bhttp::async_read(stream, buffer, answer, k_as_tuple);
    if (failure) co_return client_answer();
    co_return client_answer{answer.result_int(), answer.body(),
                            std::string(http::header(answer, "X-Frostline-Server-Stamp")),
                            read_seconds(http::header(answer, "Retry-After"))};
  };
  client_answer const answer = rpc::run_blocking(context, exchange());
  std::string shown = answer.body.substr(0, k_shown_bytes);
  std::replace(shown.begin(), shown.end(), '\n', ' ');
  record_.write("client", what + " -> " + std::to_string(answer.status) + " " + shown);
  return answer;
}

client_answer deployment::submit(std::uint32_t gateway, std::string const& path,
                                 std::string const& job, std::vector<job_item> const& items,
                                 std::string const& scorer_path) {
  json::array list;
  std::set<std::string> groups;
  for (job_item const& item : items) {
    groups.insert(item.group);
    json::object entry{{"id", item.id},
                       {"path", path + item.id},
                       {"headers", json::object{{"X-Frostline-Model", k_model},
                                                {"X-Frostline-Token-Usage", "60,40"}}},
                       {"body", base64_encode("prompt of " + item.id)},
                       {"tokens", 100},
                       {"group", item.group}};
    if (!scorer_path.empty()) {
      entry["scorer"] = json::object{{"id", "score-" + item.id},
                                     {"host", k_host},
                                     {"path", scorer_path + item.id},
                                     {"body", base64_encode("score of " + item.id)}};
    }
    list.push_back(std::move(entry));
  }
  json::object const body{{"step", 0},
                          {"model", k_model},
                          {"min_version", 1},
                          {"desired", groups.size()},
                          {"requests", std::move(list)}};
  return call(gateway, http::verb::post, path + job, job, json::serialize(body),
              milliseconds(10'000));
}

std::optional<json::object> deployment::results(std::uint32_t gateway, std::string const& job,
                                                std::uint64_t after) {
  client_answer const answer =
      call(gateway, http::verb::get, "/api/lots/" + job + "?after_rev=" + std::to_string(after), "",
           "", milliseconds(2500));
  if (answer.status != 200) return std::nullopt;
  return parse_json_object(answer.body);
}

}  // namespace frostline::review
