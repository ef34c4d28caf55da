#include "server_standin.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

#include "http/json_fields.h"

namespace frostline::testing {
namespace {

namespace json = boost::json;

constexpr char k_id[] = "X-Frostline-Request-Id";
constexpr char k_stamp[] = "X-Frostline-Server-Stamp";
constexpr char k_versions[] = "X-Frostline-Weight-Versions";

constexpr char k_load[] = "X-Frostline-Server-Load";
constexpr char k_health_path[] = "/healthz";

/// Returns true for paths that are not the gateway's requests.
bool is_control(std::string_view target) {
  return target.starts_with("/api/") || target == k_health_path;
}

/// Counts a running request while it exists, also if the connection is closed meanwhile. Shares the
/// counter, since suspended requests are destroyed with the io_context, after their server.
class running_request {
 public:
  explicit running_request(std::shared_ptr<std::uint32_t> count) : count_(std::move(count)) {
    ++*count_;
  }
  ~running_request() { --*count_; }
  running_request(running_request const&) = delete;
  running_request& operator=(running_request const&) = delete;

 private:
  std::shared_ptr<std::uint32_t> count_;
};

void set(http::response& answer, char const* name, std::string const& value) {
  answer.set(name, value);
}

}  // namespace

server_standin::server_standin(asio::io_context& context, server_options options)
    : context_(context),
      options_(std::move(options)),
      server_(
          context, http::server_limits(),
          [this](http::request message) { return handle(std::move(message)); },
          [this](http::request const& message, http::stream_writer& writer) {
            return stream(message, writer);
          }) {
  std::string const failure = server_.listen(options_.address);
  if (!failure.empty()) throw std::runtime_error(failure);
}

std::string server_standin::record(std::string const& state) const {
  json::object body;
  body["service"] = options_.service;
  body["address"] = options_.address.to_string();
  body["zone"] = options_.zone;
  body["version"] = "v1";
  body["slots"] = options_.slots;
  body["state"] = state;
  body["cold_left_ms"] = 0;
  body["sequence"] = sequence_;
  body["born"] = born_;
  if (!options_.model.empty()) {
    json::object model;
    model["name"] = options_.model;
    model["version"] = version_;
    json::array models;
    models.push_back(std::move(model));
    body["models"] = std::move(models);
  }
  return json::serialize(body);
}

void server_standin::restart(std::string const& id) {
  options_.id = id;
  sequence_ = 0;
  busy_ = false;
  born_ = std::max(wall_clock_ms(), born_ + 1);
}

arrival server_standin::note(http::request const& message) {
  arrival entry;
  entry.at = boot_clock::now();
  entry.server = options_.id + "/" + std::to_string(crashes_);
  entry.request = std::string(http::header(message, k_id));
  entry.path = std::string(message.target());
  entry.body = message.body();
  entry.expected_instance = std::string(http::header(message, "X-Frostline-Expect-Instance"));
  entry.last_event = std::string(http::header(message, "Last-Event-Id"));
  entry.deadline = std::string(http::header(message, "X-Frostline-Deadline-Ms"));
  auto const [first, last] = message.equal_range("X-Frostline-Tenant");
  for (auto field = first; field != last; ++field) {
    if (!entry.tenant.empty()) entry.tenant += ',';
    entry.tenant += std::string(field->value());
  }
  entry.authorization = std::string(http::header(message, "Authorization"));
  return entry;
}

bool server_standin::refuses(http::request const& message) const {
  std::string_view const expected = http::header(message, "X-Frostline-Expect-Instance");
  return faults_.full || busy_ || (!expected.empty() && expected != options_.id);
}

void server_standin::add_load(http::response& answer) {
  server_load load;
  load.running = std::min(*running_, options_.slots);
  load.waiting = *running_ - load.running;
  load.slots = options_.slots;
  load.percent = static_cast<std::uint32_t>(
      100 * uneven_server::work_factor(faults_.uneven, boot_clock::now()));
  auto const value = uneven_.report(faults_.uneven, load);
  if (value) set(answer, k_load, *value);
  if (!faults_.load_report.empty()) set(answer, k_load, faults_.load_report);
}

http::response server_standin::refusal(http::request const& message) {
  std::string_view const expected = http::header(message, "X-Frostline-Expect-Instance");
  bool const misdirected = !expected.empty() && expected != options_.id;
  auto const code =
      misdirected ? http::status::misdirected_request : http::status::service_unavailable;
  http::response answer = http::make_response(code, "", "text/plain");
  set(answer, "X-Frostline-Not-Executed", "1");
  set(answer, k_id, std::string(http::header(message, k_id)));
  add_load(answer);
  return answer;
}

http::response server_standin::report() {
  json::object model;
  model["name"] = options_.model;
  model["version"] = version_;
  json::array models;
  models.push_back(std::move(model));
  json::object body;
  body["models"] = std::move(models);
  body["busy"] = busy_;
  body["sequence"] = sequence_;
  body["born"] = born_;
  http::response answer = json_response(http::status::ok, body);
  add_load(answer);
  return answer;
}

bool server_standin::is_poison(http::request const& message) const {
  std::string const& text = faults_.crash_text;
  bool const always = !text.empty() && message.body().find(text) != std::string::npos;
  return always || find_budget(message) != nullptr;
}

crash_budget const* server_standin::find_budget(http::request const& message) const {
  for (crash_budget const& budget : faults_.crash_budgets) {
    bool const applies = message.body().find(budget.text) != std::string::npos;
    if (applies && *budget.crashes_left > 0) return &budget;
  }
  return nullptr;
}

void server_standin::crash() {
  if (down_) return;
  down_ = true;
  ++crashes_;
  server_.abort();
  spawn(context_, start_next_incarnation(faults_.down_time));
}

awaitable<void> server_standin::crash_under(http::request const& message) {
  arrival entry = note(message);
  entry.ran = true;
  entry.crashed = true;
  arrivals_.push_back(entry);
  crash_budget const* const found = find_budget(message);
  std::shared_ptr<std::uint32_t> const crashes_left = found ? found->crashes_left : nullptr;
  std::uint32_t const incarnation = crashes_;
  co_await wait_for(faults_.crash_after);
  if (incarnation != crashes_) co_return;
  // Runs at other servers may have used up the budget meanwhile.
  if (crashes_left && *crashes_left == 0) co_return;
  if (crashes_left) --*crashes_left;
  crash();
}

awaitable<void> server_standin::start_next_incarnation(milliseconds pause) {
  co_await wait_for(pause);
  std::string const previous_id = options_.id;
  std::string const next =
      previous_id.substr(0, previous_id.rfind('.') + 1) + std::to_string(crashes_ + 1);
  restart(options_.keeps_id ? previous_id : next);
  std::string const failure = server_.listen(options_.address);
  if (!failure.empty()) throw std::runtime_error(failure);
  down_ = false;
  if (on_restart_) on_restart_(previous_id);
}

awaitable<http::response> server_standin::handle(http::request message) {
  std::string const target(message.target());
  bool const is_request = !is_control(target);
  arrival entry = note(message);
  bool const refused = refuses(message);
  entry.ran = !refused;
  // A silent server still records that the request arrived.
  if (is_request) arrivals_.push_back(entry);
  if (faults_.silent) {
    if (target == "/api/order") note_order(message.body());
    co_await wait_for(k_silence);
    co_return http::make_response(http::status::service_unavailable, "", "text/plain");
  }
  if (target == "/api/report") co_return report();
  if (target == "/api/order") co_return co_await order(message.body());
  if (target == k_health_path) {
    http::response healthy = http::make_response(http::status::ok, "", "text/plain");
    add_load(healthy);
    co_return healthy;
  }
  if (refused) co_return refusal(message);
  co_return co_await run(entry.request);
}

awaitable<http::response> server_standin::run(std::string request) {
  running_request const running(running_);
  double const factor = uneven_server::work_factor(faults_.uneven, boot_clock::now());
  co_await wait_for(std::chrono::duration_cast<milliseconds>(faults_.work_time * factor));
  bool const counted = faults_.failures > 0;
  if (counted) --faults_.failures;
  bool const fails = counted || uneven_.fails(faults_.uneven, request, boot_clock::now());
  auto const code = fails ? static_cast<http::status>(faults_.failure_status) : http::status::ok;
  std::string body = "answer to " + request + " of " + options_.id;
  bool const is_large = !faults_.large_prefix.empty() && request.starts_with(faults_.large_prefix);
  if (is_large) body.resize(std::max(body.size(), faults_.large_bytes), ' ');
  http::response answer = http::make_response(code, std::move(body), "text/plain");
  set(answer, k_id, request);
  set(answer, k_stamp, "stamp-" + request);
  add_load(answer);
  co_return answer;
}

awaitable<void> server_standin::cut_answer(http::request const& message,
                                           http::stream_writer& writer) {
  --faults_.cuts;
  arrival entry = note(message);
  entry.ran = true;
  arrivals_.push_back(entry);
  // Alternates between no answer and a partial one.
  if (faults_.cuts % 2 == 0) co_return;
  http::response head = http::make_response(http::status::ok, "", "text/plain");
  set(head, k_id, entry.request);
  set(head, k_stamp, "stamp-" + entry.request);
  if (co_await writer.begin(std::move(head))) co_await writer.write("answer to ");
}

awaitable<void> server_standin::cut_failure(http::request const& message,
                                            http::stream_writer& writer) {
  --faults_.failures;
  arrival entry = note(message);
  entry.ran = true;
  arrivals_.push_back(entry);
  auto const code = static_cast<http::status>(faults_.failure_status);
  http::response head = http::make_response(code, "", "text/plain");
  set(head, k_id, entry.request);
  set(head, k_stamp, "stamp-" + entry.request);
  if (co_await writer.begin(std::move(head))) co_await writer.write("failure of ");
}

awaitable<bool> server_standin::stream(http::request const& message, http::stream_writer& writer) {
  std::string const target(message.target());
  bool const cuts_failure = faults_.cuts_failures && faults_.failures > 0 && !faults_.silent &&
                            !is_control(target) && !refuses(message);
  if (cuts_failure) {
    co_await cut_failure(message, writer);
    co_return true;
  }
  bool const cuts = faults_.cuts > 0 && !faults_.silent && !is_control(target) && !refuses(message);
  if (cuts) {
    co_await cut_answer(message, writer);
    co_return true;
  }
  if (is_poison(message) && !is_control(target) && !refuses(message)) {
    co_await crash_under(message);
    co_return true;
  }
  bool const plain = options_.model.empty() || is_control(target) || refuses(message) ||
                     faults_.failures > 0 || faults_.silent;
  if (plain) co_return false;
  arrival entry = note(message);
  entry.ran = true;
  arrivals_.push_back(entry);
  std::uint64_t from = 0;
  if (!entry.last_event.empty()) {
    std::from_chars(entry.last_event.data(), entry.last_event.data() + entry.last_event.size(),
                    from);
    ++from;
  }
  http::response head = http::make_response(http::status::ok, "", "text/event-stream");
  set(head, k_id, entry.request);
  set(head, k_stamp, "stamp-" + entry.request);
  set(head, k_versions, std::to_string(version_));
  add_load(head);
  if (!co_await writer.begin(std::move(head))) co_return true;
  co_return co_await write_events(writer, entry.request, from);
}

awaitable<bool> server_standin::write_events(http::stream_writer& writer, std::string request,
                                             std::uint64_t from) {
  running_request const running(running_);
  std::uint64_t announced_version = version_;
  std::uint32_t written = 0;
  for (std::uint64_t id = from; id < options_.events; ++id) {
    if (faults_.breaks > 0 && written >= faults_.break_after) {
      --faults_.breaks;
      co_await writer.write("id: " + std::to_string(id) + "\nda");
      co_return true;
    }
    double const factor = uneven_server::work_factor(faults_.uneven, boot_clock::now());
    co_await wait_for(std::chrono::duration_cast<milliseconds>(options_.event_gap * factor));
    std::string event;
    if (announced_version != version_) {
      announced_version = version_;
      event += "x-frostline-weight-versions: " + std::to_string(announced_version) + "\n";
    }
    event += "id: " + std::to_string(id) + "\ndata: " + request + "." + std::to_string(id) + "\n\n";
    if (writer.peer_gone() || !co_await writer.write(std::move(event))) {
      ++abandoned_;
      co_return true;
    }
    ++written;
  }
  co_await writer.finish();
  co_return true;
}

}  // namespace frostline::testing
