#include "gateway/directory_updater.h"

#include <algorithm>
#include <set>

#include "base/encoding.h"
#include "base/log.h"

namespace frostline::gateway {
namespace {

constexpr std::string_view k_part = "gateway";
/// Time after an outage of the store within which live servers rewrite their records.
constexpr milliseconds k_record_rewrite_time{2000};
/// A server without a record is removed at least this long before the end of `leave_time`.
constexpr milliseconds k_departure_margin{250};

}  // namespace

time_point departure_time(time_point now, time_point store_back_at, milliseconds leave_time) {
  if (store_back_at == time_point::min()) return now;
  time_point const rewritten_by = store_back_at + k_record_rewrite_time;
  return std::clamp(rewritten_by, now, std::max(now, now + leave_time - k_departure_margin));
}

kv::prefix_watcher_callbacks directory_updater::listener() {
  kv::prefix_watcher_callbacks callbacks;
  callbacks.snapshot = [this](kv::range_answer const& all) { take_all(all); };
  callbacks.event = [this](kv::watch_event const& event) { take_one(event); };
  callbacks.dropped = [this](std::vector<std::string> const& keys) { forget(keys); };
  return callbacks;
}

relay::trait_reader directory_updater::traits() const {
  return [this](kv::key_value const& record) -> std::optional<relay::record_traits> {
    auto const server = adapter_.parse_server(record.key, record.value);
    if (!server) return std::nullopt;
    relay::record_traits traits;
    traits.group = server->service;
    traits.placement_hash = hash_bytes(server->address.to_string());
    traits.digest = directory::digest_for_callers(*server);
    return traits;
  };
}

std::string directory_updater::id_of(std::string const& key) const {
  return key.substr(adapter_.keys().servers_prefix.size());
}

void directory_updater::note_malformed(kv::key_value const& record) {
  ++malformed_;
  log_line(log_level::warning, k_part, "Malformed server record skipped.",
           {{"key", record.key}, {"revision", record.mod_revision}});
}

void directory_updater::take_all(kv::range_answer const& all) {
  std::vector<directory::server> servers;
  for (kv::key_value const& record : all.entries) {
    auto parsed = adapter_.parse_server(record.key, record.value);
    if (parsed) {
      servers.push_back(std::move(*parsed));
    } else {
      note_malformed(record);
    }
  }
  if (!servers_.is_loaded()) {
    servers_.replace_all(std::move(servers));
    return;
  }
  std::set<std::string> listed;
  for (directory::server const& server : servers) listed.insert(server.id);
  std::vector<std::string> departed;
  for (auto const& [id, server] : servers_.servers()) {
    if (!listed.contains(id) && !pending_departures_.contains(id)) departed.push_back(id);
  }
  std::erase_if(pending_departures_,
                [&](auto const& entry) { return listed.contains(entry.first); });
  servers_.put_all(std::move(servers));
  for (std::string const& id : departed) note_departure(id);
}

void directory_updater::forget(std::vector<std::string> const& keys) {
  std::vector<std::string> ids;
  for (std::string const& key : keys) ids.push_back(id_of(key));
  for (std::string const& id : ids) pending_departures_.erase(id);
  servers_.forget(ids);
}

void directory_updater::take_one(kv::watch_event const& event) {
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
  pending_departures_.erase(parsed->id);
  servers_.put(std::move(*parsed));
}

void directory_updater::note_departure(std::string const& id) {
  time_point const now = boot_clock::now();
  directory::server const* const known_server = servers_.find(id);
  time_point const departure_at = departure_time(now, store_back_at_(), leave_time_);
  bool const lease_may_have_lapsed =
      known_server != nullptr && known_server->state == directory::server_state::ready;
  if (departure_at <= now || !lease_may_have_lapsed) {
    pending_departures_.erase(id);
    servers_.remove(id);
    return;
  }
  log_line(log_level::info, k_part, "Server's record went with the store; waiting for it.",
           {{"server", id},
            {"waiting_ms", std::chrono::duration_cast<milliseconds>(departure_at - now).count()}});
  pending_departures_[id] = departure_at;
  spawn(context_, remove_at(id, departure_at));
}

awaitable<void> directory_updater::remove_at(std::string id, time_point departure_at) {
  co_await wait_for(std::chrono::ceil<milliseconds>(departure_at - boot_clock::now()));
  auto const found = pending_departures_.find(id);
  if (found == pending_departures_.end() || found->second != departure_at) co_return;
  pending_departures_.erase(found);
  servers_.remove(id);
}

}  // namespace frostline::gateway
