/// @file What one node knows of the records below a prefix of the record store: the records, the
/// revision up to which they are complete, and the newest changes, so that it can pass them on.
/// Sources may be the store and other nodes, in any order: nothing ever goes back. Pure.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "kv/types.h"

namespace frostline::relay {

/// What somebody who knows the records up to a revision lacks.
struct record_delta {
  /// The changes are all records there are, not those after the revision.
  bool whole = false;
  kv::revision at = 0;
  std::vector<kv::watch_event> changes;
};

class record_view {
 public:
  /// Whether others can treat two values of a record alike, so that the change is not told to them.
  using comparison = std::function<bool(kv::key_value const& known, kv::key_value const& fresh)>;

  /// Changes that are kept one by one. A burst at the largest deployment measured (92 servers that
  /// start at once) fits five times; who lacks more gets all records.
  static constexpr std::size_t k_most_changes = 512;

  explicit record_view(comparison alike = nullptr, std::size_t most_changes = k_most_changes)
      : alike_(std::move(alike)), most_changes_(most_changes) {}

  /// @return what it changes, in no order; nothing if more is known already.
  std::vector<kv::watch_event> take_snapshot(kv::range_answer const& all);
  /// To be followed by `advance` once all changes of an answer are taken: several may have the same
  /// revision. @return whether it was news.
  bool take_event(kv::watch_event const& event);
  /// Nothing else has changed up to this revision.
  void advance(kv::revision at);

  /// Revision up to which the view is complete; 0: nothing is known.
  kv::revision at() const { return at_; }
  bool is_loaded() const { return at_ != 0; }
  std::map<std::string, kv::key_value> const& records() const { return records_; }
  /// All records, as the store would list them.
  kv::range_answer list() const;
  record_delta since(kv::revision after) const;
  /// Whether since(after) holds a change.
  bool has_news(kv::revision after) const;

 private:
  void remember(kv::watch_event const& event);
  bool apply(kv::watch_event const& event);

  comparison alike_;
  std::size_t most_changes_;
  std::map<std::string, kv::key_value> records_;
  std::deque<kv::watch_event> changes_;
  /// All changes after this revision that are told at all are in `changes_`.
  kv::revision complete_after_ = 0;
  kv::revision at_ = 0;
};

}  // namespace frostline::relay
