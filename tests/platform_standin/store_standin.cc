#include "store_standin.h"

#include <boost/url/encoding_opts.hpp>
#include <boost/url/pct_string_view.hpp>
#include <charconv>
#include <stdexcept>

#include "base/encoding.h"
#include "http/json_fields.h"

namespace frostline::testing {
namespace {

namespace json = boost::json;

constexpr milliseconds k_expiry_tick{20};
constexpr seconds k_silence{60};

/// Largest key that the store accepts, in bytes.
constexpr std::size_t k_max_key_bytes = 200;

/// Decodes percent-encoding, and `+` as a space. @return the text itself if it is malformed.
std::string decode(std::string const& text) {
  auto const encoded = boost::urls::make_pct_string_view(text);
  if (!encoded) return text;
  boost::urls::encoding_opts options;
  options.space_as_plus = true;
  return encoded.value().decode(options);
}

std::string query_value(std::string const& target, std::string const& name) {
  std::string const whole = target.substr(0, target.find('#'));
  std::string const query = whole.substr(std::min(whole.find('?') + 1, whole.size()));
  std::size_t begin = 0;
  while (begin < query.size()) {
    std::size_t const end = std::min(query.find('&', begin), query.size());
    std::string const part = query.substr(begin, end - begin);
    if (part.starts_with(name + "=")) return decode(part.substr(name.size() + 1));
    begin = end + 1;
  }
  return {};
}

std::uint64_t to_number(std::string const& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

json::object write_item(std::string const& key, store_standin::item const& stored) {
  json::object body;
  body["key"] = key;
  body["value"] = base64_encode(stored.value);
  body["revision"] = stored.revision;
  body["created"] = stored.created;
  body["lease"] = stored.lease;
  return body;
}

http::response answer(unsigned status, json::object const& body) {
  return json_response(static_cast<http::status>(status), body);
}

std::uint64_t field(json::object const& body, std::string_view name) {
  return static_cast<std::uint64_t>(json_number(body, name));
}

}  // namespace

store_standin::store_standin(asio::io_context& context, endpoint where)
    : context_(context),
      server_(context, http::server_limits(),
              [this](http::request message) { return handle(std::move(message)); }),
      changed_(context) {
  std::string const failure = server_.listen(where);
  if (!failure.empty()) throw std::runtime_error(failure);
  spawn(context_, expire_loop());
}

void store_standin::note(std::string const& key, bool gone) {
  change entry;
  entry.revision = revision_;
  entry.key = key;
  entry.gone = gone;
  if (!gone) entry.after = items_[key];
  history_.push_back(std::move(entry));
}

void store_standin::put(std::string const& key, std::string const& value, std::uint64_t lease) {
  ++revision_;
  item& stored = items_[key];
  if (stored.created == 0) stored.created = revision_;
  stored.value = value;
  stored.revision = revision_;
  stored.lease = lease;
  note(key, false);
  changed_.notify_all();
}

void store_standin::remove(std::string const& key) {
  if (items_.erase(key) == 0) return;
  ++revision_;
  note(key, true);
  changed_.notify_all();
}

void store_standin::compact() {
  history_.clear();
  forgotten_ = revision_;
  ++cuts_;
  changed_.notify_all();
}

std::size_t store_standin::stall_watches() {
  ++watch_generation_;
  std::size_t waiting = 0;
  for (auto const& [prefix, count] : waiting_watches_) waiting += count;
  return waiting;
}

void store_standin::end_lease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> gone;
  for (auto const& [key, held] : items_) {
    if (held.lease == id) gone.push_back(key);
  }
  for (std::string const& key : gone) remove(key);
}

void store_standin::expire_leases() {
  while (!leases_.empty()) end_lease(leases_.begin()->first);
}

awaitable<void> store_standin::expire_loop() {
  while (true) {
    co_await wait_for(k_expiry_tick);
    // Leases don't expire while the store is down.
    if (faults_.silent || faults_.busy) continue;
    std::vector<std::uint64_t> over;
    for (auto const& [id, held] : leases_) {
      if (held.ends <= boot_clock::now()) over.push_back(id);
    }
    for (std::uint64_t id : over) end_lease(id);
  }
}

awaitable<http::response> store_standin::handle(http::request message) {
  if (faults_.silent) co_await wait_for(k_silence);
  if (faults_.busy) co_return answer(503, {});
  if (faults_.delay > milliseconds(0)) co_await wait_for(faults_.delay);
  std::string const target(message.target());
  if (target.starts_with("/api/kv-watch?")) co_return co_await watch(target);
  if (target == "/api/kv-txn") co_return co_await transaction(message.body());
  if (target.starts_with("/api/kv-key?")) co_return read_key(target);
  if (target.starts_with("/api/kv-range?")) co_return read_range(target);
  if (target == "/api/kv-lease") co_return grant(message.body());
  std::string const number = target.substr(target.rfind('/') + 1);
  if (target.starts_with("/api/kv-keep/")) co_return renew(to_number(number));
  if (target.starts_with("/api/kv-lease-end/")) {
    end_lease(to_number(number));
    co_return answer(200, {});
  }
  co_return answer(400, {});
}

http::response store_standin::read_key(std::string const& target) {
  std::string const key = query_value(target, "key");
  auto const found = items_.find(key);
  if (found == items_.end()) return answer(404, {});
  json::object body = write_item(key, found->second);
  body["at"] = revision_;
  return answer(200, body);
}

http::response store_standin::read_range(std::string const& target) {
  std::string const prefix = query_value(target, "path_prefix");
  std::string const after = query_value(target, "after_rev");
  json::array items;
  bool more = false;
  for (auto const& [key, stored] : items_) {
    if (!key.starts_with(prefix) || key <= after) continue;
    // Small pages, so that tests read more than one.
    more = items.size() == 50;
    if (more) break;
    items.push_back(write_item(key, stored));
  }
  json::object body;
  body["requests"] = std::move(items);
  body["more"] = more;
  body["at"] = revision_;
  return answer(200, body);
}

awaitable<http::response> store_standin::watch(std::string target) {
  std::string const prefix = query_value(target, "path_prefix");
  std::uint64_t const after = to_number(query_value(target, "after_rev"));
  time_point const deadline =
      boot_clock::now() + milliseconds(to_number(query_value(target, "wait_ms")));
  std::uint64_t const cuts = cuts_;
  std::uint64_t const generation = watch_generation_;
  json::array events;
  while (true) {
    if (after < forgotten_ || cuts != cuts_) co_return answer(410, {});
    for (change const& entry : history_) {
      if (entry.revision <= after || !entry.key.starts_with(prefix)) continue;
      json::object event = write_item(entry.key, entry.after);
      event["revision"] = entry.revision;
      if (entry.gone) event["gone"] = true;
      events.push_back(std::move(event));
    }
    if (!events.empty() || boot_clock::now() >= deadline) break;
    ++waiting_watches_[prefix];
    co_await changed_.wait_until(deadline);
    --waiting_watches_[prefix];
    if (generation != watch_generation_) co_await wait_for(k_silence);
  }
  if (!events.empty()) ++answered_watches_[prefix];
  json::object body;
  body["events"] = std::move(events);
  body["at"] = revision_;
  co_return answer(200, body);
}

awaitable<void> store_standin::apply_later(std::string body, milliseconds pause) {
  co_await wait_for(pause);
  apply(body);
}

awaitable<http::response> store_standin::transaction(std::string body) {
  ++transactions_;
  if (faults_.late_transactions > 0) {
    --faults_.late_transactions;
    spawn(context_, apply_later(body, faults_.commit_delay));
    co_await wait_for(k_silence);
  }
  http::response outcome = apply(body);
  if (faults_.lost_transactions > 0) {
    --faults_.lost_transactions;
    co_await wait_for(k_silence);
  }
  co_return outcome;
}

http::response store_standin::apply(std::string const& text) {
  auto const body = parse_json_object(text);
  if (!body) return answer(400, {});
  json::array rows;
  bool holds = true;
  for (json::value const& row : body->at("expected").as_array()) {
    std::string const key = json_text(row.as_object(), "key");
    auto const found = items_.find(key);
    std::uint64_t const now = found == items_.end() ? 0 : found->second.revision;
    if (now != field(row.as_object(), "revision")) holds = false;
    if (found == items_.end()) {
      json::object absent;
      absent["key"] = key;
      absent["revision"] = 0;
      rows.push_back(std::move(absent));
    } else {
      rows.push_back(write_item(key, found->second));
    }
  }
  if (!holds) {
    json::object refusal;
    refusal["requests"] = std::move(rows);
    return answer(412, refusal);
  }
  for (json::value const& operation : body->at("put").as_array()) {
    if (json_text(operation.as_object(), "key").size() > k_max_key_bytes) return answer(400, {});
    std::uint64_t const lease = field(operation.as_object(), "lease");
    if (lease != 0 && !leases_.contains(lease)) return answer(404, {});
  }
  for (json::value const& operation : body->at("put").as_array()) {
    auto const value = base64_decode(json_text(operation.as_object(), "value"));
    put(json_text(operation.as_object(), "key"), value.value_or(""),
        field(operation.as_object(), "lease"));
  }
  for (json::value const& key : body->at("remove").as_array()) {
    remove(std::string(key.as_string()));
  }
  json::object done;
  done["revision"] = revision_;
  return answer(200, done);
}

http::response store_standin::grant(std::string const& text) {
  auto const body = parse_json_object(text);
  if (!body) return answer(400, {});
  lease granted_lease;
  granted_lease.time_to_live = milliseconds(field(*body, "ttl_ms"));
  granted_lease.ends = boot_clock::now() + granted_lease.time_to_live;
  std::uint64_t const id = next_lease_++;
  leases_[id] = granted_lease;
  json::object granted;
  granted["lease"] = id;
  granted["ttl_ms"] = granted_lease.time_to_live.count();
  return answer(200, granted);
}

http::response store_standin::renew(std::uint64_t id) {
  auto const found = leases_.find(id);
  if (found == leases_.end()) return answer(404, {});
  found->second.ends = boot_clock::now() + found->second.time_to_live;
  json::object renewed;
  renewed["ttl_ms"] = found->second.time_to_live.count();
  return answer(200, renewed);
}

}  // namespace frostline::testing
