/// @file A node's copy of the replicated configuration. No I/O. Entries may be applied in any order
/// and from any source; an entry never replaces one with a higher revision.
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

/// A decoded record and the revision at which it was last modified.
template <class Record>
struct versioned {
  Record record;
  kv::revision revision = 0;
};

/// A key with its encoded value. A deleted key is kept as a tombstone, so that an older put cannot
/// restore it.
struct entry {
  std::string key;
  kv::revision revision = 0;
  std::string value;
  bool deleted = false;
};

enum class apply_result { applied, older, malformed };

class store {
 public:
  apply_result apply(entry const& incoming);
  /// Replaces the content with a snapshot of the whole prefix; keys absent from the snapshot are
  /// deleted.
  /// @return false if the snapshot is older than `highest_known()` and was ignored.
  bool apply_snapshot(kv::range_answer const& snapshot);

  /// Records that the store contains all changes up to this revision.
  void advance(kv::revision complete_to);
  kv::revision revision() const { return revision_; }
  /// Records a revision reported by a peer, so that older snapshots are detected as stale.
  void note_peer_revision(kv::revision revision);
  kv::revision highest_known() const { return highest_known_; }
  /// Returns true once a full copy was received from the key-value service or a peer.
  bool is_complete() const { return complete_; }
  /// Marks the store as complete after a peer's full copy was applied entry by entry.
  void mark_complete() { complete_ = true; }

  std::vector<entry> entries_since(kv::revision revision) const;
  /// Number of entries applied so far.
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
  /// Returns the published version of a task, or 0 if none was published.
  std::uint64_t published_version(std::string const& task) const;
  kv::revision version_revision(std::string const& task) const;
  /// Returns the route whose prefix is the longest match for `path`, or null.
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
