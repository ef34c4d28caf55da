#include "gateway/server_watch.h"

#include <algorithm>
#include <set>

#include "base/encoding.h"
#include "base/log.h"

namespace frostline::gateway {
namespace {

constexpr std::string_view k_part = "gateway";
/// Servers have written their lapsed records again by then; the platform promises about as much.
constexpr milliseconds k_rewrite_time{2000};
/// So long before the time at which a server must get nothing more it gets nothing more.
constexpr milliseconds k_leave_margin{250};

}  // namespace

time_point departure_time(time_point now, time_point store_back_at, milliseconds leave_time) {
  if (store_back_at == time_point::min()) return now;
  time_point const written_again = store_back_at + k_rewrite_time;
  return std::clamp(written_again, now, std::max(now, now + leave_time - k_leave_margin));
}

kv::prefix_watcher_callbacks server_watch::listener() {
  kv::prefix_watcher_callbacks callbacks;
  callbacks.snapshot = [this](kv::range_answer const& all) { take_all(all); };
  callbacks.event = [this](kv::watch_event const& event) { take_one(event); };
  callbacks.dropped = [this](std::vector<std::string> const& keys) { forget(keys); };
  return callbacks;
}

relay::trait_reader server_watch::traits() const {
  return [this](kv::key_value const& record) -> std::optional<relay::record_traits> {
    auto const one = adapter_.parse_server(record.key, record.value);
    if (!one) return std::nullopt;
    relay::record_traits traits;
    traits.group = one->service;
    traits.place = hash_bytes(one->address.to_string());
    traits.digest = directory::digest_for_callers(*one);
    return traits;
  };
}

std::string server_watch::id_of(std::string const& key) const {
  return key.substr(adapter_.keys().servers_prefix.size());
}

void server_watch::note_malformed(kv::key_value const& record) {
  ++malformed_;
  log_line(log_level::warning, k_part, "Record names no server: it can't be read.",
           {{"key", record.key}, {"revision", record.mod_revision}});
}

void server_watch::take_all(kv::range_answer const& all) {
  std::vector<directory::server> servers;
  for (kv::key_value const& one : all.entries) {
    auto parsed = adapter_.parse_server(one.key, one.value);
    if (parsed) {
      servers.push_back(std::move(*parsed));
    } else {
      note_malformed(one);
    }
  }
  if (!servers_.is_loaded()) {
    servers_.replace_all(std::move(servers));
    return;
  }
  std::set<std::string> listed;
  for (directory::server const& one : servers) listed.insert(one.id);
  std::vector<std::string> departed;
  for (auto const& [id, one] : servers_.servers()) {
    if (!listed.contains(id) && !missing_.contains(id)) departed.push_back(id);
  }
  std::erase_if(missing_, [&](auto const& one) { return listed.contains(one.first); });
  servers_.put_all(std::move(servers));
  for (std::string const& id : departed) note_departure(id);
}

void server_watch::forget(std::vector<std::string> const& keys) {
  std::vector<std::string> ids;
  for (std::string const& key : keys) ids.push_back(id_of(key));
  for (std::string const& id : ids) missing_.erase(id);
  servers_.forget(ids);
}

void server_watch::take_one(kv::watch_event const& event) {
  if (event.deleted) {
    note_departure(id_of(event.entry.key));
    return;
  }
  auto parsed = adapter_.parse_server(event.entry.key, event.entry.value);
  if (!parsed) {
    note_malformed(event.entry);
    std::string const id = id_of(event.entry.key);
    if (servers_.find(id) != nullptr) note_departure(id);
    return;
  }
  missing_.erase(parsed->id);
  servers_.put(std::move(*parsed));
}

void server_watch::note_departure(std::string const& id) {
  time_point const now = boot_clock::now();
  directory::server const* const known = servers_.find(id);
  time_point const when = departure_time(now, store_back_at_(), leave_time_);
  bool const lapsed = known != nullptr && known->state == directory::server_state::ready;
  if (when <= now || !lapsed) {
    missing_.erase(id);
    servers_.remove(id);
    return;
  }
  log_line(log_level::info, k_part, "Server's record went with the store; waiting for it.",
           {{"server", id},
            {"waiting_ms", std::chrono::duration_cast<milliseconds>(when - now).count()}});
  missing_[id] = when;
  spawn(context_, remove_at(id, when));
}

awaitable<void> server_watch::remove_at(std::string id, time_point when) {
  co_await wait_for(std::chrono::ceil<milliseconds>(when - boot_clock::now()));
  auto const found = missing_.find(id);
  if (found == missing_.end() || found->second != when) co_return;
  missing_.erase(found);
  servers_.remove(id);
}

}  // namespace frostline::gateway
