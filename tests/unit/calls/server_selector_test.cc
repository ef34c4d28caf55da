/// @file Which server an attempt goes to.

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
      directory::server one;
      one.id = "server-" + std::to_string(index);
      one.zone = index < 3 ? "a" : "b";
      one.slots = 4;
      servers.push_back(one);
    }
    for (auto const& one : servers) candidates.push_back(&one);
  }

  std::string pick(std::set<std::string> const& tried = {}) {
    auto const* found = selector.pick(candidates, tried, now);
    return found == nullptr ? "" : found->id;
  }

  /// How many servers ten calls, one after the other, go to.
  std::size_t spread_of_calls(bool swift) {
    std::set<std::string> used;
    for (int call = 0; call < 10; ++call) {
      std::string const id = pick();
      used.insert(id);
      selector.note_sent(id);
      now += milliseconds(500);
      if (swift) {
        selector.note_swift_answer(id, now);
      } else {
        selector.note_answer(id);
      }
    }
    return used.size();
  }
};

TEST(server_selector_test, calls_one_after_the_other_go_where_a_connection_is_open) {
  LONGS_EQUAL(1, spread_of_calls(true));
}

TEST(server_selector_test, server_that_takes_long_is_not_kept_to) {
  CHECK(spread_of_calls(false) > 1);
}

TEST(server_selector_test, calls_at_the_same_time_spread_over_servers) {
  selector.note_sent("server-0");
  selector.note_swift_answer("server-0", now);
  STRCMP_EQUAL("server-0", pick().c_str());
  selector.note_sent("server-0");
  CHECK(pick() != "server-0");
}

TEST(server_selector_test, own_zone_goes_before_an_open_connection_elsewhere) {
  selector.note_sent("server-4");
  selector.note_swift_answer("server-4", now);
  CHECK(pick() < "server-3");
}

TEST(server_selector_test, server_that_failed_is_left_out_and_not_kept_to_afterwards) {
  selector.note_sent("server-1");
  selector.note_swift_answer("server-1", now);
  selector.note_sent("server-1");
  selector.note_failure("server-1", now);
  CHECK(pick() != "server-1");
  CHECK(pick({"server-0", "server-2", "server-3", "server-4", "server-5"}) == "server-1");
}

TEST(server_selector_test, connection_that_rested_for_long_gives_no_preference) {
  selector.note_sent("server-2");
  selector.note_swift_answer("server-2", now);
  now += seconds(30);
  std::set<std::string> picked;
  for (int call = 0; call < 40; ++call) picked.insert(pick());
  LONGS_EQUAL(3, picked.size());
}

TEST(server_selector_test, requests_that_broke_elsewhere_are_kept_apart_while_they_last) {
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
      directory::server one;
      one.id = "server-" + std::to_string(100'000 + index);
      one.slots = 2;
      servers.push_back(one);
    }
    for (auto const& one : servers) candidates.push_back(&one);
  }
};

TEST(server_selector_size_test, choice_costs_the_same_before_ten_times_as_many_servers) {
  for (std::size_t const count : {700, 7777}) {
    make(count);
    server_selector selector{"a", hash_bytes("node-1")};
    CHECK(selector.pick(candidates, {}, now) != nullptr);
    LONGS_EQUAL(server_selector::k_compared, selector.compared());
  }
}

TEST(server_selector_size_test, call_finds_the_only_free_server_of_many) {
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
