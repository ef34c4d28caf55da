/// @file Stand-in of a model engine: OpenAI-style completions over server-sent events that carry
/// the weight version of their tokens, fenced load orders, and delayed load reports.
///
/// Extensions to the OpenAI API:
///   request:  `request_id`, `epoch`, `sample_index`, `resume_tokens`, `priority`,
///             `stream_interval` (number of tokens of one version per event)
///   event:    `frostline: {version, tokens}` in addition to `choices[0].text`
///   headers:  `Engine-Incarnation` in every response
/// `not_run: true` in a response with status 409, 429 or 503 means that the request did not run.

#include "http/client.h"
#include "standin/engine_group.h"
#include "standin/engine_model.h"
#include "standin/journal.h"
#include "standin/service.h"

namespace frostline::standin {
namespace {

namespace json = boost::json;

constexpr std::size_t k_max_reports = 256;

/// Generated tokens that a stream has not sent yet.
struct open_stream {
  explicit open_stream(asio::io_context& context) : changed(context) {}
  /// Returns true if an event can be sent: it has `interval` tokens, the version changed, or the
  /// sample ended.
  bool is_due() const {
    if (pending.empty()) return false;
    bool const complete = pending.front().finished || pending.front().tokens >= interval;
    return complete || pending.size() > 1;
  }

  std::deque<generated_tokens> pending;
  /// Number of tokens of one version per event.
  std::uint32_t interval = 1;
  async_condition changed;
  bool closed = false;
};

struct fault_settings {
  /// Number of next load orders that fail after fetching the weights.
  std::int64_t fail_loads = 0;
  /// Streams end without their last chunk after this number of events; 0 disables the fault.
  std::int64_t truncate_after = 0;
  /// No generation step runs before this time.
  time_point stalled_until = time_point::min();
  bool leaving = false;
};

struct load_report {
  time_point recorded_at;
  json::object body;
};

}  // namespace

class engine_server {
 public:
  engine_server(asio::io_context& context, options const& settings)
      : context_(context),
        settings_(settings),
        journal_(settings.journal_path),
        model_(settings.slots, settings.cache_tokens, 1),
        client_(context),
        work_available_(context),
        incarnation_(wall_clock_ms()) {}

  void start() {
    journal_.write("started", {{"engine", settings_.id}, {"incarnation", incarnation_}});
    spawn(context_, generate_loop());
    spawn(context_, report_loop());
  }

  http::handler request_handler() {
    return [this](http::request message) { return handle(std::move(message)); };
  }

  http::stream_handler completion_handler() {
    return [this](http::request const& message, http::stream_writer& writer) {
      return complete(message, writer);
    };
  }

 private:
  std::chrono::microseconds step_duration() const {
    return std::chrono::microseconds(settings_.step_us +
                                     settings_.step_us_per_sample * model_.running());
  }

  awaitable<void> generate_loop() {
    boot_timer timer(context_);
    time_point next = boot_clock::now();
    while (true) {
      if (model_.running() == 0 && model_.waiting() == 0) {
        co_await work_available_.wait();
        next = boot_clock::now();
      }
      next = std::max(next + step_duration(), boot_clock::now() - milliseconds(100));
      timer.expires_at(std::max(next, faults_.stalled_until));
      co_await timer.async_wait(k_as_tuple);
      for (generated_tokens& piece : model_.step()) deliver(std::move(piece));
    }
  }

  void deliver(generated_tokens piece) {
    auto const found = streams_.find(piece.id);
    if (found == streams_.end()) return;
    open_stream& stream = *found->second;
    bool const same_run = !stream.pending.empty() && !stream.pending.back().finished &&
                          stream.pending.back().version == piece.version;
    if (same_run) {
      generated_tokens& last = stream.pending.back();
      last.text += piece.text;
      last.tokens += piece.tokens;
      last.finished = piece.finished;
    } else {
      stream.pending.push_back(std::move(piece));
    }
    stream.changed.notify_all();
  }

  json::object current_load() const {
    json::array models;
    for (auto const& [name, version] : model_.versions()) {
      models.push_back(json::object{{"model", name}, {"version", version}});
    }
    return {{"engine", settings_.id},      {"incarnation", incarnation_},
            {"running", model_.running()}, {"waiting", model_.waiting()},
            {"slots", model_.slots()},     {"epoch", model_.epoch()},
            {"leaving", faults_.leaving},  {"models", std::move(models)}};
  }

  awaitable<void> report_loop() {
    while (true) {
      reports_.push_back({boot_clock::now(), current_load()});
      if (reports_.size() > k_max_reports) reports_.pop_front();
      co_await wait_for(milliseconds(settings_.report_interval_ms));
    }
  }

  /// Returns the newest report that is at least `report_lag_ms` old.
  http::response load_response() const {
    time_point const cutoff = boot_clock::now() - milliseconds(settings_.report_lag_ms);
    load_report const* selected = &reports_.front();
    for (load_report const& report : reports_) {
      if (report.recorded_at <= cutoff) selected = &report;
    }
    return answer(http::status::ok, selected->body);
  }

  http::response answer(http::status code, json::object const& body) const {
    http::response message = json_response(code, body);
    message.set("Engine-Incarnation", std::to_string(incarnation_));
    return message;
  }

  awaitable<http::response> handle(http::request message) {
    std::string const target(message.target());
    if (target == "/v1/load") co_return load_response();
    if (target == "/healthz") co_return answer(http::status::ok, {{"status", "ok"}});
    auto body = parse_json_object(message.body());
    if (!body) co_return answer(http::status::bad_request, {{"error", "body is not JSON"}});
    if (target == "/v1/orders/load") co_return co_await load_weights(*body);
    if (target == "/v1/cancel") co_return cancel(*body);
    if (target == "/v1/completions") co_return refuse_completion(*body);
    if (target == "/faults") co_return set_faults(*body);
    co_return answer(http::status::not_found, {{"error", "no such path"}});
  }

  http::response set_faults(json::object const& body) {
    faults_.fail_loads = json_number(body, "fail_loads", faults_.fail_loads);
    faults_.truncate_after = json_number(body, "truncate_after", faults_.truncate_after);
    faults_.leaving = json_flag(body, "leaving", faults_.leaving);
    auto const stall = json_number(body, "stall_ms", 0);
    if (stall > 0) faults_.stalled_until = boot_clock::now() + milliseconds(stall);
    return empty_ok();
  }

  http::response cancel(json::object const& body) {
    std::string const id = json_text(body, "request_id");
    bool const known = model_.cancel(id);
    auto const found = streams_.find(id);
    if (found != streams_.end()) {
      found->second->closed = true;
      found->second->changed.notify_all();
    }
    return answer(http::status::ok, {{"cancelled", known}});
  }

  awaitable<http::response> load_weights(json::object body) {
    auto const epoch = static_cast<std::uint64_t>(json_number(body, "epoch"));
    auto const version = static_cast<std::uint64_t>(json_number(body, "version"));
    std::string const model = json_text(body, "model");
    order_result const fence_result = model_.check_order(epoch, model, version);
    if (fence_result != order_result::accepted) {
      bool const stale = fence_result == order_result::stale_epoch;
      co_return answer(
          http::status::conflict,
          {{"error", stale ? "stale epoch" : "conflicting content"}, {"epoch", model_.epoch()}});
    }
    bool const fetched = co_await fetch_weights(json_text(body, "weights"));
    if (!fetched) co_return answer(http::status::bad_gateway, {{"error", "weights not fetched"}});
    co_await wait_for(milliseconds(settings_.load_ms));
    if (faults_.fail_loads > 0) {
      --faults_.fail_loads;
      co_return answer(http::status::internal_server_error, {{"error", "swap failed"}});
    }
    // A newer order may have arrived while the weights loaded, so check the epoch again.
    if (model_.check_order(epoch, model, version) != order_result::accepted) {
      co_return answer(http::status::conflict, {{"error", "overtaken by a newer order"}});
    }
    model_.set_version(model, version);
    journal_.write(
        "loaded",
        {{"engine", settings_.id}, {"model", model}, {"version", version}, {"epoch", epoch}});
    co_return answer(http::status::ok, {{"state", "ready"}, {"version", version}});
  }

  awaitable<bool> fetch_weights(std::string location) {
    if (location.empty()) co_return true;
    auto const slash = location.find('/');
    auto const address = parse_endpoint(location.substr(0, slash));
    if (!address || slash == std::string::npos) co_return false;
    auto message = http::make_get(location.substr(slash));
    auto fetched = co_await client_.exchange(*address, std::move(message), milliseconds(5000));
    co_return fetched&& fetched.value().result() == http::status::ok;
  }

  http::response refuse_completion(json::object const& body) const {
    if (!model_.has_model(json_text(body, "model"))) {
      return answer(http::status::service_unavailable,
                    {{"error", "model is not loaded"}, {"not_run", true}});
    }
    if (faults_.leaving) {
      return answer(http::status::service_unavailable, {{"error", "leaving"}, {"not_run", true}});
    }
    if (static_cast<std::uint64_t>(json_number(body, "epoch")) < model_.epoch()) {
      return answer(http::status::conflict, {{"error", "stale epoch"}, {"not_run", true}});
    }
    return answer(http::status::too_many_requests, {{"error", "queue full"}, {"not_run", true}});
  }

  bool accepts(json::object const& body) const {
    bool const current = static_cast<std::uint64_t>(json_number(body, "epoch")) >= model_.epoch();
    return current && !faults_.leaving && model_.has_model(json_text(body, "model"));
  }

  awaitable<bool> complete(http::request const& message, http::stream_writer& writer) {
    if (message.target() != "/v1/completions") co_return false;
    auto const body = parse_json_object(message.body());
    if (!body || !accepts(*body)) co_return false;
    generation_request request;
    request.id = json_text(*body, "request_id");
    request.model = json_text(*body, "model");
    request.prompt = json_text(*body, "prompt");
    request.sample_index = static_cast<std::uint32_t>(json_number(*body, "sample_index"));
    request.max_tokens = static_cast<std::uint32_t>(json_number(*body, "max_tokens", 256));
    request.priority = static_cast<std::int32_t>(json_number(*body, "priority"));
    request.resume_tokens = static_cast<std::uint32_t>(json_number(*body, "resume_tokens"));
    std::string const id = request.id;
    if (streams_.contains(id) || !model_.submit(std::move(request))) co_return false;
    auto stream = std::make_shared<open_stream>(context_);
    stream->interval = static_cast<std::uint32_t>(json_number(*body, "stream_interval", 1));
    streams_[id] = stream;
    work_available_.notify_all();
    journal_.write("admitted", {{"engine", settings_.id}, {"request", id}});
    co_await send_events(id, *stream, writer);
    model_.cancel(id);
    streams_.erase(id);
    co_return true;
  }

  awaitable<void> send_events(std::string id, open_stream& stream, http::stream_writer& writer) {
    http::response head = http::make_response(http::status::ok, {}, "text/event-stream");
    head.set("Engine-Incarnation", std::to_string(incarnation_));
    bool const begun = co_await writer.begin(std::move(head));
    if (!begun) co_return;
    std::int64_t sent_events = 0;
    while (true) {
      while (!stream.is_due() && !stream.closed) co_await stream.changed.wait();
      if (stream.closed || writer.peer_gone()) co_return;
      generated_tokens piece = std::move(stream.pending.front());
      stream.pending.pop_front();
      bool const sent = co_await writer.write(event_text(id, piece));
      if (!sent) co_return;
      journal_.write("generated", {{"engine", settings_.id},
                                   {"request", id},
                                   {"version", piece.version},
                                   {"tokens", piece.tokens},
                                   {"finished", piece.finished}});
      ++sent_events;
      if (faults_.truncate_after > 0 && sent_events >= faults_.truncate_after) co_return;
      if (!piece.finished) continue;
      bool const closed = co_await writer.write("data: [DONE]\n\n");
      if (closed) co_await writer.finish();
      co_return;
    }
  }

  static std::string event_text(std::string const& id, generated_tokens const& piece) {
    json::object choice{{"index", 0}, {"text", piece.text}, {"finish_reason", nullptr}};
    if (piece.finished) choice["finish_reason"] = "stop";
    json::object const event{{"id", id},
                             {"object", "text_completion"},
                             {"choices", json::array{std::move(choice)}},
                             {"frostline", {{"version", piece.version}, {"tokens", piece.tokens}}}};
    return "data: " + json::serialize(event) + "\n\n";
  }

  asio::io_context& context_;
  options settings_;
  journal journal_;
  engine_model model_;
  http::client client_;
  async_condition work_available_;
  std::uint64_t incarnation_;
  fault_settings faults_;
  std::deque<load_report> reports_;
  std::map<std::string, std::shared_ptr<open_stream>> streams_;
};

int run_engine(options const& settings) {
  asio::io_context context(1);
  engine_server engine(context, settings);
  engine.start();
  return serve(context, settings, engine.request_handler(), engine.completion_handler());
}

struct engine_group::member {
  member(asio::io_context& context, options const& settings)
      : engine(context, settings),
        listener(context, {}, engine.request_handler(), engine.completion_handler()) {}

  engine_server engine;
  http::server listener;
};

engine_group::engine_group() = default;

engine_group::~engine_group() = default;

std::uint16_t engine_group::add(asio::io_context& context, options const& settings) {
  auto added = std::make_unique<member>(context, settings);
  if (!added->listener.listen(settings.listen).empty()) return 0;
  added->engine.start();
  std::uint16_t const port = added->listener.port();
  members_.push_back(std::move(added));
  return port;
}

}  // namespace frostline::standin
