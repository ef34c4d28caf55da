#include "server.h"

#include <charconv>
#include <stdexcept>

#include "http/json_fields.h"

namespace frostline::review {
namespace {

namespace json = boost::json;

constexpr char k_request_id[] = "X-Frostline-Request-Id";
constexpr char k_stamp[] = "X-Frostline-Server-Stamp";
constexpr char k_versions[] = "X-Frostline-Weight-Versions";
constexpr char k_version_line[] = "x-frostline-weight-versions: ";
constexpr milliseconds k_poll{10};
constexpr std::size_t k_failure_bytes = 400;

bool is_control(std::string_view target) {
  return target.starts_with("/api/") || target == "/health";
}

std::uint64_t to_number(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string id_of(http::request const& message) {
  return std::string(http::header(message, k_request_id));
}

void sign(http::response& answer, std::string const& request, std::string const& server) {
  answer.set(k_request_id, request);
  answer.set(k_stamp, "stamp." + server + "." + request);
}

}  // namespace

server::server(asio::io_context& context, server_options options, record& log)
    : context_(context),
      options_(std::move(options)),
      record_(log),
      server_(
          context, http::server_limits(),
          [this](http::request message) { return answer(std::move(message)); },
          [this](http::request const& message, http::stream_writer& writer) {
            return stream(message, writer);
          }) {
  std::string const failure = server_.listen(options_.address);
  if (!failure.empty()) throw std::runtime_error(failure);
}

std::string server::description() const {
  json::object body;
  body["service"] = options_.service;
  body["address"] = options_.address.to_string();
  body["zone"] = options_.zone;
  body["version"] = "v1";
  body["slots"] = options_.slots;
  body["state"] = "ready";
  body["cold_left_ms"] = 0;
  body["sequence"] = sequence_;
  if (!options_.model.empty()) {
    body["stage"] = "hybrid";
    body["models"] = json::array{
        json::object{{"name", options_.model}, {"version", version_}, {"adapters", json::array()}}};
  }
  return json::serialize(body);
}

void server::crash(milliseconds down_time) {
  if (down_) return;
  record_.write(id(), "crashes");
  down_ = true;
  ++cut_;
  ++incarnation_;
  busy_ = false;
  sequence_ = 0;
  server_.abort();
  spawn(context_, start_again(down_time));
}

awaitable<void> server::start_again(milliseconds down_time) {
  co_await wait_for(down_time);
  std::string const failure = server_.listen(options_.address);
  if (!failure.empty()) throw std::runtime_error(failure);
  down_ = false;
  record_.write(id(), "has started");
  if (on_change_) on_change_();
}

void server::fail_requests(std::uint32_t each, bool broken_off) {
  fail_each_ = each;
  breaks_failures_ = broken_off;
}

http::status server::admission(http::request const& message) const {
  std::string_view const expected = http::header(message, "X-Frostline-Expect-Instance");
  if (!expected.empty() && expected != id()) return http::status::misdirected_request;
  // Until an order is done, requests that have not begun are turned away.
  if (busy_ || running_ >= options_.slots) return http::status::service_unavailable;
  return http::status::ok;
}

http::response server::refusal(http::request const& message, http::status code) {
  http::response refused = http::make_response(code, "", "text/plain");
  refused.set("X-Frostline-Not-Executed", "1");
  refused.set(k_request_id, id_of(message));
  record_.write(id(),
                "turns away " + id_of(message) + " with " + std::to_string(refused.result_int()));
  return refused;
}

std::size_t server::begin_run(http::request const& message) {
  runs_.push_back({id_of(message), record_.now(), 200, std::nullopt, false});
  record_.write(id(), "runs " + id_of(message) + " " + std::string(message.target()) +
                          " after event " + std::string(http::header(message, "Last-Event-Id")));
  return runs_.size() - 1;
}

awaitable<http::response> server::answer(http::request message) {
  std::string const target(message.target());
  if (target == "/api/report") co_return report();
  if (target == "/api/order") co_return take_order(message.body());
  if (is_control(target)) {
    auto healthy = http::make_response(http::status::ok, "", "text/plain");
    healthy.set("X-Frostline-Instance-Id", id());
    co_return healthy;
  }
  http::status const code = admission(message);
  if (code != http::status::ok) co_return refusal(message, code);
  std::size_t const number = begin_run(message);
  std::string const request = id_of(message);
  co_await wait_for(options_.event_gap);
  runs_[number].ended_ms = record_.now();
  runs_[number].finished = true;
  http::response whole =
      http::make_response(http::status::ok, "answer to " + request, "text/plain");
  sign(whole, request, id());
  co_return whole;
}

awaitable<bool> server::stream(http::request const& message, http::stream_writer& writer) {
  bool const plain = options_.model.empty() || is_control(std::string_view(message.target())) ||
                     admission(message) != http::status::ok;
  if (plain) co_return false;
  std::size_t const number = begin_run(message);
  if (fail_each_ > 0 && runs_.size() % fail_each_ == 0) {
    runs_[number].status = 500;
    co_await fail(message, writer);
    runs_[number].ended_ms = record_.now();
    co_return true;
  }
  http::response head = http::make_response(http::status::ok, "", "text/event-stream");
  sign(head, runs_[number].request, id());
  head.set(k_versions, std::to_string(version_));
  ++running_;
  auto const running = requests_.insert(runs_[number].request);
  bool const begun = co_await writer.begin(std::move(head));
  if (begun) {
    runs_[number].finished =
        co_await write_events(writer, number, to_number(http::header(message, "Last-Event-Id")));
  }
  runs_[number].ended_ms = record_.now();
  --running_;
  requests_.erase(running);
  co_return true;
}

awaitable<bool> server::fail(http::request const& message, http::stream_writer& writer) {
  co_await wait_for(options_.event_gap);
  record_.write(id(), "answers " + id_of(message) + " with its own 500" +
                          (breaks_failures_ ? ", broken off" : ", whole"));
  http::response head = http::make_response(http::status::internal_server_error, "", "text/plain");
  sign(head, id_of(message), id());
  bool const begun = co_await writer.begin(std::move(head));
  if (begun) co_await writer.write(std::string(k_failure_bytes, 'f'));
  if (begun && !breaks_failures_) co_await writer.finish();
  co_return true;
}

awaitable<bool> server::write_events(http::stream_writer& writer, std::size_t number,
                                     std::uint64_t after) {
  std::uint64_t announced = version_;
  std::uint64_t const cut = cut_;
  std::string const request = runs_[number].request;
  for (std::uint64_t id = after + 1; id <= options_.events; ++id) {
    co_await wait_for(options_.event_gap);
    if (cut != cut_ || writer.peer_gone()) co_return false;
    std::string event;
    if (announced != version_) event += k_version_line + std::to_string(version_) + "\n";
    announced = version_;
    event += "id: " + std::to_string(id) + "\ndata: " + request + "." + std::to_string(id) + "\n\n";
    if (!co_await writer.write(std::move(event))) co_return false;
  }
  co_await writer.finish();
  record_.write(id(), "finishes " + request);
  co_return true;
}

http::response server::report() const {
  json::object body;
  body["stage"] = "hybrid";
  body["models"] = json::array{
      json::object{{"name", options_.model}, {"version", version_}, {"adapters", json::array()}}};
  body["busy"] = busy_;
  body["sequence"] = sequence_;
  body["waiting"] = 0;
  body["running"] = running_;
  return json_response(http::status::ok, body);
}

http::response server::take_order(std::string const& text) {
  auto const body = parse_json_object(text);
  if (!body) return http::make_response(http::status::bad_request, "", "text/plain");
  order taken{record_.now(), json_text(*body, "holder"), json_unsigned(*body, "fence").value_or(0)};
  orders_.push_back(taken);
  std::uint64_t const version = json_unsigned(*body, "version").value_or(0);
  std::string const mode = json_text(*body, "mode");
  auto const expected = json_unsigned(*body, "expected");
  http::status code = http::status::accepted;
  if (busy_ || (expected && *expected != sequence_)) code = http::status::conflict;
  if (version == version_ && !busy_) code = http::status::ok;
  record_.write(id(), "order from " + taken.holder + ", fence " + std::to_string(taken.fence) +
                          ": version " + std::to_string(version) + ", " + mode + ", answered " +
                          std::to_string(static_cast<unsigned>(code)));
  if (code == http::status::accepted) {
    ++sequence_;
    busy_ = true;
    load_mode chosen = load_mode::suspend;
    if (mode == "truncate") chosen = load_mode::truncate;
    if (mode == "retain") chosen = load_mode::retain;
    spawn(context_, load(version, chosen));
  }
  return http::make_response(code, "", "text/plain");
}

awaitable<void> server::load(std::uint64_t version, load_mode mode) {
  std::uint32_t const incarnation = incarnation_;
  if (mode == load_mode::truncate) ++cut_;
  while (mode == load_mode::suspend && running_ > 0) co_await wait_for(k_poll);
  co_await wait_for(options_.load_time);
  if (incarnation != incarnation_) co_return;
  version_ = version;
  busy_ = false;
  record_.write(id(), "has version " + std::to_string(version));
  if (on_change_) on_change_();
}

}  // namespace frostline::review
