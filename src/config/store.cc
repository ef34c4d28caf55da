#include "config/store.h"

#include <algorithm>
#include <set>

#include "rpc/codec.h"

namespace frostline::config {
namespace {

/// Updates one typed view if the entry's key lies below its prefix.
/// @return nothing if it lies elsewhere, else whether the value could be read.
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
  auto const held = entries_.find(incoming.key);
  if (held != entries_.end() && held->second.revision >= incoming.revision) {
    return apply_result::older;
  }
  // A value that can't be read leaves the one in force as it is.
  if (!update_view(incoming)) return apply_result::malformed;
  entries_[incoming.key] = incoming;
  highest_known_ = std::max(highest_known_, incoming.revision);
  ++changes_;
  return apply_result::applied;
}

bool store::update_view(entry const& incoming) {
  if (auto read = update(tasks_, k_tasks, incoming)) return *read;
  if (auto read = update(versions_, k_versions, incoming)) return *read;
  if (auto read = update(routes_, k_routes, incoming)) return *read;
  if (auto read = update(drains_, k_drains, incoming)) return *read;
  if (auto read = update(shard_owners_, k_shard_owners, incoming)) return *read;
  if (auto read = update(engine_owners_, k_engine_owners, incoming)) return *read;
  return true;  // a later release's key: kept and passed on, not understood
}

bool store::apply_snapshot(kv::range_answer const& snapshot) {
  if (snapshot.store_revision < highest_known_) return false;
  std::set<std::string> present;
  for (kv::key_value const& read : snapshot.entries) {
    present.insert(read.key);
    apply({read.key, read.mod_revision, read.value, false});
  }
  std::vector<std::string> gone;
  for (auto const& [key, held] : entries_) {
    if (!held.deleted && !present.contains(key)) gone.push_back(key);
  }
  for (std::string const& key : gone) apply({key, snapshot.store_revision, {}, true});
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
  for (auto const& [key, held] : entries_) {
    if (held.revision > revision) newer.push_back(held);
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
