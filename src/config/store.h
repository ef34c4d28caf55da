/// @file The replicated configuration as one node holds it. Pure: entries go in by revision, in any
/// order and from any source; a lower revision never replaces a higher one.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/keys.h"
#include "kv/types.h"
#include "schema/frostline_generated.h"

namespace frostline::config {

/// A decoded record and the revision it has in the store.
template <class Record>
struct versioned {
  Record record;
  kv::revision revision = 0;
};

/// One key as received. A deleted one stays as a tombstone, so that it can't come back.
struct entry {
  std::string key;
  kv::revision revision = 0;
  std::string value;
  bool deleted = false;
};

enum class apply_result { applied, older, malformed };

class store {
 public:
  /// Takes one entry in.
  apply_result apply(entry const& incoming);
  /// Takes a read of the whole prefix in: what it lacks is deleted.
  /// @return false, and nothing changes, if the read is older than what is already known.
  bool apply_snapshot(kv::range_answer const& snapshot);

  /// The store is known to be complete up to this revision.
  void advance(kv::revision complete_to);
  kv::revision revision() const { return revision_; }
  /// Remembers that a peer holds `revision`, so that older reads are recognized as stale.
  void note_peer_revision(kv::revision revision);
  kv::revision highest_known() const { return highest_known_; }
  /// Whether the first whole read, from the service or a peer, has come.
  bool is_complete() const { return complete_; }
  /// For a peer's whole copy, applied entry by entry.
  void mark_complete() { complete_ = true; }

  std::vector<entry> entries_since(kv::revision revision) const;
  /// Grows with each applied entry.
  std::uint64_t change_count() const { return changes_; }

  using task_entry = versioned<rpc::TaskRecordT>;
  using version_entry = versioned<rpc::VersionRecordT>;
  using route_entry = versioned<rpc::RouteRecordT>;
  using drain_entry = versioned<rpc::DrainRecordT>;
  using owner_entry = versioned<rpc::OwnerRecordT>;

  std::map<std::string, task_entry> const& tasks() const { return tasks_; }
  std::map<std::string, version_entry> const& versions() const { return versions_; }
  std::map<std::string, route_entry> const& routes() const { return routes_; }
  std::map<std::string, drain_entry> const& drains() const { return drains_; }
  std::map<std::string, owner_entry> const& shard_owners() const { return shard_owners_; }
  std::map<std::string, owner_entry> const& engine_owners() const { return engine_owners_; }

  task_entry const* find_task(std::string const& name) const;
  owner_entry const* find_shard_owner(std::string const& name) const;
  owner_entry const* find_engine_owner(std::string const& engine) const;
  /// Version published for a task; 0 before the first.
  std::uint64_t published_version(std::string const& task) const;
  kv::revision version_revision(std::string const& task) const;
  /// The route with the longest prefix of `path`.
  route_entry const* match_route(std::string_view path) const;

 private:
  bool update_view(entry const& incoming);

  std::map<std::string, entry> entries_;
  std::map<std::string, task_entry> tasks_;
  std::map<std::string, version_entry> versions_;
  std::map<std::string, route_entry> routes_;
  std::map<std::string, drain_entry> drains_;
  std::map<std::string, owner_entry> shard_owners_;
  std::map<std::string, owner_entry> engine_owners_;
  kv::revision revision_ = 0;
  kv::revision highest_known_ = 0;
  std::uint64_t changes_ = 0;
  bool complete_ = false;
};

}  // namespace frostline::config
