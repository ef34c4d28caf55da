#include "standin/kv_store.h"

#include <algorithm>

namespace frostline::standin {

bool in_range(std::string const& key, std::string const& first, std::string const& range_end) {
  if (range_end.empty()) return key == first;
  return key >= first && key < range_end;
}

kv::range_answer kv_store::range(std::string const& key, std::string const& range_end,
                                 kv::revision at) const {
  kv::range_answer answer;
  answer.store_revision = at == 0 ? revision_ : at;
  auto const source = at == 0 ? entries_ : state_at(at);
  for (auto const& [name, entry] : source) {
    if (in_range(name, key, range_end)) answer.entries.push_back(entry);
  }
  return answer;
}

std::map<std::string, kv::key_value> kv_store::state_at(kv::revision at) const {
  std::map<std::string, kv::key_value> state;
  for (kv::watch_event const& event : history_) {
    if (event.entry.mod_revision > at) break;
    if (event.deleted) {
      state.erase(event.entry.key);
    } else {
      state[event.entry.key] = event.entry;
    }
  }
  return state;
}

bool kv_store::matches(kv::compare const& condition) const {
  auto const found = entries_.find(condition.key);
  kv::revision const actual = found == entries_.end() ? 0 : found->second.mod_revision;
  return actual == condition.mod_revision;
}

std::optional<kv::transaction_answer> kv_store::apply(kv::transaction const& change) {
  for (kv::operation const& operation : change.on_success) {
    if (operation.lease != 0 && !leases_.contains(operation.lease)) return std::nullopt;
  }
  kv::transaction_answer answer;
  answer.succeeded =
      std::all_of(change.compares.begin(), change.compares.end(),
                  [this](kv::compare const& condition) { return matches(condition); });
  if (answer.succeeded) {
    if (!change.on_success.empty()) ++revision_;
    for (kv::operation const& operation : change.on_success) {
      if (operation.kind == kv::operation_kind::put) {
        put(operation);
      } else {
        remove(operation.key);
      }
    }
  } else {
    for (std::string const& key : change.read_on_failure) {
      auto const found = entries_.find(key);
      if (found != entries_.end()) answer.read.push_back(found->second);
    }
  }
  answer.store_revision = revision_;
  return answer;
}

void kv_store::put(kv::operation const& change) {
  kv::key_value& entry = entries_[change.key];
  if (entry.create_revision == 0) entry.create_revision = revision_;
  entry.key = change.key;
  entry.value = change.value;
  entry.mod_revision = revision_;
  entry.lease = change.lease;
  history_.push_back({false, entry});
}

void kv_store::remove(std::string const& key) {
  if (entries_.erase(key) == 0) return;
  kv::watch_event event;
  event.deleted = true;
  event.entry.key = key;
  event.entry.mod_revision = revision_;
  history_.push_back(std::move(event));
}

kv::lease_id kv_store::grant(seconds time_to_live, time_point now) {
  kv::lease_id const lease = next_lease_++;
  leases_[lease] = {time_to_live, now + time_to_live};
  return lease;
}

std::uint64_t kv_store::keep_alive(kv::lease_id lease, time_point now) {
  auto const found = leases_.find(lease);
  if (found == leases_.end()) return 0;
  found->second.expires = now + found->second.time_to_live;
  return static_cast<std::uint64_t>(found->second.time_to_live.count());
}

void kv_store::revoke(kv::lease_id lease) {
  if (leases_.erase(lease) > 0) delete_lease_keys(lease);
}

void kv_store::delete_lease_keys(kv::lease_id lease) {
  std::vector<std::string> leased_keys;
  for (auto const& [name, entry] : entries_) {
    if (entry.lease == lease) leased_keys.push_back(name);
  }
  if (leased_keys.empty()) return;
  ++revision_;
  for (std::string const& key : leased_keys) remove(key);
}

void kv_store::expire(time_point now) {
  std::vector<kv::lease_id> expired;
  for (auto const& [lease, state] : leases_) {
    if (state.expires <= now) expired.push_back(lease);
  }
  for (kv::lease_id lease : expired) revoke(lease);
}

void kv_store::extend_leases(time_point now) {
  for (auto& [lease, state] : leases_) state.expires = now + state.time_to_live;
}

std::vector<kv::watch_event> kv_store::events_since(std::string const& key,
                                                    std::string const& range_end,
                                                    kv::revision start) const {
  std::vector<kv::watch_event> events;
  auto const by_revision = [](kv::watch_event const& event, kv::revision wanted) {
    return event.entry.mod_revision < wanted;
  };
  auto at = std::lower_bound(history_.begin(), history_.end(), start, by_revision);
  for (; at != history_.end(); ++at) {
    if (in_range(at->entry.key, key, range_end)) events.push_back(*at);
  }
  return events;
}

void kv_store::compact(kv::revision revision) {
  compacted_ = std::min(revision, revision_);
  std::erase_if(history_, [this](kv::watch_event const& event) {
    return event.entry.mod_revision < compacted_;
  });
}

}  // namespace frostline::standin
