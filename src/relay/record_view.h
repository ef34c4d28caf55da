/// @file A node's copy of the records below one prefix of the record store: the records, the
/// revision up to which they are complete, and recent changes for other nodes. Updates may come
/// from the store and from peers in any order; a record is never replaced by an older revision.
/// Performs no I/O.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "kv/types.h"
#include "relay/record_selection.h"

namespace frostline::relay {

/// What a node that holds the records up to some revision lacks.
struct record_delta {
  /// `changes` lists all selected records instead of the changes after the revision.
  bool is_snapshot = false;
  /// Revision up to which the node is complete after it has applied `changes`.
  kv::revision at = 0;
  std::vector<kv::watch_event> changes;
};

class record_view {
 public:
  /// Length of the change history. A node that is further behind gets a snapshot.
  static constexpr std::size_t k_max_changes = 512;

  /// @param read_traits if null, every selection includes all records.
  explicit record_view(trait_reader read_traits = nullptr, std::size_t max_changes = k_max_changes)
      : read_traits_(std::move(read_traits)), max_changes_(max_changes) {}

  /// Replaces the records by a snapshot.
  /// @param selection what the view holds from now on; other records in `all` are ignored. If it
  /// differs from the current selection, the view takes the snapshot's revision, even an older one.
  /// @return the resulting changes, unordered; empty if the view is already newer.
  std::vector<kv::watch_event> take_snapshot(kv::range_answer const& all,
                                             record_selection const& selection = {});
  /// Applies one change. Call `advance` only after all changes of a response, since several may
  /// have the same revision.
  /// @return the resulting change; nothing if it is not new or the view does not hold the record.
  std::optional<kv::watch_event> take_event(kv::watch_event const& event);
  /// Marks the view as complete up to a revision.
  void advance(kv::revision at);
  /// Reduces the view to `selection` if its present selection covers that.
  /// @return keys of the dropped records.
  std::vector<std::string> narrow(record_selection const& selection);
  /// Drops records outside `selection`, before a snapshot of that selection is applied.
  /// @return keys of the dropped records.
  std::vector<std::string> drop_unselected(record_selection const& selection);

  /// Revision up to which the view is complete; 0 before the first snapshot.
  kv::revision at() const { return at_; }
  bool is_loaded() const { return at_ != 0; }
  /// Revision of the newest change that the view has applied; 0 before the first.
  kv::revision newest_change() const { return newest_change_; }
  /// The records that the view holds.
  record_selection const& selection() const { return selection_; }
  std::map<std::string, kv::key_value> const& records() const { return records_; }
  /// Number of records of a group in the view.
  std::size_t group_size(std::string const& group) const;
  /// All records of the view, in the form of a list answer of the store.
  kv::range_answer list() const;
  /// Returns what a node that holds `wanted` up to revision `after` lacks.
  record_delta since(kv::revision after, record_selection const& wanted = {}) const;
  /// Returns true if since(after, wanted) would contain changes, or a snapshot.
  bool has_changes(kv::revision after, record_selection const& wanted = {}) const;

 private:
  /// A change with the record's traits before and after it.
  struct change {
    kv::watch_event event;
    /// The view held the record before the change.
    bool was_known = false;
    std::optional<record_traits> before;
    std::optional<record_traits> after;
    /// Highest revision of this change and all earlier ones in the history.
    kv::revision newest = 0;
  };

  void append_change(change recorded);
  std::optional<kv::watch_event> apply(kv::watch_event const& event);
  void list_selected(record_selection const& wanted, std::vector<kv::watch_event>& into) const;
  std::optional<record_traits> traits_of(std::string const& key) const;
  void set_traits(std::string const& key, std::optional<record_traits> traits);
  /// Returns the change as seen by a holder of `wanted`: a record that leaves the selection appears
  /// as removed. Returns nothing if the change does not affect the selection.
  static std::optional<kv::watch_event> event_for(change const& recorded,
                                                  record_selection const& wanted);

  trait_reader read_traits_;
  std::size_t max_changes_;
  record_selection selection_;
  std::map<std::string, kv::key_value> records_;
  /// Keyed by record key; malformed records have no entry.
  std::map<std::string, record_traits> traits_;
  std::map<std::string, std::size_t> group_sizes_;
  std::deque<change> changes_;
  /// `changes_` contains all changes after this revision.
  kv::revision complete_after_ = 0;
  kv::revision at_ = 0;
  kv::revision newest_change_ = 0;
};

}  // namespace frostline::relay
