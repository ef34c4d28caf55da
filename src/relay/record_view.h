/// @file What one node knows of the records below a prefix of the record store: the records, the
/// revision up to which they are complete, and the newest changes, so that it can pass them on.
/// Sources may be the store and other nodes, in any order: no record ever goes back. Pure.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "kv/types.h"
#include "relay/record_selection.h"

namespace frostline::relay {

/// What somebody who knows the records up to a revision lacks.
struct record_delta {
  /// The changes are all selected records there are, not those after the revision.
  bool whole = false;
  kv::revision at = 0;
  std::vector<kv::watch_event> changes;
};

class record_view {
 public:
  /// Changes that are kept one by one; who lacks more gets all records that it wants.
  static constexpr std::size_t k_most_changes = 512;

  /// @param read_traits null: all records concern everybody.
  explicit record_view(trait_reader read_traits = nullptr,
                       std::size_t most_changes = k_most_changes)
      : read_traits_(std::move(read_traits)), most_changes_(most_changes) {}

  /// @param held what the view holds from now on: it passes over whatever else `all` lists. If it
  /// differs from what the view held, the view goes on from the snapshot's revision.
  /// @return what it changes, in no order; nothing if more is known already.
  std::vector<kv::watch_event> take_snapshot(kv::range_answer const& all,
                                             record_selection const& held = {});
  /// To be followed by `advance` once all changes of an answer are taken: several may have the same
  /// revision. @return what it changes here; nothing if it is no news, or of a record that the view
  /// does not hold.
  std::optional<kv::watch_event> take_event(kv::watch_event const& event);
  /// Nothing else has changed up to this revision.
  void advance(kv::revision at);
  /// Drops what `held` does not include, if the view holds all that it includes.
  /// @return the dropped records' keys.
  std::vector<std::string> narrow(record_selection const& held);
  /// Drops what `held` does not include, before a snapshot of `held` is taken.
  /// @return the dropped records' keys.
  std::vector<std::string> drop_except(record_selection const& held);

  /// Revision up to which the view is complete; 0: nothing is known.
  kv::revision at() const { return at_; }
  bool is_loaded() const { return at_ != 0; }
  /// What the view holds of the topic.
  record_selection const& held() const { return held_; }
  std::map<std::string, kv::key_value> const& records() const { return records_; }
  /// Records of a group that the view holds.
  std::size_t group_size(std::string const& group) const;
  /// All records, as the store would list them.
  kv::range_answer list() const;
  record_delta since(kv::revision after, record_selection const& wanted = {}) const;
  /// Whether since(after, wanted) holds a change.
  bool has_news(kv::revision after, record_selection const& wanted = {}) const;

 private:
  /// One change, and whom the record concerned before and after it.
  struct change {
    kv::watch_event event;
    bool was_known = false;
    std::optional<record_traits> before;
    std::optional<record_traits> after;
    /// The newest revision among this change and those before it.
    kv::revision newest = 0;
  };

  void remember(change one);
  std::optional<kv::watch_event> apply(kv::watch_event const& event);
  void list_selected(record_selection const& wanted, std::vector<kv::watch_event>& into) const;
  std::optional<record_traits> traits_of(std::string const& key) const;
  void set_traits(std::string const& key, std::optional<record_traits> traits);
  /// What somebody who holds `wanted` is told of a change; nothing if it doesn't concern them.
  static std::optional<kv::watch_event> tell(change const& one, record_selection const& wanted);

  trait_reader read_traits_;
  std::size_t most_changes_;
  record_selection held_;
  std::map<std::string, kv::key_value> records_;
  /// By key; none for records that can't be read.
  std::map<std::string, record_traits> traits_;
  std::map<std::string, std::size_t> group_sizes_;
  std::deque<change> changes_;
  /// All changes after this revision that are told at all are in `changes_`.
  kv::revision complete_after_ = 0;
  kv::revision at_ = 0;
};

}  // namespace frostline::relay
