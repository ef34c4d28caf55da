/// @file Tests for the selection of a server for an attempt.

#include "calls/server_selector.h"

#include <CppUTest/TestHarness.h>

#include "base/encoding.h"

using namespace frostline;
using namespace frostline::calls;

TEST_GROUP(server_selector_test) {
  server_selector selector{"a", 1};
  time_point now = boot_clock::now();
  std::vector<directory::server> servers;
  std::vector<directory::server const*> candidates;

  void setup() override {
    for (int index = 0; index < 6; ++index) {
      directory::server server;
      server.id = "server-" + std::to_string(index);
      server.zone = index < 3 ? "a" : "b";
      server.slots = 4;
      servers.push_back(server);
    }
    for (auto const& server : servers) candidates.push_back(&server);
  }

  std::string pick(std::set<std::string> const& tried = {}) {
    auto const* found = selector.pick(candidates, tried, now);
    return found == nullptr ? "" : found->id;
  }

  /// Returns the number of servers used by ten sequential calls.
  std::size_t spread_of_calls(bool fast) {
    std::set<std::string> used;
    for (int call = 0; call < 10; ++call) {
      std::string const id = pick();
      used.insert(id);
      selector.note_sent(id);
      now += milliseconds(500);
      if (fast) {
        selector.note_fast_answer(id, now);
      } else {
        selector.note_answer(id);
      }
    }
    return used.size();
  }
};

TEST(server_selector_test, sequential_calls_reuse_the_server_with_a_warm_connection) {
  LONGS_EQUAL(1, spread_of_calls(true));
}

TEST(server_selector_test, slow_server_is_not_preferred) { CHECK(spread_of_calls(false) > 1); }

TEST(server_selector_test, concurrent_calls_are_spread_over_servers) {
  selector.note_sent("server-0");
  selector.note_fast_answer("server-0", now);
  STRCMP_EQUAL("server-0", pick().c_str());
  selector.note_sent("server-0");
  CHECK(pick() != "server-0");
}

TEST(server_selector_test, own_zone_is_preferred_over_a_warm_connection_elsewhere) {
  selector.note_sent("server-4");
  selector.note_fast_answer("server-4", now);
  CHECK(pick() < "server-3");
}

TEST(server_selector_test, failed_server_is_avoided_while_others_are_available) {
  selector.note_sent("server-1");
  selector.note_fast_answer("server-1", now);
  selector.note_sent("server-1");
  selector.note_failure("server-1", now);
  CHECK(pick() != "server-1");
  CHECK(pick({"server-0", "server-2", "server-3", "server-4", "server-5"}) == "server-1");
}

TEST(server_selector_test, long_idle_connection_gives_no_preference) {
  selector.note_sent("server-2");
  selector.note_fast_answer("server-2", now);
  now += seconds(30);
  std::set<std::string> picked;
  for (int call = 0; call < 40; ++call) picked.insert(pick());
  LONGS_EQUAL(3, picked.size());
}

TEST(server_selector_test, suspect_requests_are_isolated_until_they_end) {
  std::vector<std::shared_ptr<void>> held;
  std::set<std::string> used;
  for (std::size_t request = 0; request < candidates.size(); ++request) {
    std::string const id = pick();
    used.insert(id);
    held.push_back(selector.isolate(id));
  }
  LONGS_EQUAL(candidates.size(), used.size());
  held[2].reset();
  std::string const free_again = pick();
  for (int call = 0; call < 10; ++call) {
    selector.note_sent(free_again);
    STRCMP_EQUAL(free_again.c_str(), pick().c_str());
  }
}

TEST_GROUP(server_selector_size_test) {
  std::vector<directory::server> servers;
  std::vector<directory::server const*> candidates;
  time_point now = boot_clock::now();

  void make(std::size_t count) {
    servers.clear();
    candidates.clear();
    for (std::size_t index = 0; index < count; ++index) {
      directory::server server;
      server.id = "server-" + std::to_string(100'000 + index);
      server.slots = 2;
      servers.push_back(server);
    }
    for (auto const& server : servers) candidates.push_back(&server);
  }
};

TEST(server_selector_size_test, number_of_comparisons_is_independent_of_the_number_of_servers) {
  for (std::size_t const count : {700, 7777}) {
    make(count);
    server_selector selector{"a", hash_bytes("node-1")};
    CHECK(selector.pick(candidates, {}, now) != nullptr);
    LONGS_EQUAL(server_selector::k_candidates_per_round, selector.compared_count());
  }
}

TEST(server_selector_size_test, only_server_with_a_free_slot_is_found) {
  make(1000);
  server_selector selector{"a", hash_bytes("node-1")};
  for (std::size_t index = 0; index < servers.size(); ++index) {
    if (index == 700) continue;
    for (std::uint32_t slot = 0; slot < servers[index].slots; ++slot) {
      selector.note_sent(servers[index].id);
    }
  }
  STRCMP_EQUAL(servers[700].id.c_str(), selector.pick(candidates, {}, now)->id.c_str());
}

TEST(server_selector_size_test, nodes_spread_their_calls_over_all_servers) {
  make(1000);
  std::set<std::string> used;
  for (int node = 0; node < 100; ++node) {
    server_selector selector{"a", hash_bytes("node-" + std::to_string(node))};
    for (int call = 0; call < 50; ++call) {
      std::string const id = selector.pick(candidates, {}, now)->id;
      selector.note_sent(id);
      used.insert(id);
    }
  }
  CHECK(used.size() > 900);
}
