#include "config/store.h"

#include <algorithm>
#include <set>

#include "rpc/codec.h"

namespace frostline::config {
namespace {

/// Updates a typed view if the entry's key starts with `prefix`.
/// @return nullopt if the key does not start with `prefix`, false if the value can't be decoded.
template <class Record>
std::optional<bool> update(std::map<std::string, versioned<Record>>& view, std::string_view prefix,
                           entry const& incoming) {
  if (!incoming.key.starts_with(prefix)) return std::nullopt;
  std::string const name = incoming.key.substr(prefix.size());
  if (incoming.deleted) {
    view.erase(name);
    return true;
  }
  auto record = rpc::decode<Record>(incoming.value);
  if (!record) return false;
  view[name] = {std::move(*record), incoming.revision};
  return true;
}

template <class Value>
Value const* find_in(std::map<std::string, Value> const& view, std::string const& name) {
  auto const found = view.find(name);
  return found == view.end() ? nullptr : &found->second;
}

}  // namespace

apply_result store::apply(entry const& incoming) {
  auto const stored = entries_.find(incoming.key);
  if (stored != entries_.end() && stored->second.revision >= incoming.revision) {
    return apply_result::older;
  }
  // A malformed value does not replace the previous one.
  if (!update_view(incoming)) return apply_result::malformed;
  entries_[incoming.key] = incoming;
  highest_known_ = std::max(highest_known_, incoming.revision);
  ++changes_;
  return apply_result::applied;
}

bool store::update_view(entry const& incoming) {
  if (auto updated = update(tasks_, k_tasks, incoming)) return *updated;
  if (auto updated = update(versions_, k_versions, incoming)) return *updated;
  if (auto updated = update(routes_, k_routes, incoming)) return *updated;
  if (auto updated = update(drains_, k_drains, incoming)) return *updated;
  if (auto updated = update(shard_owners_, k_shard_owners, incoming)) return *updated;
  if (auto updated = update(engine_owners_, k_engine_owners, incoming)) return *updated;
  return true;  // keys of later releases are stored and sent to peers without being decoded
}

bool store::apply_snapshot(kv::range_answer const& snapshot) {
  if (snapshot.store_revision < highest_known_) return false;
  std::set<std::string> present;
  for (kv::key_value const& pair : snapshot.entries) {
    present.insert(pair.key);
    apply({pair.key, pair.mod_revision, pair.value, false});
  }
  std::vector<std::string> removed_keys;
  for (auto const& [key, stored] : entries_) {
    if (!stored.deleted && !present.contains(key)) removed_keys.push_back(key);
  }
  for (std::string const& key : removed_keys) apply({key, snapshot.store_revision, {}, true});
  complete_ = true;
  advance(snapshot.store_revision);
  return true;
}

void store::advance(kv::revision complete_to) {
  revision_ = std::max(revision_, complete_to);
  highest_known_ = std::max(highest_known_, complete_to);
}

void store::note_peer_revision(kv::revision revision) {
  highest_known_ = std::max(highest_known_, revision);
}

std::vector<entry> store::entries_since(kv::revision revision) const {
  std::vector<entry> newer;
  for (auto const& [key, stored] : entries_) {
    if (stored.revision > revision) newer.push_back(stored);
  }
  return newer;
}

store::task_entry const* store::find_task(std::string const& name) const {
  return find_in(tasks_, name);
}

store::owner_entry const* store::find_shard_owner(std::string const& name) const {
  return find_in(shard_owners_, name);
}

store::owner_entry const* store::find_engine_owner(std::string const& engine) const {
  return find_in(engine_owners_, engine);
}

std::uint64_t store::published_version(std::string const& task) const {
  version_entry const* published = find_in(versions_, task);
  return published == nullptr ? 0 : published->record.version;
}

kv::revision store::version_revision(std::string const& task) const {
  version_entry const* published = find_in(versions_, task);
  return published == nullptr ? 0 : published->revision;
}

store::route_entry const* store::match_route(std::string_view path) const {
  route_entry const* best = nullptr;
  for (auto const& [name, candidate] : routes_) {
    std::string const& prefix = candidate.record.path_prefix;
    if (!path.starts_with(prefix)) continue;
    if (best == nullptr || prefix.size() > best->record.path_prefix.size()) best = &candidate;
  }
  return best;
}

}  // namespace frostline::config
