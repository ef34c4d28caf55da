/// @file Stand-in of the platform's key-value service: etcd v3's JSON form of range, put, txn,
/// lease and watch, with a rate limit, outages, slow answers, lost answers and stale reads.

#include "base/encoding.h"
#include "kv/codec.h"
#include "standin/journal.h"
#include "standin/kv_store.h"
#include "standin/service.h"

namespace frostline::standin {
namespace {

namespace json = boost::json;

constexpr milliseconds k_tick_interval{100};
constexpr milliseconds k_progress_interval{1000};

json::object header(kv::revision revision) { return {{"revision", std::to_string(revision)}}; }

/// Faults set by `POST /faults`; absent fields keep their values.
struct fault_settings {
  time_point outage_until = time_point::min();
  std::int64_t lose_answers = 0;
  std::int64_t delay_ms = 0;
  /// Transactions that write below this prefix are slow; empty selects all.
  std::string slow_prefix;
  /// Delay before slow transactions take effect.
  std::int64_t slow_ms = 0;
  /// Slow transactions take effect immediately but their responses are delayed by this.
  std::int64_t late_answer_ms = 0;
  /// Watches deliver no events before this time.
  time_point watches_paused_until = time_point::min();
  /// Range reads are served as of this revision; 0 disables the fault.
  kv::revision stale_revision = 0;
};

class kv_server {
 public:
  explicit kv_server(options const& settings)
      : settings_(settings),
        journal_(settings.journal_path),
        limiter_(settings.rate_limit),
        changed_(context_) {}

  int run() {
    spawn(context_, tick_loop());
    auto on_request = [this](http::request message) { return handle(std::move(message)); };
    auto on_stream = [this](http::request const& message, http::stream_writer& writer) {
      return watch(message, writer);
    };
    return serve(context_, settings_, on_request, on_stream);
  }

 private:
  bool in_outage() const { return boot_clock::now() < faults_.outage_until; }

  awaitable<void> tick_loop() {
    bool was_in_outage = false;
    time_point next_progress = boot_clock::now();
    while (true) {
      co_await wait_for(k_tick_interval);
      bool const outage = in_outage();
      if (was_in_outage && !outage) store_.extend_leases(boot_clock::now());
      was_in_outage = outage;
      kv::revision const before = store_.current_revision();
      if (!outage) store_.expire(boot_clock::now());
      bool const progress_due = boot_clock::now() >= next_progress;
      if (progress_due) next_progress = boot_clock::now() + k_progress_interval;
      if (progress_due || store_.current_revision() != before) changed_.notify_all();
    }
  }

  awaitable<http::response> handle(http::request message) {
    std::string const target(message.target());
    auto body = parse_json_object(message.body().empty() ? "{}" : message.body());
    if (!body) co_return json_response(http::status::bad_request, {{"error", "body is not JSON"}});
    if (target == "/faults") co_return set_faults(*body);
    if (target == "/stats") co_return stats();
    ++operations_;
    if (in_outage()) {
      co_return json_response(http::status::service_unavailable, {{"error", "unavailable"}});
    }
    if (!limiter_.allow(boot_clock::now())) {
      ++rate_limited_;
      co_return json_response(http::status::too_many_requests,
                              {{"code", 8}, {"error", "too many requests"}});
    }
    if (faults_.delay_ms > 0) co_await wait_for(milliseconds(faults_.delay_ms));
    if (target == "/v3/kv/range") co_return range(*body);
    if (target == "/v3/kv/put") co_return put(*body);
    if (target == "/v3/kv/txn") {
      kv::transaction const change = read_transaction(*body);
      co_await delay_slow_write(change);
      http::response answer = commit(change, true);
      bool const late = faults_.late_answer_ms > 0 && is_slow_write(change);
      if (late) ++slow_writes_;
      if (late) co_await wait_for(milliseconds(faults_.late_answer_ms));
      co_return answer;
    }
    if (target == "/v3/lease/grant") co_return grant(*body);
    if (target == "/v3/lease/keepalive") co_return keep_alive(*body);
    if (target == "/v3/lease/revoke") co_return revoke(*body);
    co_return json_response(http::status::not_found, {{"error", "no such method"}});
  }

  http::response set_faults(json::object const& body) {
    auto const outage = json_number(body, "outage_ms", -1);
    if (outage >= 0) faults_.outage_until = boot_clock::now() + milliseconds(outage);
    faults_.lose_answers = json_number(body, "lose_answers", faults_.lose_answers);
    faults_.delay_ms = json_number(body, "delay_ms", faults_.delay_ms);
    auto const hold = json_number(body, "hold_watches_ms", -1);
    if (hold >= 0) faults_.watches_paused_until = boot_clock::now() + milliseconds(hold);
    faults_.slow_prefix = json_text(body, "slow_prefix", faults_.slow_prefix);
    faults_.slow_ms = json_number(body, "slow_ms", faults_.slow_ms);
    faults_.late_answer_ms = json_number(body, "late_answer_ms", faults_.late_answer_ms);
    auto const stale = json_number(body, "stale_revision", -1);
    if (stale >= 0) faults_.stale_revision = static_cast<kv::revision>(stale);
    auto const rate = json_number(body, "rate_limit", -1);
    if (rate >= 0) limiter_.set_rate(static_cast<std::uint32_t>(rate));
    auto const compact = json_number(body, "compact_revision", -1);
    if (compact >= 0) store_.compact(static_cast<kv::revision>(compact));
    changed_.notify_all();
    return empty_ok();
  }

  http::response stats() const {
    return json_response(http::status::ok, {{"revision", store_.current_revision()},
                                            {"operations", operations_},
                                            {"limited", rate_limited_},
                                            {"slow_writes", slow_writes_}});
  }

  http::response range(json::object const& body) const {
    auto const answer = store_.range(kv::read_bytes(body, "key"), kv::read_bytes(body, "range_end"),
                                     faults_.stale_revision);
    json::array entries;
    for (auto const& entry : answer.entries) entries.push_back(kv::write_entry(entry));
    auto const count = std::to_string(entries.size());
    return json_response(
        http::status::ok,
        {{"header", header(answer.store_revision)}, {"kvs", std::move(entries)}, {"count", count}});
  }

  static kv::operation read_put(json::object const& body) {
    return {kv::operation_kind::put, kv::read_bytes(body, "key"), kv::read_bytes(body, "value"),
            kv::read_number(body, "lease")};
  }

  http::response put(json::object const& body) {
    kv::transaction change;
    change.on_success.push_back(read_put(body));
    return commit(change, false);
  }

  static json::array const& array_field(json::object const& body, std::string_view key) {
    static json::array const empty;
    auto const* found = body.if_contains(key);
    return found != nullptr && found->is_array() ? found->as_array() : empty;
  }

  static json::object const* object_field(json::value const& item, std::string_view key) {
    auto const* object = item.if_object();
    auto const* found = object == nullptr ? nullptr : object->if_contains(key);
    return found == nullptr ? nullptr : found->if_object();
  }

  bool is_slow_write(kv::transaction const& change) const {
    return std::any_of(change.on_success.begin(), change.on_success.end(),
                       [this](kv::operation const& operation) {
                         return operation.key.starts_with(faults_.slow_prefix);
                       });
  }

  awaitable<void> delay_slow_write(kv::transaction const& change) {
    if (faults_.slow_ms == 0 || !is_slow_write(change)) co_return;
    ++slow_writes_;
    co_await wait_for(milliseconds(faults_.slow_ms));
  }

  static kv::transaction read_transaction(json::object const& body) {
    kv::transaction change;
    for (json::value const& item : array_field(body, "compare")) {
      json::object const& condition = item.as_object();
      change.compares.push_back(
          {kv::read_bytes(condition, "key"), kv::read_number(condition, "mod_revision")});
    }
    for (json::value const& item : array_field(body, "success")) {
      if (auto const* put = object_field(item, "request_put")) {
        change.on_success.push_back(read_put(*put));
      } else if (auto const* removal = object_field(item, "request_delete_range")) {
        change.on_success.push_back(
            {kv::operation_kind::remove, kv::read_bytes(*removal, "key"), {}, 0});
      }
    }
    for (json::value const& item : array_field(body, "failure")) {
      if (auto const* read = object_field(item, "request_range")) {
        change.read_on_failure.push_back(kv::read_bytes(*read, "key"));
      }
    }
    return change;
  }

  http::response commit(kv::transaction const& change, bool may_lose_answer) {
    auto const answer = store_.apply(change);
    if (!answer) {
      return json_response(http::status::not_found, {{"error", "requested lease not found"}});
    }
    if (answer->succeeded) {
      for (auto const& operation : change.on_success) {
        journal_.write("write", {{"revision", answer->store_revision},
                                 {"key", operation.key},
                                 {"removed", operation.kind == kv::operation_kind::remove},
                                 {"value", base64_encode(operation.value)}});
      }
    }
    changed_.notify_all();
    if (may_lose_answer && answer->succeeded && faults_.lose_answers > 0) {
      --faults_.lose_answers;
      // The transaction is applied, but the caller gets a malformed response.
      return http::make_response(http::status::ok, "{", http::k_json);
    }
    json::array responses;
    for (auto const& entry : answer->read) {
      json::array const found{kv::write_entry(entry)};
      responses.push_back(json::object{{"response_range", json::object{{"kvs", found}}}});
    }
    return json_response(http::status::ok, {{"header", header(answer->store_revision)},
                                            {"succeeded", answer->succeeded},
                                            {"responses", std::move(responses)}});
  }

  http::response grant(json::object const& body) {
    seconds const time_to_live(kv::read_number(body, "TTL"));
    kv::lease_id const lease = store_.grant(time_to_live, boot_clock::now());
    return json_response(http::status::ok, {{"header", header(store_.current_revision())},
                                            {"ID", std::to_string(lease)},
                                            {"TTL", std::to_string(time_to_live.count())}});
  }

  http::response keep_alive(json::object const& body) {
    kv::lease_id const lease = kv::read_number(body, "ID");
    auto const remaining = store_.keep_alive(lease, boot_clock::now());
    json::object result;
    result["header"] = header(store_.current_revision());
    result["ID"] = std::to_string(lease);
    result["TTL"] = std::to_string(remaining);
    json::object body_out;
    body_out["result"] = std::move(result);
    return json_response(http::status::ok, body_out);
  }

  http::response revoke(json::object const& body) {
    store_.revoke(kv::read_number(body, "ID"));
    changed_.notify_all();
    return json_response(http::status::ok, {{"header", header(store_.current_revision())}});
  }

  static std::string watch_line(json::object result) {
    return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
  }

  std::string compacted_line() const {
    return watch_line({{"header", header(store_.current_revision())},
                       {"canceled", true},
                       {"compact_revision", std::to_string(store_.compacted_revision())}});
  }

  std::string events_line(std::vector<kv::watch_event> const& events) const {
    json::array list;
    for (auto const& event : events) {
      list.push_back(json::object{{"type", event.deleted ? "DELETE" : "PUT"},
                                  {"kv", kv::write_entry(event.entry)}});
    }
    return watch_line({{"header", header(store_.current_revision())}, {"events", std::move(list)}});
  }

  awaitable<bool> watch(http::request const& message, http::stream_writer& writer) {
    if (message.target() != "/v3/watch" || in_outage()) co_return false;
    auto const parsed = parse_json_object(message.body());
    if (!parsed) co_return false;
    json::value const body(*parsed);
    auto const* create = object_field(body, "create_request");
    json::object const create_options = create == nullptr ? json::object{} : *create;
    std::string const key = kv::read_bytes(create_options, "key");
    std::string const range_end = kv::read_bytes(create_options, "range_end");
    kv::revision next = kv::read_number(create_options, "start_revision");
    if (!co_await writer.begin(http::make_response(http::status::ok, {}, http::k_json))) {
      co_return true;
    }
    if (next != 0 && next < store_.compacted_revision()) {
      std::string line = compacted_line();
      co_await writer.write(std::move(line));
      co_await writer.finish();
      co_return true;
    }
    co_await stream_events(writer, key, range_end, next);
    co_return true;
  }

  awaitable<void> stream_events(http::stream_writer& writer, std::string key, std::string range_end,
                                kv::revision next) {
    while (!in_outage() && !writer.peer_gone()) {
      while (boot_clock::now() < faults_.watches_paused_until) co_await wait_for(k_tick_interval);
      std::string line = events_line(store_.events_since(key, range_end, next));
      next = store_.current_revision() + 1;
      bool const sent = co_await writer.write(std::move(line));
      if (!sent) co_return;
      if (store_.current_revision() < next && !in_outage()) co_await changed_.wait();
    }
  }

  asio::io_context context_;
  options settings_;
  journal journal_;
  rate_limiter limiter_;
  async_condition changed_;
  kv_store store_;
  fault_settings faults_;
  std::uint64_t operations_ = 0;
  std::uint64_t rate_limited_ = 0;
  std::uint64_t slow_writes_ = 0;
};

}  // namespace

int run_kv(options const& settings) { return kv_server(settings).run(); }

}  // namespace frostline::standin
