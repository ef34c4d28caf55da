#include "engines/engine_client.h"

#include "http/json_fields.h"

namespace frostline::engines {
namespace {

namespace json = boost::json;

constexpr milliseconds k_report_timeout{1000};
constexpr milliseconds k_cancel_timeout{1000};
constexpr milliseconds k_load_timeout{20'000};
/// Time without data after which a stream is considered broken.
constexpr milliseconds k_stream_idle_timeout{15'000};
/// Tokens per stream event. Processing cost grows with the number of events, but tokens that an
/// engine has not sent when it fails are generated again.
constexpr std::uint32_t k_stream_interval = 16;
constexpr std::string_view k_stream_end = "[DONE]";
/// Limit of the size of an event, to bound the memory that a faulty engine can take up.
constexpr std::size_t k_max_event_bytes = 1024 * 1024;

std::uint32_t json_uint32(json::object const& object, std::string_view key) {
  return static_cast<std::uint32_t>(json_number(object, key));
}

std::string completion_body(completion_request const& request) {
  json::object const body{{"request_id", request.id},
                          {"model", request.model},
                          {"prompt", request.prompt},
                          {"sample_index", request.sample_index},
                          {"max_tokens", request.max_tokens},
                          {"priority", request.priority},
                          {"resume_tokens", request.resume_tokens},
                          {"epoch", request.epoch},
                          {"stream_interval", k_stream_interval},
                          {"stream", true}};
  return json::serialize(body);
}

completion_outcome from_refusal(http::response const& answer) {
  auto const body = parse_json_object(answer.body());
  std::string const detail = body ? json_text(*body, "error") : std::string("no reason given");
  if (body && json_flag(*body, "not_run")) return {completion_end::refused, detail};
  if (answer.result() == http::status::bad_request) return {completion_end::rejected, detail};
  return {completion_end::interrupted, detail};
}

}  // namespace

std::optional<load_report> parse_load_report(std::string const& text) {
  auto const body = parse_json_object(text);
  if (!body) return std::nullopt;
  load_report report;
  report.incarnation = static_cast<std::uint64_t>(json_number(*body, "incarnation"));
  report.running = json_uint32(*body, "running");
  report.waiting = json_uint32(*body, "waiting");
  report.slots = json_uint32(*body, "slots");
  report.leaving = json_flag(*body, "leaving");
  auto const* models = body->if_contains("models");
  if (models == nullptr || !models->is_array()) return report;
  for (json::value const& item : models->as_array()) {
    if (!item.is_object()) continue;
    std::string const name = json_text(item.as_object(), "model");
    report.versions[name] = static_cast<std::uint64_t>(json_number(item.as_object(), "version"));
  }
  return report;
}

awaitable<std::optional<load_report>> engine_client::fetch_load() {
  auto message = http::make_get("/v1/load");
  auto answer = co_await transport_.exchange(endpoint_, std::move(message), k_report_timeout);
  if (!answer || answer.value().result() != http::status::ok) co_return std::nullopt;
  co_return parse_load_report(answer.value().body());
}

awaitable<completion_outcome> engine_client::complete(
    completion_request request, std::function<bool(token_event const&)> on_tokens) {
  sse_parser parser;
  bool finished = false;
  bool ended = false;
  std::string failure;
  time_point last_event_at = boot_clock::now();
  auto sink = [&](std::string_view piece) {
    auto const payloads = parser.feed(piece);
    time_point const now = boot_clock::now();
    if (!payloads.empty()) last_event_at = now;
    // Bytes without an event don't count as progress.
    bool const idle = now > last_event_at + k_stream_idle_timeout;
    if (idle || parser.pending() > k_max_event_bytes) {
      failure = idle ? "no event in time" : "event is over the size limit";
      return false;
    }
    for (std::string const& payload : payloads) {
      if (payload == k_stream_end) {
        ended = true;
        continue;
      }
      auto const event = parse_token_event(payload);
      if (!event) {
        failure = "malformed event";
        return false;
      }
      finished = event->finished;
      if (!on_tokens(*event)) {
        failure = "given up";
        return false;
      }
    }
    return true;
  };
  auto message = http::make_post("/v1/completions", completion_body(request), http::k_json);
  auto answer =
      co_await transport_.stream(endpoint_, std::move(message), k_stream_idle_timeout, sink);
  if (!answer) {
    // The request was not sent if the connection failed.
    bool const unreached = answer.error() == http::errc::connect_failed;
    completion_outcome outcome;
    outcome.end = unreached ? completion_end::refused : completion_end::interrupted;
    outcome.detail = failure.empty() ? answer.error().message() : failure;
    co_return outcome;
  }
  if (answer.value().result() != http::status::ok) co_return from_refusal(answer.value());
  bool const whole = ended && finished && parser.pending() == 0;
  completion_outcome outcome;
  outcome.end = whole ? completion_end::finished : completion_end::interrupted;
  outcome.detail = whole ? "" : "stream ended without its end marker";
  co_return outcome;
}

awaitable<void> engine_client::cancel(std::string request_id) {
  json::object const body{{"request_id", request_id}};
  auto message = http::make_post("/v1/cancel", json::serialize(body), http::k_json);
  co_await transport_.exchange(endpoint_, std::move(message), k_cancel_timeout);
}

awaitable<order_outcome> engine_client::load(load_order order, std::string& detail) {
  json::object const body{{"model", order.model},
                          {"version", order.version},
                          {"weights", order.weights},
                          {"epoch", order.epoch}};
  auto message = http::make_post("/v1/orders/load", json::serialize(body), http::k_json);
  auto answer = co_await transport_.exchange(endpoint_, std::move(message), k_load_timeout);
  if (!answer) {
    detail = answer.error().message();
    co_return order_outcome::failed;
  }
  if (answer.value().result() == http::status::ok) co_return order_outcome::done;
  auto const refusal = parse_json_object(answer.value().body());
  detail = refusal ? json_text(*refusal, "error") : "no reason given";
  bool const fenced = answer.value().result() == http::status::conflict;
  co_return fenced ? order_outcome::fenced : order_outcome::failed;
}

}  // namespace frostline::engines
