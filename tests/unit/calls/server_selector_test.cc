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

TEST_GROUP(server_selector_pace_test) {
  bool avoids_slow_servers = true;
  server_selector selector{"", 1, [this] { return avoids_slow_servers; }};
  time_point now = boot_clock::now();
  std::vector<directory::server> servers;
  std::vector<directory::server const*> candidates;
  /// Time that each server takes for an answer.
  std::map<std::string, milliseconds> times;
  /// Load report of each answer; empty for none.
  std::map<std::string, std::string> reports;
  /// Servers that fail every second answer.
  std::set<std::string> gray;
  /// Requests under way: server and start, by the time of their answer.
  std::multimap<time_point, std::pair<std::string, time_point>> under_way;
  std::map<std::string, std::size_t> calls;
  std::size_t answers = 0;

  void make(std::size_t count) {
    servers.clear();
    candidates.clear();
    for (std::size_t index = 0; index < count; ++index) {
      directory::server server;
      server.id = "app-" + std::to_string(10 + index);
      server.service = "apps";
      server.slots = 6;
      servers.push_back(server);
      times.try_emplace(server.id, 50);
    }
    for (auto const& server : servers) candidates.push_back(&server);
  }

  std::string const& id(std::size_t index) { return servers.at(index).id; }

  void end_answered() {
    while (!under_way.empty() && under_way.begin()->first <= now) {
      auto const [at, request] = *under_way.begin();
      auto const& [server, begun] = request;
      bool const failed = gray.contains(server) && ++answers % 2 == 0;
      auto const took = std::chrono::duration_cast<milliseconds>(at - begun);
      selector.paces().note_answer({"apps", "lookups"}, server, took, failed, at);
      if (reports.contains(server)) selector.paces().note_report(server, reports[server], at);
      selector.note_answer(server);
      under_way.erase(under_way.begin());
    }
  }

  /// Sends one request every `gap` for a time, and counts the calls of each server in `calls`.
  void run(milliseconds duration, milliseconds gap = milliseconds(12), double probe_share = 0) {
    calls.clear();
    for (time_point const end = now + duration; now < end; now += gap) {
      end_answered();
      auto const* server = selector.pick(candidates, {}, now, probe_share);
      CHECK(server != nullptr);
      ++calls[server->id];
      selector.note_sent(server->id);
      under_way.emplace(now + times[server->id], std::pair(server->id, now));
    }
  }

  std::size_t all_calls() {
    std::size_t sum = 0;
    for (auto const& [server, count] : calls) sum += count;
    return sum;
  }
};

TEST(server_selector_pace_test, two_fifths_of_the_servers_six_times_as_slow_get_few_calls) {
  make(10);
  for (std::size_t index = 0; index < 4; ++index) times[id(index)] = milliseconds(300);
  run(seconds(2));
  run(seconds(10));
  std::size_t slow_calls = 0;
  for (std::size_t index = 0; index < 4; ++index) slow_calls += calls[id(index)];
  CHECK(slow_calls * 10 < all_calls());
}

TEST(server_selector_pace_test, selection_is_unchanged_while_the_feature_is_off) {
  make(10);
  avoids_slow_servers = false;
  server_selector unmeasured{"", 1};
  times[id(3)] = milliseconds(300);
  reports[id(4)] = "100,100,6,1000";
  for (int call = 0; call < 500; ++call) {
    now += milliseconds(12);
    auto const* expected = unmeasured.pick(candidates, {}, now);
    auto const* server = selector.pick(candidates, {}, now, 0.1);
    POINTERS_EQUAL(expected, server);
    selector.paces().note_answer({"apps", "lookups"}, server->id, times[server->id], call % 3 == 0,
                                 now);
    selector.paces().note_report(server->id, reports[server->id], now);
    selector.note_received({server->id, 10.0, milliseconds(0)}, now);
    for (auto* each : {&selector, &unmeasured}) {
      each->note_sent(server->id);
      if (call % 2 == 0) each->note_answer(server->id);
    }
  }
  CHECK(selector.slow_servers(now).empty());
  LONGS_EQUAL(0, selector.pace_counters().on_probation);
}

TEST(server_selector_pace_test, gray_server_that_fails_half_of_its_answers_gets_few_calls) {
  make(6);
  gray = {id(2)};
  run(seconds(2));
  run(seconds(10));
  CHECK(calls[id(2)] * 20 < all_calls());
}

TEST(server_selector_pace_test, flapping_server_is_avoided_while_it_is_slow_and_used_while_fast) {
  make(6);
  std::size_t slow_calls = 0;
  std::size_t fast_calls = 0;
  std::size_t calls_per_state = 0;
  for (int phase = 0; phase < 6; ++phase) {
    bool const slow = phase % 2 == 0;
    times[id(0)] = milliseconds(slow ? 300 : 50);
    run(seconds(8));
    (slow ? slow_calls : fast_calls) += calls[id(0)];
    if (slow) calls_per_state += all_calls();
  }
  // Outstanding requests alone would also send it fewer calls while it is slow, but more than this.
  CHECK(slow_calls * 50 < calls_per_state);
  CHECK(fast_calls * 20 > calls_per_state);
}

TEST(server_selector_pace_test, all_servers_slow_at_once_are_all_used_and_nothing_is_refused) {
  make(6);
  run(seconds(2));
  for (auto& [server, took] : times) took = milliseconds(300);
  run(seconds(10), milliseconds(9));
  for (std::size_t index = 0; index < 6; ++index) CHECK(calls[id(index)] * 12 > all_calls());
}

TEST(server_selector_pace_test, server_on_probation_is_used_if_no_other_has_a_free_slot) {
  make(3);
  times[id(1)] = milliseconds(300);
  run(seconds(2));
  CHECK(selector.paces().on_probation(id(1)));
  now += milliseconds(500);
  end_answered();
  std::map<std::string, std::size_t> sent;
  for (int call = 0; call < 13; ++call) {
    std::string const server = selector.pick(candidates, {}, now)->id;
    selector.note_sent(server);
    ++sent[server];
  }
  LONGS_EQUAL(6, sent[id(0)]);
  LONGS_EQUAL(6, sent[id(2)]);
  LONGS_EQUAL(1, sent[id(1)]);
}

TEST(server_selector_pace_test, probes_are_bounded_by_rate_and_share) {
  make(6);
  times[id(0)] = milliseconds(300);
  run(seconds(2), milliseconds(12), 0.1);
  run(seconds(10), milliseconds(12), 0.1);
  CHECK(calls[id(0)] >= 5);
  CHECK(calls[id(0)] <= 11);
  // With a call every 500 ms, one in ten may be a probe.
  run(seconds(20), milliseconds(500), 0.1);
  CHECK(calls[id(0)] <= all_calls() / 5);
}

TEST(server_selector_pace_test, recovered_server_gets_traffic_again_within_seconds) {
  for (double const probe_share : {0.0, 0.1}) {
    make(6);
    times[id(0)] = milliseconds(300);
    run(seconds(4), milliseconds(12), probe_share);
    times[id(0)] = milliseconds(50);
    run(seconds(6), milliseconds(12), probe_share);
    run(seconds(2), milliseconds(12), probe_share);
    CHECK(calls[id(0)] * 12 > all_calls());
  }
}

TEST(server_selector_pace_test, new_server_without_figures_gets_its_share) {
  make(5);
  run(seconds(3));
  make(6);
  run(seconds(3));
  CHECK(calls[id(5)] * 12 > all_calls());
  CHECK(calls[id(5)] * 3 < all_calls());
}

TEST(server_selector_pace_test, server_that_reports_no_load_does_not_attract_all_calls) {
  make(6);
  reports[id(0)] = "0,0,1000000,25";
  run(seconds(5), milliseconds(3));
  CHECK(calls[id(0)] * 3 < all_calls());
}

TEST(server_selector_pace_test, server_that_reports_no_load_while_it_is_slow_is_avoided) {
  make(6);
  times[id(0)] = milliseconds(300);
  reports[id(0)] = "0,0,1000000,25";
  run(seconds(2));
  run(seconds(5));
  CHECK(calls[id(0)] * 50 < all_calls());
}

TEST(server_selector_pace_test, server_that_reports_a_huge_load_still_gets_calls) {
  make(6);
  reports[id(0)] = "1000000,1000000,1,1000";
  run(seconds(5));
  CHECK(calls[id(0)] > 5);
}

TEST(server_selector_pace_test, fresh_report_of_a_full_server_moves_calls_to_others) {
  make(3);
  run(seconds(1));
  selector.paces().note_report(id(0), "6,3,6", now);
  run(milliseconds(200));
  LONGS_EQUAL(0, calls[id(0)]);
}

TEST(server_selector_pace_test, nodes_with_the_same_figures_choose_different_servers) {
  make(12);
  std::map<std::string, std::size_t> chosen;
  for (std::uint64_t node = 0; node < 600; ++node) {
    server_selector each{"", hash_bytes("node-" + std::to_string(node)), [] { return true; }};
    for (std::size_t index = 0; index < 4; ++index)
      each.note_received({id(index), 6.0, milliseconds(700)}, now);
    ++chosen[each.pick(candidates, {}, now)->id];
  }
  // Nobody chooses the servers that are known to be slow, and the others have 75 nodes each on
  // average.
  for (std::size_t index = 0; index < 12; ++index) {
    CHECK_EQUAL(index < 4, chosen[id(index)] == 0);
    CHECK(chosen[id(index)] < 150);
  }
}

TEST(server_selector_pace_test, restart_of_a_slow_server_ends_its_probation) {
  make(6);
  times[id(0)] = milliseconds(300);
  run(seconds(3));
  CHECK(!selector.slow_servers(now).empty());
  selector.note_restart(id(0));
  CHECK(selector.slow_servers(now).empty());
  times[id(0)] = milliseconds(50);
  run(seconds(2));
  CHECK(calls[id(0)] * 12 > all_calls());
}
