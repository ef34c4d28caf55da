/// @file What is held against a request, and what clears it.

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

  /// A run of a request at a server, from one time to the server's end, in ms.
  suspicion note(std::string const& body, std::string const& server, int sent, int ended) {
    return table.note(
        {request_of(body), server, start + milliseconds(sent), start + milliseconds(ended)});
  }
};

TEST(suspect_table_test, servers_that_end_one_after_the_other_are_counted_in_turn) {
  LONGS_EQUAL(1, note("a", "s1", 0, 40).in_turn);
  LONGS_EQUAL(2, note("a", "s2", 45, 90).in_turn);
  LONGS_EQUAL(3, note("a", "s3", 90, 130).in_turn);
  LONGS_EQUAL(3, table.find(request_of("a"))->servers.size());
}

TEST(suspect_table_test, servers_that_end_together_count_once_in_turn) {
  note("a", "s1", 0, 40);
  note("a", "s2", 10, 41);
  auto const known = note("a", "s3", 39, 41);
  LONGS_EQUAL(3, known.servers.size());
  LONGS_EQUAL(1, known.in_turn);
}

TEST(suspect_table_test, same_life_of_a_server_counts_once_whoever_tells_of_it) {
  note("a", "s1", 0, 40);
  auto const known = note("a", "s1", 50, 90);
  LONGS_EQUAL(1, known.servers.size());
  LONGS_EQUAL(1, known.in_turn);
}

TEST(suspect_table_test, answer_clears_all_that_was_known) {
  note("a", "s1", 0, 40);
  note("a", "s2", 45, 90);
  table.clear(request_of("a"));
  CHECK(table.find(request_of("a")) == nullptr);
  CHECK(table.empty());
  LONGS_EQUAL(1, note("a", "s3", 100, 140).in_turn);
}

TEST(suspect_table_test, requests_are_told_apart) {
  note("a", "s1", 0, 40);
  note("b", "s1", 0, 40);
  LONGS_EQUAL(1, table.find(request_of("a"))->servers.size());
  CHECK(table.find(request_of("c")) == nullptr);
}

TEST(suspect_table_test, least_proven_and_oldest_goes_first_when_there_is_no_room) {
  note("proven", "s1", 0, 10);
  note("proven", "s2", 10, 20);
  note("old", "s1", 0, 30);
  note("new", "s1", 0, 40);
  note("newest", "s1", 0, 50);
  CHECK(table.find(request_of("old")) == nullptr);
  for (char const* kept : {"proven", "new", "newest"}) CHECK(table.find(request_of(kept)));
  LONGS_EQUAL(3, table.size());
}

TEST(suspect_table_test, million_different_requests_leave_what_is_proven) {
  note("proven", "s1", 0, 10);
  note("proven", "s2", 10, 20);
  for (int number = 0; number < 100'000; ++number) {
    note("many-" + std::to_string(number), "s3", 20, 30 + number);
  }
  LONGS_EQUAL(3, table.size());
  LONGS_EQUAL(2, table.find(request_of("proven"))->servers.size());
}

TEST(suspect_table_test, lives_that_are_kept_are_bounded) {
  for (int number = 0; number < 100; ++number) {
    note("a", "s" + std::to_string(number), number * 10, number * 10 + 5);
  }
  LONGS_EQUAL(suspect_table::k_most_servers, table.find(request_of("a"))->servers.size());
}

TEST(suspect_table_test, what_was_seen_long_ago_is_forgotten) {
  note("a", "s1", 0, 40);
  note("b", "s1", 0, 400);
  table.expire(start + milliseconds(40));
  CHECK(table.find(request_of("a")) == nullptr);
  CHECK(table.find(request_of("b")) != nullptr);
}

TEST(suspect_table_test, request_that_stood_beside_a_worse_one_is_explained_by_it) {
  for (int number = 0; number < 4; ++number) {
    note("deadly", "s" + std::to_string(number), number * 50, number * 50 + 40);
  }
  for (int number = 0; number < 3; ++number) {
    note("beside", "s" + std::to_string(number), number * 50, number * 50 + 40);
  }
  auto const nobody = [](fingerprint const&) { return false; };
  CHECK(table.is_explained_by_others(request_of("beside"), nobody));
  CHECK(!table.is_explained_by_others(request_of("deadly"), nobody));
}

TEST(suspect_table_test, one_crash_of_its_own_is_enough_against_it) {
  for (int number = 0; number < 4; ++number) {
    note("deadly", "s" + std::to_string(number), number * 50, number * 50 + 40);
  }
  note("second", "s1", 50, 90);
  note("second", "s2", 100, 140);
  note("second", "s9", 300, 340);
  CHECK(!table.is_explained_by_others(request_of("second"),
                                      [](fingerprint const&) { return false; }));
}

TEST(suspect_table_test, condemned_request_explains_as_many_as_it_has) {
  for (char const* body : {"deadly", "beside"}) {
    for (int number = 0; number < 3; ++number) {
      note(body, "s" + std::to_string(number), number * 50, number * 50 + 40);
    }
  }
  CHECK(!table.is_explained_by_others(request_of("beside"),
                                      [](fingerprint const&) { return false; }));
  CHECK(table.is_explained_by_others(request_of("beside"), [](fingerprint const& other) {
    return other == request_of("deadly");
  }));
}

TEST(suspect_table_test, time_of_enough_crashes_stays_when_more_follow) {
  CHECK(!note("a", "s1", 0, 40).enough_at);
  CHECK(!note("a", "s2", 45, 90).enough_at);
  CHECK(note("a", "s3", 90, 130).enough_at == start + milliseconds(130));
  CHECK(note("a", "s4", 140, 180).enough_at == start + milliseconds(130));
}

TEST(suspect_table_test, request_that_ended_many_servers_explains_the_last_of_them_too) {
  for (int server = 0; server < 20; ++server) {
    note("ends", "s" + std::to_string(server), 50 * server, 50 * server + 40);
  }
  for (int server = 17; server < 20; ++server) {
    note("beside", "s" + std::to_string(server), 50 * server, 50 * server + 40);
  }
  auto const none = [](fingerprint const&) { return false; };
  CHECK(table.is_explained_by_others(request_of("beside"), none));
  CHECK(!table.is_explained_by_others(request_of("ends"), none));
}
