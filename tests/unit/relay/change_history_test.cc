/// @file What a relay knows of the newest changes, and when it says that it knows too little.

#include "relay/change_history.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::relay;

namespace {

kv::watch_event change_at(kv::revision revision) {
  kv::watch_event event;
  event.entry.key = "key-" + std::to_string(revision);
  event.entry.mod_revision = revision;
  return event;
}

}  // namespace

TEST_GROUP(change_history_test) { change_history history{3}; };

TEST(change_history_test, knows_nothing_before_the_first_snapshot) {
  CHECK_FALSE(history.since(0).has_value());
  CHECK_FALSE(history.since(9).has_value());
}

TEST(change_history_test, tells_changes_after_a_revision_in_their_order) {
  history.reset(10);
  history.add(change_at(12));
  history.add(change_at(15));
  LONGS_EQUAL(2, history.since(10)->size());
  LONGS_EQUAL(1, history.since(12)->size());
  LONGS_EQUAL(15, history.since(12)->front().entry.mod_revision);
  LONGS_EQUAL(0, history.since(15)->size());
  LONGS_EQUAL(15, history.at());
}

TEST(change_history_test, is_not_sure_of_changes_before_its_snapshot_or_forgotten_ones) {
  history.reset(10);
  CHECK_FALSE(history.since(9).has_value());
  for (kv::revision revision = 11; revision <= 14; ++revision) history.add(change_at(revision));
  CHECK_FALSE(history.since(10).has_value());
  LONGS_EQUAL(3, history.since(11)->size());
}

TEST(change_history_test, new_snapshot_replaces_what_was_known) {
  history.reset(10);
  history.add(change_at(11));
  history.reset(20);
  CHECK_FALSE(history.since(10).has_value());
  LONGS_EQUAL(0, history.since(20)->size());
}
