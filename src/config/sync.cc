#include "config/sync.h"

#include "base/jitter.h"
#include "base/log.h"
#include "rpc/client.h"

namespace frostline::config {
namespace {

constexpr std::string_view k_part = "config";
constexpr milliseconds k_initial_backoff{100};
constexpr milliseconds k_max_backoff{3000};
constexpr milliseconds k_peer_poll_interval{200};
constexpr milliseconds k_peer_timeout{2000};
/// Upper limit of `kv_age`, also returned if no reply is known.
constexpr milliseconds k_max_kv_age{3'600'000};

}  // namespace

sync::sync(asio::io_context& context, kv::client& service, http::client& transport,
           membership::table& members, store& target)
    : context_(context),
      service_(service),
      transport_(transport),
      members_(members),
      store_(target) {}

void sync::start() {
  spawn(context_, watch_loop());
  spawn(context_, peer_loop());
}

void sync::notify() {
  for (auto const& listener : listeners_) listener();
}

void sync::apply_committed(entry const& written) {
  if (store_.apply(written) == apply_result::applied) notify();
}

milliseconds sync::kv_age(time_point now) const {
  time_point const last_answer = std::max(service_.last_answer(), members_.kv_known_at());
  if (last_answer == time_point::min()) return k_max_kv_age;
  auto const age = std::chrono::duration_cast<milliseconds>(now - last_answer);
  return std::clamp(age, milliseconds(0), k_max_kv_age);
}

awaitable<bool> sync::read_snapshot() {
  auto snapshot = co_await service_.range_prefix(std::string(k_replicated_prefix));
  if (!snapshot) co_return false;
  if (!store_.apply_snapshot(snapshot.value())) {
    log_line(log_level::warning, k_part, "Ignored a stale read of the configuration.",
             {{"read_revision", snapshot.value().store_revision},
              {"known_revision", store_.highest_known()}});
    co_return false;
  }
  notify();
  co_return true;
}

bool sync::apply_watch_batch(kv::watch_batch const& batch) {
  if (batch.compacted) return false;
  for (kv::watch_event const& event : batch.events) {
    entry const incoming{event.entry.key, event.entry.mod_revision, event.entry.value,
                         event.deleted};
    if (store_.apply(incoming) == apply_result::malformed) {
      log_line(log_level::error, k_part, "Ignored a malformed value; keeping the previous one.",
               {{"key", incoming.key}, {"revision", incoming.revision}});
    }
  }
  store_.advance(batch.store_revision);
  if (!batch.events.empty()) notify();
  return true;
}

awaitable<void> sync::watch_loop() {
  milliseconds backoff = k_initial_backoff;
  bool need_snapshot = true;
  while (true) {
    if (need_snapshot) {
      bool const read = co_await read_snapshot();
      if (!read) {
        co_await wait_for(with_jitter(backoff));
        backoff = std::min(backoff * 2, k_max_backoff);
        continue;
      }
    }
    backoff = k_initial_backoff;
    bool compacted = false;
    auto sink = [this, &compacted](kv::watch_batch const& batch) {
      compacted = batch.compacted;
      return apply_watch_batch(batch);
    };
    std::error_code const ended =
        co_await service_.watch(std::string(k_replicated_prefix), store_.revision() + 1, sink);
    log_line(log_level::info, k_part, "Watch ended.", {{"cause", ended.message()}});
    // Events may have been missed, so the whole prefix is read again.
    need_snapshot = true;
    if (!compacted) co_await wait_for(with_jitter(backoff));
  }
}

std::string sync::select_peer() const {
  membership::member const* newest = members_.find(members_.newest_config_holder());
  bool const behind = members_.newest_config_revision() > store_.revision();
  if (behind && newest != nullptr && newest->is_alive()) return newest->update.http_address;
  if (store_.is_complete()) return {};
  for (auto const& [id, peer] : members_.members()) {
    if (peer.is_alive() && peer.last_heard != time_point::min()) return peer.update.http_address;
  }
  return {};
}

awaitable<void> sync::peer_loop() {
  while (true) {
    time_point const now = boot_clock::now();
    store_.note_peer_revision(members_.newest_config_revision());
    members_.set_local_facts(store_.revision(), kv_age(now));
    std::string const address = select_peer();
    if (!address.empty()) co_await fetch_from_peer(address);
    co_await wait_for(k_peer_poll_interval);
  }
}

awaitable<void> sync::fetch_from_peer(std::string address) {
  auto const peer_endpoint = parse_endpoint(address);
  if (!peer_endpoint) co_return;
  rpc::FetchConfigRequestT request;
  request.since_revision = store_.is_complete() ? store_.revision() : 0;
  auto answer = co_await rpc::call<rpc::FetchConfigRequestT, rpc::FetchConfigResponseT>(
      transport_, *peer_endpoint, "NodeService", "FetchConfig", request, k_peer_timeout);
  if (!answer) co_return;
  std::uint64_t const before = store_.change_count();
  for (auto const& item : answer.value().entries) {
    entry const incoming{item->key, item->revision,
                         std::string(item->value.begin(), item->value.end()), item->deleted};
    store_.apply(incoming);
  }
  if (answer.value().revision == 0) co_return;  // the peer's copy is not complete
  store_.mark_complete();
  store_.advance(answer.value().revision);
  if (store_.change_count() != before) notify();
}

rpc::FetchConfigResponseT sync::handle_fetch(rpc::FetchConfigRequestT const& request) const {
  rpc::FetchConfigResponseT response;
  if (!store_.is_complete()) return response;
  response.revision = store_.revision();
  for (entry const& stored : store_.entries_since(request.since_revision)) {
    auto item = std::make_unique<rpc::ConfigEntryT>();
    item->key = stored.key;
    item->revision = stored.revision;
    item->value.assign(stored.value.begin(), stored.value.end());
    item->deleted = stored.deleted;
    response.entries.push_back(std::move(item));
  }
  return response;
}

}  // namespace frostline::config
