#include "kv/client.h"

#include "kv/codec.h"

namespace frostline::kv {
namespace {

constexpr milliseconds k_operation_timeout{2000};
/// A watch stream that delivers nothing for this long, not even progress notifications, has failed.
constexpr milliseconds k_watch_idle_timeout{10'000};

std::error_code from_http(std::error_code error) {
  if (error == http::errc::connect_failed) return errc::unavailable;
  return errc::outcome_unknown;
}

std::optional<boost::json::object> parse_lease(std::string const& body) {
  boost::system::error_code failure;
  auto parsed = boost::json::parse(body, failure);
  if (failure || !parsed.is_object()) return std::nullopt;
  auto& object = parsed.as_object();
  auto* wrapped = object.if_contains("result");
  if (wrapped != nullptr && wrapped->is_object()) return wrapped->as_object();
  return object;
}

std::string lease_body(lease_id lease) {
  return boost::json::serialize(boost::json::object{{"ID", std::to_string(lease)}});
}

}  // namespace

void client::record_failure() {
  ++current_;
  breaker_.record_failure(boot_clock::now());
}

awaitable<result<std::string>> client::post(std::string target, std::string body) {
  // A blocked request was not sent, so it changed nothing.
  if (!breaker_.allow_request(boot_clock::now())) co_return std::error_code(errc::unavailable);
  ++operations_;
  auto message = http::make_post(target, std::move(body), http::k_json);
  auto answer = co_await transport_.exchange(server(), std::move(message), k_operation_timeout);
  if (!answer) {
    record_failure();
    co_return from_http(answer.error());
  }
  http::status const code = answer.value().result();
  if (code == http::status::too_many_requests) co_return std::error_code(errc::rate_limited);
  if (code == http::status::service_unavailable) {
    record_failure();
    co_return std::error_code(errc::unavailable);
  }
  breaker_.record_success();
  if (code != http::status::ok) co_return std::error_code(errc::malformed_answer);
  last_answer_ = boot_clock::now();
  co_return std::move(answer.value().body());
}

awaitable<result<range_answer>> client::range(std::string key, std::string range_end) {
  auto body = co_await post("/v3/kv/range", encode_range(key, range_end));
  if (!body) co_return body.error();
  auto decoded = decode_range(body.value());
  if (!decoded) co_return std::error_code(errc::malformed_answer);
  co_return std::move(*decoded);
}

awaitable<result<range_answer>> client::range_prefix(std::string prefix) {
  std::string end = prefix_end(prefix);
  co_return co_await range(std::move(prefix), std::move(end));
}

awaitable<result<transaction_answer>> client::apply(transaction change) {
  auto body = co_await post("/v3/kv/txn", encode_transaction(change));
  if (!body) co_return body.error();
  auto decoded = decode_transaction(body.value());
  if (!decoded) co_return std::error_code(errc::outcome_unknown);
  co_return std::move(*decoded);
}

awaitable<result<lease_id>> client::grant_lease(seconds time_to_live) {
  boost::json::object request{{"TTL", std::to_string(time_to_live.count())}};
  auto body = co_await post("/v3/lease/grant", boost::json::serialize(request));
  if (!body) co_return body.error();
  auto const object = parse_lease(body.value());
  lease_id const lease = object ? read_number(*object, "ID") : 0;
  if (lease == 0) co_return std::error_code(errc::malformed_answer);
  co_return lease;
}

awaitable<result<std::uint64_t>> client::keep_alive(lease_id lease) {
  auto body = co_await post("/v3/lease/keepalive", lease_body(lease));
  if (!body) co_return body.error();
  auto const object = parse_lease(body.value());
  std::uint64_t const remaining = object ? read_number(*object, "TTL") : 0;
  if (remaining == 0) co_return std::error_code(errc::lease_expired);
  co_return remaining;
}

awaitable<result<std::uint64_t>> client::revoke(lease_id lease) {
  auto body = co_await post("/v3/lease/revoke", lease_body(lease));
  if (!body) co_return body.error();
  co_return lease;
}

awaitable<std::error_code> client::watch(std::string prefix, revision start,
                                         std::function<bool(watch_batch const&)> sink) {
  ++operations_;
  auto message = http::make_post("/v3/watch", encode_watch(prefix, start), http::k_json);
  std::string pending;
  bool malformed = false;
  auto on_piece = [&](std::string_view piece) {
    last_answer_ = boot_clock::now();
    pending.append(piece);
    std::size_t line_end = pending.find('\n');
    while (line_end != std::string::npos) {
      auto batch = decode_watch(std::string_view(pending).substr(0, line_end));
      pending.erase(0, line_end + 1);
      malformed = !batch;
      if (malformed || !sink(*batch)) return false;
      line_end = pending.find('\n');
    }
    return true;
  };
  auto answer =
      co_await transport_.stream(server(), std::move(message), k_watch_idle_timeout, on_piece);
  if (malformed) co_return errc::malformed_answer;
  if (!answer) co_return from_http(answer.error());
  co_return errc::unavailable;
}

}  // namespace frostline::kv
