/// @file What a node knows of a topic, whatever the source, and what it passes on.

#include "relay/record_view.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::relay;

namespace {

kv::watch_event change(std::string const& key, kv::revision revision,
                       std::string const& value = "value") {
  kv::watch_event event;
  event.entry.key = key;
  event.entry.value = value;
  event.entry.mod_revision = revision;
  return event;
}

kv::watch_event removal(std::string const& key, kv::revision revision) {
  kv::watch_event event = change(key, revision, "");
  event.deleted = true;
  return event;
}

kv::range_answer snapshot(kv::revision at, std::vector<kv::watch_event> const& records) {
  kv::range_answer all;
  all.store_revision = at;
  for (kv::watch_event const& one : records) all.entries.push_back(one.entry);
  return all;
}

}  // namespace

TEST_GROUP(record_view_test) {
  record_view view{nullptr, 3};

  /// A change that came alone.
  bool take(kv::watch_event const& event) {
    bool const news = view.take_event(event);
    view.advance(event.entry.mod_revision);
    return news;
  }
};

TEST(record_view_test, knows_nothing_before_the_first_snapshot) {
  CHECK_FALSE(view.is_loaded());
  CHECK_FALSE(view.has_news(0));
  LONGS_EQUAL(0, view.since(0).at);
  view.advance(7);
  CHECK_FALSE(view.is_loaded());
}

TEST(record_view_test, tells_all_records_to_who_knows_none) {
  view.take_snapshot(snapshot(10, {change("a", 4), change("b", 9)}));
  auto const delta = view.since(0);
  CHECK(delta.whole);
  LONGS_EQUAL(2, delta.changes.size());
  LONGS_EQUAL(10, delta.at);
  CHECK(view.has_news(0));
}

TEST(record_view_test, tells_changes_after_a_revision_in_their_order) {
  view.take_snapshot(snapshot(10, {}));
  CHECK(take(change("a", 12)));
  CHECK(take(change("b", 15)));
  auto const delta = view.since(10);
  CHECK_FALSE(delta.whole);
  LONGS_EQUAL(2, delta.changes.size());
  STRCMP_EQUAL("a", delta.changes.front().entry.key.c_str());
  LONGS_EQUAL(1, view.since(12).changes.size());
  CHECK_FALSE(view.has_news(15));
}

TEST(record_view_test, tells_all_records_when_changes_are_forgotten) {
  view.take_snapshot(snapshot(10, {}));
  for (kv::revision revision = 11; revision <= 14; ++revision) {
    take(change("key-" + std::to_string(revision), revision));
  }
  CHECK(view.since(10).whole);
  LONGS_EQUAL(4, view.since(10).changes.size());
  CHECK_FALSE(view.since(11).whole);
  LONGS_EQUAL(3, view.since(11).changes.size());
}

TEST(record_view_test, event_that_another_source_told_is_no_news) {
  view.take_snapshot(snapshot(10, {change("a", 9, "new")}));
  CHECK_FALSE(take(change("a", 8, "old")));
  CHECK_FALSE(take(change("a", 9, "new")));
  CHECK_FALSE(take(removal("a", 7)));
  STRCMP_EQUAL("new", view.records().at("a").value.c_str());
}

TEST(record_view_test, all_changes_of_one_revision_are_taken) {
  // A transaction changes several records at one revision, and so does a snapshot.
  view.take_snapshot(snapshot(10, {change("a", 9), change("b", 9)}));
  CHECK(view.take_event(removal("a", 12)));
  CHECK(view.take_event(removal("b", 12)));
  view.advance(12);
  LONGS_EQUAL(0, view.records().size());
  LONGS_EQUAL(2, view.since(10).changes.size());
}

TEST(record_view_test, snapshot_from_before_what_is_known_changes_nothing) {
  view.take_snapshot(snapshot(20, {change("a", 15)}));
  LONGS_EQUAL(0, view.take_snapshot(snapshot(19, {})).size());
  LONGS_EQUAL(1, view.records().size());
  LONGS_EQUAL(20, view.at());
}

TEST(record_view_test, later_snapshot_tells_what_has_changed_since) {
  view.take_snapshot(snapshot(10, {change("a", 4), change("b", 9), change("c", 9)}));
  auto const news = view.take_snapshot(snapshot(20, {change("a", 4), change("b", 14)}));
  LONGS_EQUAL(2, news.size());
  LONGS_EQUAL(2, view.since(10).changes.size());
  CHECK_FALSE(view.records().contains("c"));
}

TEST(record_view_test, record_newer_than_its_snapshot_is_not_taken_back) {
  // Pages are read one after the other, so a record may be newer than the first page's revision.
  view.take_snapshot(snapshot(10, {change("a", 13, "newer")}));
  CHECK_FALSE(take(change("a", 12, "older")));
  STRCMP_EQUAL("newer", view.records().at("a").value.c_str());
  CHECK_FALSE(take(change("a", 13, "newer")));
  CHECK(take(change("a", 14, "newest")));
}

TEST(record_view_test, change_that_others_can_treat_alike_is_taken_and_not_passed_on) {
  record_view servers([](kv::key_value const& known, kv::key_value const& fresh) {
    return known.value.front() == fresh.value.front();
  });
  servers.take_snapshot(snapshot(10, {change("a", 9, "ready 1")}));
  CHECK(servers.take_event(change("a", 11, "ready 2")));
  servers.advance(11);
  CHECK_FALSE(servers.has_news(10));
  LONGS_EQUAL(11, servers.since(10).at);
  STRCMP_EQUAL("ready 2", servers.records().at("a").value.c_str());
  CHECK(servers.take_event(change("a", 12, "draining 2")));
  servers.advance(12);
  CHECK(servers.has_news(11));
}
