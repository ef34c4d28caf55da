/// @file Counting of crashes by request, and which requests explain the crashes of others.

#include "quarantine/suspect_table.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::quarantine;

namespace {

fingerprint request_of(std::string const& body) {
  return fingerprint::of({"", "host", "POST", "/", body});
}

}  // namespace

TEST_GROUP(suspect_table_test) {
  suspect_table table{3};
  time_point const start{milliseconds(1'000'000)};

  /// Notes a crash of `server` while it ran a request. Times are in ms after `start`.
  crash_history note(std::string const& body, std::string const& server, int sent, int ended) {
    return table.note(
        {request_of(body), server, start + milliseconds(sent), start + milliseconds(ended)});
  }
};

TEST(suspect_table_test, crashes_in_sequence_are_counted_separately) {
  LONGS_EQUAL(1, note("a", "s1", 0, 40).sequential_crashes);
  LONGS_EQUAL(2, note("a", "s2", 45, 90).sequential_crashes);
  LONGS_EQUAL(3, note("a", "s3", 90, 130).sequential_crashes);
  LONGS_EQUAL(3, table.find(request_of("a"))->servers.size());
}

TEST(suspect_table_test, simultaneous_crashes_count_once_in_sequence) {
  note("a", "s1", 0, 40);
  note("a", "s2", 10, 41);
  auto const known = note("a", "s3", 39, 41);
  LONGS_EQUAL(3, known.servers.size());
  LONGS_EQUAL(1, known.sequential_crashes);
}

TEST(suspect_table_test, incarnation_counts_once) {
  note("a", "s1", 0, 40);
  auto const known = note("a", "s1", 50, 90);
  LONGS_EQUAL(1, known.servers.size());
  LONGS_EQUAL(1, known.sequential_crashes);
}

TEST(suspect_table_test, answer_clears_the_history) {
  note("a", "s1", 0, 40);
  note("a", "s2", 45, 90);
  table.clear(request_of("a"));
  CHECK(table.find(request_of("a")) == nullptr);
  CHECK(table.empty());
  LONGS_EQUAL(1, note("a", "s3", 100, 140).sequential_crashes);
}

TEST(suspect_table_test, requests_have_separate_histories) {
  note("a", "s1", 0, 40);
  note("b", "s1", 0, 40);
  LONGS_EQUAL(1, table.find(request_of("a"))->servers.size());
  CHECK(table.find(request_of("c")) == nullptr);
}

TEST(suspect_table_test, entry_with_fewest_crashes_then_oldest_is_evicted) {
  note("strong", "s1", 0, 10);
  note("strong", "s2", 10, 20);
  note("old", "s1", 0, 30);
  note("new", "s1", 0, 40);
  note("newest", "s1", 0, 50);
  CHECK(table.find(request_of("old")) == nullptr);
  for (char const* kept : {"strong", "new", "newest"}) CHECK(table.find(request_of(kept)));
  LONGS_EQUAL(3, table.size());
}

TEST(suspect_table_test, many_requests_do_not_evict_stronger_evidence) {
  note("strong", "s1", 0, 10);
  note("strong", "s2", 10, 20);
  for (int number = 0; number < 100'000; ++number) {
    note("many-" + std::to_string(number), "s3", 20, 30 + number);
  }
  LONGS_EQUAL(3, table.size());
  LONGS_EQUAL(2, table.find(request_of("strong"))->servers.size());
}

TEST(suspect_table_test, number_of_incarnations_is_bounded) {
  for (int number = 0; number < 100; ++number) {
    note("a", "s" + std::to_string(number), number * 10, number * 10 + 5);
  }
  LONGS_EQUAL(suspect_table::k_max_servers, table.find(request_of("a"))->servers.size());
}

TEST(suspect_table_test, expired_entries_are_dropped) {
  note("a", "s1", 0, 40);
  note("b", "s1", 0, 400);
  table.expire(start + milliseconds(40));
  CHECK(table.find(request_of("a")) == nullptr);
  CHECK(table.find(request_of("b")) != nullptr);
}

TEST(suspect_table_test, request_is_explained_by_one_with_more_crashes) {
  for (int number = 0; number < 4; ++number) {
    note("poison", "s" + std::to_string(number), number * 50, number * 50 + 40);
  }
  for (int number = 0; number < 3; ++number) {
    note("bystander", "s" + std::to_string(number), number * 50, number * 50 + 40);
  }
  auto const nobody = [](fingerprint const&) { return false; };
  CHECK(table.is_explained_by_others(request_of("bystander"), nobody));
  CHECK(!table.is_explained_by_others(request_of("poison"), nobody));
}

TEST(suspect_table_test, one_unexplained_crash_is_enough) {
  for (int number = 0; number < 4; ++number) {
    note("poison", "s" + std::to_string(number), number * 50, number * 50 + 40);
  }
  note("second", "s1", 50, 90);
  note("second", "s2", 100, 140);
  note("second", "s9", 300, 340);
  CHECK(!table.is_explained_by_others(request_of("second"),
                                      [](fingerprint const&) { return false; }));
}

TEST(suspect_table_test, known_poison_request_explains_equal_number_of_crashes) {
  for (char const* body : {"poison", "bystander"}) {
    for (int number = 0; number < 3; ++number) {
      note(body, "s" + std::to_string(number), number * 50, number * 50 + 40);
    }
  }
  CHECK(!table.is_explained_by_others(request_of("bystander"),
                                      [](fingerprint const&) { return false; }));
  CHECK(table.is_explained_by_others(request_of("bystander"), [](fingerprint const& other) {
    return other == request_of("poison");
  }));
}

TEST(suspect_table_test, threshold_time_is_kept_when_more_crashes_follow) {
  CHECK(!note("a", "s1", 0, 40).threshold_reached_at);
  CHECK(!note("a", "s2", 45, 90).threshold_reached_at);
  CHECK(note("a", "s3", 90, 130).threshold_reached_at == start + milliseconds(130));
  CHECK(note("a", "s4", 140, 180).threshold_reached_at == start + milliseconds(130));
}

TEST(suspect_table_test, all_crashes_of_a_poison_request_explain_others) {
  for (int server = 0; server < 20; ++server) {
    note("poison", "s" + std::to_string(server), 50 * server, 50 * server + 40);
  }
  for (int server = 17; server < 20; ++server) {
    note("bystander", "s" + std::to_string(server), 50 * server, 50 * server + 40);
  }
  auto const none = [](fingerprint const&) { return false; };
  CHECK(table.is_explained_by_others(request_of("bystander"), none));
  CHECK(!table.is_explained_by_others(request_of("poison"), none));
}
