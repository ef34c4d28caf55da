/// @file Stand-ins of the machine list and of the weight store.
///
/// Machine list: `GET /v1/machines` returns `{"machines": [{id, kind, address, gossip, zone, state,
/// incarnation, slots}]}` as of `list_lag_ms` ago, with an ETag; `POST /v1/machines` adds or
/// replaces one machine.

#include <deque>
#include <map>

#include "standin/service.h"

namespace frostline::standin {
namespace {

namespace json = boost::json;

constexpr std::size_t k_weight_bytes = 64 * 1024;

class machine_list_server {
 public:
  explicit machine_list_server(options const& settings) : settings_(settings) {
    snapshots_.push_back({0, boot_clock::now(), {}});
  }

  int run() {
    return serve(context_, settings_,
                 [this](http::request message) { return handle(std::move(message)); });
  }

 private:
  struct snapshot {
    std::uint64_t number = 0;
    time_point recorded_at;
    std::map<std::string, json::object> machines;
  };

  awaitable<http::response> handle(http::request message) {
    if (message.target() != "/v1/machines") {
      co_return json_response(http::status::not_found, {{"error", "no such path"}});
    }
    if (message.method() == http::verb::get) co_return list(message);
    auto const body = parse_json_object(message.body());
    std::string const id = body ? json_text(*body, "id") : std::string();
    if (id.empty()) co_return json_response(http::status::bad_request, {{"error", "no id"}});
    snapshot next = snapshots_.back();
    ++next.number;
    next.recorded_at = boot_clock::now();
    next.machines[id] = *body;
    snapshots_.push_back(std::move(next));
    co_return empty_ok();
  }

  http::response list(http::request const& message) {
    time_point const cutoff = boot_clock::now() - milliseconds(settings_.list_lag_ms);
    while (snapshots_.size() > 1 && snapshots_[1].recorded_at <= cutoff) snapshots_.pop_front();
    std::string const tag = "\"" + std::to_string(snapshots_.front().number) + "\"";
    if (http::header(message, "If-None-Match") == tag) {
      return http::make_response(http::status::not_modified, {}, http::k_json);
    }
    json::array machines;
    for (auto const& [id, machine] : snapshots_.front().machines) machines.push_back(machine);
    auto answer = json_response(http::status::ok, {{"machines", std::move(machines)}});
    answer.set(http::field::etag, tag);
    return answer;
  }

  asio::io_context context_;
  options settings_;
  std::deque<snapshot> snapshots_;
};

class weight_store_server {
 public:
  explicit weight_store_server(options const& settings)
      : settings_(settings), limiter_(settings.rate_limit) {}

  int run() {
    return serve(context_, settings_, [this](http::request) { return fetch(); });
  }

 private:
  awaitable<http::response> fetch() {
    if (!limiter_.allow(boot_clock::now())) {
      auto refusal = json_response(http::status::too_many_requests, {{"error", "rate limit"}});
      refusal.set(http::field::retry_after, "1");
      co_return refusal;
    }
    co_return http::make_response(http::status::ok, std::string(k_weight_bytes, 'w'),
                                  "application/octet-stream");
  }

  asio::io_context context_;
  options settings_;
  rate_limiter limiter_;
};

}  // namespace

int run_machines(options const& settings) { return machine_list_server(settings).run(); }

int run_weights(options const& settings) { return weight_store_server(settings).run(); }

}  // namespace frostline::standin
