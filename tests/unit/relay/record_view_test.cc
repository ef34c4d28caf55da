/// @file A node's copy of a topic: updates from several sources, and changes for other nodes.

#include "relay/record_view.h"

#include <CppUTest/TestHarness.h>

#include "base/encoding.h"

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
  for (kv::watch_event const& record : records) all.entries.push_back(record.entry);
  return all;
}

}  // namespace

TEST_GROUP(record_view_test) {
  record_view view{nullptr, 3};

  /// Applies the only change at its revision. Returns true if it was new.
  bool take(kv::watch_event const& event) {
    bool const news = view.take_event(event).has_value();
    view.advance(event.entry.mod_revision);
    return news;
  }
};

TEST(record_view_test, is_empty_before_the_first_snapshot) {
  CHECK_FALSE(view.is_loaded());
  CHECK_FALSE(view.has_changes(0));
  LONGS_EQUAL(0, view.since(0).at);
  view.advance(7);
  CHECK_FALSE(view.is_loaded());
}

TEST(record_view_test, returns_a_snapshot_to_a_node_without_records) {
  view.take_snapshot(snapshot(10, {change("a", 4), change("b", 9)}));
  auto const delta = view.since(0);
  CHECK(delta.is_snapshot);
  LONGS_EQUAL(2, delta.changes.size());
  LONGS_EQUAL(10, delta.at);
  CHECK(view.has_changes(0));
}

TEST(record_view_test, returns_changes_after_a_revision_in_order) {
  view.take_snapshot(snapshot(10, {}));
  CHECK(take(change("a", 12)));
  CHECK(take(change("b", 15)));
  auto const delta = view.since(10);
  CHECK_FALSE(delta.is_snapshot);
  LONGS_EQUAL(2, delta.changes.size());
  STRCMP_EQUAL("a", delta.changes.front().entry.key.c_str());
  LONGS_EQUAL(1, view.since(12).changes.size());
  CHECK_FALSE(view.has_changes(15));
}

TEST(record_view_test, returns_a_snapshot_when_the_history_is_too_short) {
  view.take_snapshot(snapshot(10, {}));
  for (kv::revision revision = 11; revision <= 14; ++revision) {
    take(change("key-" + std::to_string(revision), revision));
  }
  CHECK(view.since(10).is_snapshot);
  LONGS_EQUAL(4, view.since(10).changes.size());
  CHECK_FALSE(view.since(11).is_snapshot);
  LONGS_EQUAL(3, view.since(11).changes.size());
}

TEST(record_view_test, event_already_known_is_ignored) {
  view.take_snapshot(snapshot(10, {change("a", 9, "new")}));
  CHECK_FALSE(take(change("a", 8, "old")));
  CHECK_FALSE(take(change("a", 9, "new")));
  CHECK_FALSE(take(removal("a", 7)));
  STRCMP_EQUAL("new", view.records().at("a").value.c_str());
}

TEST(record_view_test, all_changes_of_one_revision_are_applied) {
  // A transaction changes several records at one revision, and so does a snapshot.
  view.take_snapshot(snapshot(10, {change("a", 9), change("b", 9)}));
  CHECK(view.take_event(removal("a", 12)).has_value());
  CHECK(view.take_event(removal("b", 12)).has_value());
  view.advance(12);
  LONGS_EQUAL(0, view.records().size());
  LONGS_EQUAL(2, view.since(10).changes.size());
}

TEST(record_view_test, older_snapshot_changes_nothing) {
  view.take_snapshot(snapshot(20, {change("a", 15)}));
  LONGS_EQUAL(0, view.take_snapshot(snapshot(19, {})).size());
  LONGS_EQUAL(1, view.records().size());
  LONGS_EQUAL(20, view.at());
}

TEST(record_view_test, newer_snapshot_yields_the_differences) {
  view.take_snapshot(snapshot(10, {change("a", 4), change("b", 9), change("c", 9)}));
  auto const news = view.take_snapshot(snapshot(20, {change("a", 4), change("b", 14)}));
  LONGS_EQUAL(2, news.size());
  LONGS_EQUAL(2, view.since(10).changes.size());
  CHECK_FALSE(view.records().contains("c"));
}

TEST(record_view_test, record_newer_than_its_snapshot_is_not_replaced_by_an_older_one) {
  // Pages are read in sequence, so a record may be newer than the first page's revision.
  view.take_snapshot(snapshot(10, {change("a", 13, "newer")}));
  CHECK_FALSE(take(change("a", 12, "older")));
  STRCMP_EQUAL("newer", view.records().at("a").value.c_str());
  CHECK_FALSE(take(change("a", 13, "newer")));
  CHECK(take(change("a", 14, "newest")));
}

TEST(record_view_test, change_with_an_equal_digest_is_applied_but_not_sent_to_others) {
  record_view servers([](kv::key_value const& record) {
    return record_traits{"", 0, static_cast<std::uint64_t>(record.value.front())};
  });
  servers.take_snapshot(snapshot(10, {change("a", 9, "ready 1")}));
  CHECK(servers.take_event(change("a", 11, "ready 2")).has_value());
  servers.advance(11);
  CHECK_FALSE(servers.has_changes(10));
  LONGS_EQUAL(11, servers.since(10).at);
  STRCMP_EQUAL("ready 2", servers.records().at("a").value.c_str());
  CHECK(servers.take_event(change("a", 12, "draining 2")).has_value());
  servers.advance(12);
  CHECK(servers.has_changes(11));
}

TEST_GROUP(record_view_selection_test) {
  /// A record's value is its group and its placement hash: "service 17".
  record_view view{[](kv::key_value const& record) -> std::optional<record_traits> {
    auto const space = record.value.find(' ');
    if (space == std::string::npos) return std::nullopt;
    std::uint64_t const place = std::stoull(record.value.substr(space + 1));
    return record_traits{record.value.substr(0, space), place, hash_bytes(record.value)};
  }};

  /// Loads `each` servers of each of two groups.
  void load(std::size_t each) {
    std::vector<kv::watch_event> all;
    for (std::size_t place = 0; place < each; ++place) {
      std::string const number = std::to_string(place);
      all.push_back(change("call-" + number, 5, "calls " + number));
      all.push_back(change("engine-" + number, 5, "engines " + number));
    }
    view.take_snapshot(snapshot(10, all));
  }

  record_selection subset(std::string const& node, std::uint32_t divisor) {
    return record_selection(node, {{"calls", divisor}});
  }
};

TEST(record_view_selection_test, node_gets_its_subset_of_one_group_and_no_other_records) {
  load(2048);
  auto const delta = view.since(0, subset("node-1", 16));
  CHECK(delta.is_snapshot);
  CHECK(delta.changes.size() > 90 && delta.changes.size() < 170);
  for (auto const& event : delta.changes) CHECK(event.entry.value.starts_with("calls"));
}

TEST(record_view_selection_test, subsets_differ_between_nodes_and_cover_the_group) {
  load(2048);
  std::map<std::string, int> holders;
  for (int node = 0; node < 200; ++node) {
    auto const delta = view.since(0, subset("node-" + std::to_string(node), 16));
    for (auto const& event : delta.changes) ++holders[event.entry.key];
  }
  LONGS_EQUAL(2048, holders.size());
}

TEST(record_view_selection_test, change_outside_of_a_subset_is_not_reported) {
  load(512);
  record_selection const wanted = subset("node-1", 4);
  auto const initial = view.since(0, wanted);
  CHECK(view.take_event(change("engine-7", 11, "engines 9999")).has_value());
  view.advance(11);
  CHECK_FALSE(view.has_changes(10, wanted));
  LONGS_EQUAL(0, view.since(10, wanted).changes.size());
  CHECK(view.take_event(removal(initial.changes.front().entry.key, 12)).has_value());
  view.advance(12);
  CHECK(view.has_changes(10, wanted));
  LONGS_EQUAL(1, view.since(10, wanted).changes.size());
}

TEST(record_view_selection_test, record_that_leaves_the_selection_is_reported_as_deleted) {
  load(8);
  record_selection const wanted = subset("node-1", k_whole_group);
  CHECK(view.take_event(change("call-3", 11, "engines 3")).has_value());
  view.advance(11);
  auto const delta = view.since(10, wanted);
  LONGS_EQUAL(1, delta.changes.size());
  CHECK(delta.changes.front().deleted);
}

TEST(record_view_selection_test, malformed_record_is_in_every_selection) {
  load(8);
  CHECK(view.take_event(change("engine-3", 11, "unreadable")).has_value());
  view.advance(11);
  LONGS_EQUAL(1, view.since(10, subset("node-1", 4)).changes.size());
}

TEST(record_view_selection_test, snapshot_of_a_new_selection_is_applied_even_if_older) {
  load(8);
  view.advance(20);
  record_selection const calls = subset("node-1", k_whole_group);
  LONGS_EQUAL(8, view.drop_unselected(calls).size());
  auto const news = view.take_snapshot(snapshot(15, {change("call-1", 12, "calls 1")}), calls);
  LONGS_EQUAL(8, news.size());
  LONGS_EQUAL(15, view.at());
  LONGS_EQUAL(1, view.group_size("calls"));
  LONGS_EQUAL(0, view.group_size("engines"));
  CHECK(view.selection() == calls);
}

TEST(record_view_selection_test, narrowing_drops_other_groups_and_keeps_the_revision) {
  load(8);
  LONGS_EQUAL(8, view.narrow(subset("node-1", k_whole_group)).size());
  LONGS_EQUAL(10, view.at());
  LONGS_EQUAL(8, view.records().size());
  // A selection that the view no longer covers can't be narrowed to.
  LONGS_EQUAL(0, view.narrow(record_selection("node-1", {{"engines", k_whole_group}})).size());
  LONGS_EQUAL(8, view.records().size());
}

TEST(record_view_selection_test, has_changes_considers_only_changes_after_the_revision) {
  // A burst of changes in one group must not wake nodes that wait for another group.
  load(8);
  for (kv::revision revision = 11; revision < 400; ++revision) {
    view.take_event(change("engine-1", revision, "engines " + std::to_string(revision)));
  }
  view.advance(400);
  CHECK_FALSE(view.has_changes(400));
  CHECK_FALSE(view.has_changes(10, subset("node-1", k_whole_group)));
}

TEST(record_view_selection_test, view_ignores_records_outside_its_selection) {
  // The store sends a relay the records of all servers, also those outside its selection.
  record_selection const calls("relay", {{"calls", k_whole_group}});
  view.take_snapshot(
      snapshot(10, {change("call-1", 5, "calls 1"), change("engine-1", 6, "engines 1")}), calls);
  LONGS_EQUAL(1, view.records().size());
  CHECK_FALSE(view.take_event(change("engine-2", 11, "engines 2")).has_value());
  CHECK(view.take_event(change("call-2", 12, "calls 2")).has_value());
  view.advance(12);
  auto const moved = view.take_event(change("call-1", 13, "engines 1"));
  CHECK(moved && moved->deleted);
  LONGS_EQUAL(1, view.records().size());
}

TEST(record_view_selection_test,
     snapshot_from_another_source_causes_no_snapshots_to_polling_nodes) {
  // Guards against a thundering herd: when a relay loses the owner as its source and lists the
  // store, the nodes of its zone must not all reload their subsets.
  record_selection const calls("relay", {{"calls", k_whole_group}});
  std::vector<kv::watch_event> all;
  for (int place = 0; place < 2048; ++place) {
    std::string const number = std::to_string(place);
    all.push_back(change("call-" + number, 5, "calls " + number));
    all.push_back(change("engine-" + number, 5, "engines " + number));
  }
  view.take_snapshot(snapshot(10, all), calls);
  all.front() = change("call-0", 14, "calls 5000");
  LONGS_EQUAL(1, view.take_snapshot(snapshot(20, all), calls).size());
  for (int node = 0; node < 20; ++node) {
    auto const delta = view.since(10, subset("node-" + std::to_string(node), 16));
    CHECK_FALSE(delta.is_snapshot);
    CHECK(delta.changes.size() <= 1);
  }
}
