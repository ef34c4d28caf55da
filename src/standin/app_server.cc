/// @file Stand-ins of an application server and of a scoring service.

#include "base/encoding.h"
#include "standin/journal.h"
#include "standin/service.h"

namespace frostline::standin {
namespace {

namespace json = boost::json;

struct fault_settings {
  std::int64_t delay_ms = 0;
  /// Number of next responses that are cut off in the middle of their body.
  std::int64_t truncate_answers = 0;
  /// Number of next requests that get status 503 and `Request-Not-Run: true`.
  std::int64_t refuse = 0;
  bool leaving = false;
};

class app_server {
 public:
  explicit app_server(options const& settings)
      : settings_(settings), journal_(settings.journal_path), incarnation_(wall_clock_ms()) {}

  int run() {
    journal_.write("started", {{"app", settings_.id}, {"incarnation", incarnation_}});
    auto on_request = [this](http::request message) { return handle(std::move(message)); };
    auto on_stream = [this](http::request const& message, http::stream_writer& writer) {
      return truncate(message, writer);
    };
    return serve(context_, settings_, on_request, on_stream);
  }

 private:
  static bool is_control(std::string_view target) {
    return target == "/faults" || target == "/healthz";
  }

  awaitable<http::response> handle(http::request message) {
    std::string const target(message.target());
    if (target == "/faults") co_return set_faults(message.body());
    if (target == "/healthz") co_return health();
    if (faults_.refuse > 0) {
      --faults_.refuse;
      http::response refusal =
          json_response(http::status::service_unavailable, {{"error", "refused"}});
      refusal.set("Request-Not-Run", "true");
      co_return refusal;
    }
    record(message);
    while (serving_ >= settings_.slots) co_await freed_.wait();
    ++serving_;
    co_await wait_for(milliseconds(settings_.service_ms + faults_.delay_ms));
    --serving_;
    freed_.notify_all();
    co_return answer(message);
  }

  void record(http::request const& message) {
    journal_.write("request", {{"app", settings_.id},
                               {"method", http::to_string_view(message.method_string())},
                               {"target", http::to_string_view(message.target())},
                               {"key", http::header(message, "Idempotency-Key")},
                               {"leaving", faults_.leaving}});
  }

  /// Echoes the request's identity, so that callers detect responses to other requests.
  http::response answer(http::request const& message) const {
    json::object body{{"server", settings_.id},
                      {"target", http::to_string_view(message.target())},
                      {"key", http::header(message, "Idempotency-Key")},
                      {"body_hash", hash_bytes(message.body())}};
    auto answer = json_response(http::status::ok, body);
    if (faults_.leaving) answer.set("Backend-Leaving", "true");
    return answer;
  }

  http::response health() const {
    http::status const code =
        faults_.leaving ? http::status::service_unavailable : http::status::ok;
    return json_response(code, {{"leaving", faults_.leaving}, {"incarnation", incarnation_}});
  }

  http::response set_faults(std::string const& text) {
    auto const body = parse_json_object(text);
    if (!body) return json_response(http::status::bad_request, {{"error", "body is not JSON"}});
    faults_.delay_ms = json_number(*body, "delay_ms", faults_.delay_ms);
    faults_.truncate_answers = json_number(*body, "truncate_answers", faults_.truncate_answers);
    faults_.refuse = json_number(*body, "refuse", faults_.refuse);
    faults_.leaving = json_flag(*body, "leaving", faults_.leaving);
    return empty_ok();
  }

  /// Injects a truncated response: half of the body, then a reset.
  awaitable<bool> truncate(http::request const& message, http::stream_writer& writer) {
    if (faults_.truncate_answers == 0 || is_control(http::to_string_view(message.target()))) {
      co_return false;
    }
    --faults_.truncate_answers;
    record(message);
    std::string const whole = answer(message).body();
    bool const begun =
        co_await writer.begin(http::make_response(http::status::ok, {}, http::k_json));
    if (begun) co_await writer.write(whole.substr(0, whole.size() / 2));
    co_return true;
  }

  asio::io_context context_;
  options settings_;
  journal journal_;
  std::uint64_t incarnation_;
  fault_settings faults_;
  async_condition freed_{context_};
  /// Requests being served, `slots` at most; others wait.
  std::uint32_t serving_ = 0;
};

class scorer_server {
 public:
  explicit scorer_server(options const& settings) : settings_(settings) {}

  int run() {
    return serve(context_, settings_,
                 [this](http::request message) { return handle(std::move(message)); });
  }

 private:
  awaitable<http::response> handle(http::request message) {
    if (message.target() == "/healthz") co_return empty_ok();
    auto const body = parse_json_object(message.body());
    if (!body) co_return json_response(http::status::bad_request, {{"error", "body is not JSON"}});
    co_await wait_for(milliseconds(settings_.service_ms));
    auto const bits = hash_bytes(json_text(*body, "text"));
    double const score = static_cast<double>(bits % 1000) / 1000;
    co_return json_response(http::status::ok, {{"score", score}});
  }

  asio::io_context context_;
  options settings_;
};

}  // namespace

int run_app(options const& settings) { return app_server(settings).run(); }

int run_scorer(options const& settings) { return scorer_server(settings).run(); }

}  // namespace frostline::standin
