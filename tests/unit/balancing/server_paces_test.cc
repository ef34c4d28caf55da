/// @file Tests for the measurement of servers' paces and for probations.

#include "balancing/server_paces.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace frostline;
using namespace frostline::balancing;

TEST_GROUP(server_paces_test) {
  server_paces paces;
  time_point now = boot_clock::now();
  std::vector<directory::server> servers;
  std::vector<directory::server const*> ready;
  /// Time that each server takes for an answer.
  std::map<std::string, milliseconds> times;

  static constexpr work_kind k_work{"apps", "lookups"};

  void make(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
      directory::server server;
      server.id = "app-" + std::to_string(10 + index);
      server.service = "apps";
      server.slots = 6;
      servers.push_back(server);
      times[server.id] = milliseconds(50);
    }
    for (auto const& server : servers) ready.push_back(&server);
  }

  std::string const& id(std::size_t index) { return servers.at(index).id; }

  void refresh() { paces.refresh("apps", ready, now); }

  /// Each server answers once per round; a round takes 200 ms.
  void answer_rounds(std::size_t rounds) {
    for (std::size_t round = 0; round < rounds; ++round) {
      now += milliseconds(200);
      for (auto const& [server, took] : times) paces.note_answer(k_work, server, took, false, now);
      refresh();
    }
  }

  std::size_t on_probation() { return paces.counters().on_probation; }
};

TEST(server_paces_test, servers_without_measurements_are_typical) {
  make(3);
  refresh();
  DOUBLES_EQUAL(1, paces.pace(id(0), now), 0.001);
  LONGS_EQUAL(0, on_probation());
}

TEST(server_paces_test, two_fifths_of_the_servers_six_times_as_slow_are_recognized) {
  make(10);
  for (std::size_t index = 0; index < 4; ++index) times[id(index)] = milliseconds(300);
  answer_rounds(5);
  for (std::size_t index = 0; index < 10; ++index) {
    CHECK_EQUAL(index < 4, paces.pace(id(index), now) >= server_paces::k_probation_pace);
    if (index >= 4) CHECK(!paces.on_probation(id(index)));
  }
  // At most a third of the ready servers.
  LONGS_EQUAL(3, on_probation());
}

TEST(server_paces_test, slow_servers_beyond_the_bound_do_not_take_turns_on_probation) {
  make(10);
  for (std::size_t index = 0; index < 4; ++index) times[id(index)] = milliseconds(300);
  answer_rounds(10);
  paces.take_changes();
  // Servers on probation answer less often than the fourth slow one, so their paces decay.
  for (int probe = 0; probe < 10; ++probe) {
    for (std::size_t index = 0; index < 4; ++index) {
      if (paces.on_probation(id(index))) times.erase(id(index));
    }
    answer_rounds(4);
    for (std::size_t index = 0; index < 4; ++index) times[id(index)] = milliseconds(300);
    answer_rounds(1);
  }
  LONGS_EQUAL(3, on_probation());
  LONGS_EQUAL(0, paces.take_changes().size());
}

TEST(server_paces_test, change_is_visible_within_a_few_responses) {
  make(6);
  answer_rounds(10);
  times[id(0)] = milliseconds(300);
  answer_rounds(1);
  CHECK(paces.on_probation(id(0)));
  LONGS_EQUAL(1, on_probation());
}

TEST(server_paces_test, gray_server_that_fails_half_of_its_answers_is_put_on_probation) {
  make(6);
  for (int round = 0; round < 10; ++round) {
    now += milliseconds(200);
    for (std::size_t index = 0; index < 6; ++index) {
      bool const failed = index == 2 && round % 2 == 0;
      paces.note_answer(k_work, id(index), milliseconds(failed ? 1 : 50), failed, now);
    }
    refresh();
  }
  LONGS_EQUAL(1, on_probation());
  CHECK(paces.on_probation(id(2)));
  auto const changes = paces.take_changes();
  LONGS_EQUAL(1, changes.size());
  CHECK_EQUAL(id(2), changes[0].server);
  CHECK(changes[0].begun);
  CHECK(changes[0].cause == "failures");
  // A fast failure must not make the server look fast.
  DOUBLES_EQUAL(1, paces.pace(id(2), now), 0.01);
  auto const reported = paces.slow_servers(now);
  LONGS_EQUAL(1, reported.size());
  DOUBLES_EQUAL(server_paces::k_failing_pace, reported[0].pace, 0.001);
}

TEST(server_paces_test, three_failures_are_too_few_for_a_probation) {
  make(3);
  for (int failure = 0; failure < 3; ++failure) paces.note_result(id(0), true, now);
  refresh();
  CHECK(!paces.on_probation(id(0)));
  paces.note_result(id(0), true, now);
  now += server_paces::k_refresh_interval;
  refresh();
  CHECK(paces.on_probation(id(0)));
}

TEST(server_paces_test, flapping_server_causes_a_bounded_number_of_log_lines) {
  make(6);
  answer_rounds(10);
  paces.take_changes();
  std::size_t lines = 0;
  for (int half_second = 0; half_second < 40; ++half_second) {
    times[id(0)] = milliseconds(half_second % 2 == 0 ? 500 : 50);
    for (int round = 0; round < 5; ++round) {
      now += milliseconds(100);
      for (auto const& [server, took] : times) paces.note_answer(k_work, server, took, false, now);
      refresh();
      CHECK(on_probation() <= 1);
      for (std::size_t index = 1; index < 6; ++index) CHECK(!paces.on_probation(id(index)));
    }
    lines += paces.take_changes().size();
  }
  CHECK(lines > 0);
  CHECK(lines <= 40);
}

TEST(server_paces_test, log_lines_are_bounded_when_many_servers_change_at_once) {
  make(90);
  for (std::size_t index = 0; index < 30; ++index) times[id(index)] = milliseconds(300);
  answer_rounds(5);
  LONGS_EQUAL(30, on_probation());
  CHECK(paces.take_changes().size() <= 8);
  LONGS_EQUAL(30, paces.counters().probations);
}

TEST(server_paces_test, all_servers_slow_at_once_are_typical) {
  make(9);
  answer_rounds(10);
  for (auto& [server, took] : times) took = milliseconds(300);
  for (int round = 0; round < 20; ++round) {
    now += milliseconds(200);
    for (auto const& [server, took] : times) {
      paces.note_answer(k_work, server, took, false, now);
      now += milliseconds(10);
      refresh();
      CHECK(on_probation() <= 3);
    }
  }
  LONGS_EQUAL(0, on_probation());
}

TEST(server_paces_test, one_of_two_servers_can_be_on_probation_but_not_the_only_one) {
  make(2);
  times[id(1)] = milliseconds(300);
  answer_rounds(3);
  CHECK(paces.on_probation(id(1)));
  ready.pop_back();
  ready[0] = &servers[1];
  answer_rounds(1);
  LONGS_EQUAL(0, on_probation());
}

TEST(server_paces_test, recovered_server_is_released_by_its_answers) {
  make(6);
  times[id(0)] = milliseconds(300);
  answer_rounds(10);
  CHECK(paces.on_probation(id(0)));
  times[id(0)] = milliseconds(50);
  answer_rounds(6);
  CHECK(!paces.on_probation(id(0)));
  CHECK(paces.take_changes().back().cause == "recovered");
}

TEST(server_paces_test, measurements_decay_and_expire_without_answers) {
  make(6);
  times[id(0)] = milliseconds(300);
  answer_rounds(20);
  times.erase(id(0));
  double const at_first = paces.pace(id(0), now);
  CHECK(at_first > 5.5);
  answer_rounds(15);
  DOUBLES_EQUAL(1 + (at_first - 1) / 2, paces.pace(id(0), now), 0.1);
  answer_rounds(15);
  DOUBLES_EQUAL(1, paces.pace(id(0), now), 0.001);
  CHECK(!paces.on_probation(id(0)));
}

TEST(server_paces_test, abandoned_attempts_reveal_a_server_that_does_not_answer) {
  make(6);
  answer_rounds(5);
  times.erase(id(0));
  for (int attempt = 0; attempt < 3; ++attempt) {
    answer_rounds(1);
    paces.note_late(k_work, id(0), milliseconds(300), now);
  }
  answer_rounds(1);
  CHECK(paces.on_probation(id(0)));
}

TEST(server_paces_test, early_abandoned_attempts_say_nothing) {
  make(6);
  answer_rounds(5);
  double const before = paces.pace(id(0), now);
  for (int attempt = 0; attempt < 50; ++attempt)
    paces.note_late(k_work, id(0), milliseconds(1), now);
  DOUBLES_EQUAL(before, paces.pace(id(0), now), 0.001);
}

TEST(server_paces_test, routes_with_more_work_do_not_make_a_server_slow) {
  make(4);
  for (int round = 0; round < 20; ++round) {
    now += milliseconds(100);
    for (std::size_t index = 0; index < 4; ++index) {
      paces.note_answer(k_work, id(index), milliseconds(25), false, now);
      // Only servers 0 and 1 run the route with eight times the work.
      if (index < 2)
        paces.note_answer({"apps", "scores"}, id(index), milliseconds(200), false, now);
    }
    refresh();
    LONGS_EQUAL(0, on_probation());
  }
  DOUBLES_EQUAL(1, paces.pace(id(0), now), 0.01);
}

TEST(server_paces_test, new_routes_are_measured_after_many_others) {
  make(2);
  for (int route = 0; route < 100; ++route) {
    std::string const name = "route-" + std::to_string(route);
    now += seconds(1);
    paces.note_answer({"apps", name}, id(0), milliseconds(300), false, now);
    paces.note_answer({"apps", name}, id(1), milliseconds(50), false, now);
  }
  refresh();
  CHECK(paces.pace(id(0), now) > server_paces::k_probation_pace);
}

TEST(server_paces_test, one_slow_answer_of_a_new_server_does_not_count_fully) {
  make(6);
  times.erase(id(5));
  answer_rounds(5);
  paces.note_answer(k_work, id(5), milliseconds(150), false, now);
  DOUBLES_EQUAL(1.6, paces.pace(id(5), now), 0.01);
}

TEST(server_paces_test, absent_malformed_huge_and_negative_reports_have_no_effect) {
  make(2);
  for (char const* text : {"", "x", "-1,0,6", "1000001,0,6", "1,1,0", "1,2,3,4,5"})
    paces.note_report(id(0), text, now);
  LONGS_EQUAL(6, paces.counters().reports_ignored);
  LONGS_EQUAL(0, paces.counters().reports_read);
  LONGS_EQUAL(0, paces.standing(id(0), 6, now).reported_load);
  DOUBLES_EQUAL(1, paces.pace(id(0), now), 0.001);
}

TEST(server_paces_test, report_holds_for_a_quarter_of_a_second) {
  make(2);
  paces.note_report(id(0), "4,1,6,150", now);
  LONGS_EQUAL(5, paces.standing(id(0), 6, now).reported_load);
  DOUBLES_EQUAL(1.5, paces.pace(id(0), now), 0.001);
  now += server_paces::k_report_time;
  LONGS_EQUAL(0, paces.standing(id(0), 6, now).reported_load);
  DOUBLES_EQUAL(1, paces.pace(id(0), now), 0.001);
}

TEST(server_paces_test, report_of_a_huge_load_counts_as_twice_the_slots) {
  make(2);
  paces.note_report(id(0), "1000000,1000000,1", now);
  LONGS_EQUAL(12, paces.standing(id(0), 6, now).reported_load);
}

TEST(server_paces_test, report_alone_cannot_end_a_probation) {
  make(6);
  times[id(0)] = milliseconds(300);
  for (int round = 0; round < 10; ++round) {
    answer_rounds(1);
    paces.note_report(id(0), "0,0,6,25", now);
  }
  answer_rounds(1);
  CHECK(paces.on_probation(id(0)));
}

TEST(server_paces_test, received_pace_counts_until_it_is_four_seconds_old) {
  make(6);
  paces.note_received({id(0), 6.0, milliseconds(500)}, now);
  refresh();
  CHECK(paces.on_probation(id(0)));
  auto const passed_on = paces.slow_servers(now + milliseconds(500));
  LONGS_EQUAL(1, passed_on.size());
  LONGS_EQUAL(1000, passed_on[0].age.count());
  DOUBLES_EQUAL(6, passed_on[0].pace, 0.001);
  now += milliseconds(3500);
  refresh();
  CHECK(!paces.on_probation(id(0)));
  DOUBLES_EQUAL(1, paces.pace(id(0), now), 0.001);
  CHECK(paces.slow_servers(now).empty());
}

TEST(server_paces_test, newer_measurement_holds) {
  make(6);
  answer_rounds(5);
  paces.note_received({id(0), 6.0, milliseconds(100)}, now);
  DOUBLES_EQUAL(1, paces.pace(id(0), now), 0.01);
  now += milliseconds(500);
  paces.note_received({id(0), 6.0, milliseconds(100)}, now);
  CHECK(paces.pace(id(0), now) > 5);
  // An older entry that takes a longer way changes nothing.
  paces.note_received({id(0), 2.0, milliseconds(300)}, now);
  CHECK(paces.pace(id(0), now) > 5);
  paces.note_answer(k_work, id(0), milliseconds(50), false, now);
  DOUBLES_EQUAL(1, paces.pace(id(0), now), 0.01);
}

TEST(server_paces_test, received_entries_out_of_bounds_are_ignored) {
  make(3);
  for (slow_server const& entry :
       {slow_server{id(0), 0.5, milliseconds(0)}, slow_server{id(0), 101.0, milliseconds(0)},
        slow_server{id(0), 5.0, milliseconds(-1)}, slow_server{id(0), 5.0, milliseconds(4000)}}) {
    paces.note_received(entry, now);
    DOUBLES_EQUAL(1, paces.pace(id(0), now), 0.001);
  }
}

TEST(server_paces_test, two_nodes_do_not_keep_each_others_measurements_alive) {
  make(3);
  server_paces other;
  paces.note_received({id(0), 6.0, milliseconds(0)}, now);
  for (int poll = 0; poll < 6; ++poll) {
    now += milliseconds(350);
    for (auto const& entry : paces.slow_servers(now)) other.note_received(entry, now);
    now += milliseconds(350);
    for (auto const& entry : other.slow_servers(now)) paces.note_received(entry, now);
  }
  CHECK(paces.slow_servers(now).empty());
  CHECK(other.slow_servers(now).empty());
}

TEST(server_paces_test, slowest_servers_are_reported_first_and_at_most_32) {
  make(80);
  for (std::size_t index = 0; index < 80; ++index)
    paces.note_received({id(index), 2.0 + static_cast<double>(index), milliseconds(0)}, now);
  auto const slow = paces.slow_servers(now);
  LONGS_EQUAL(server_paces::k_max_reported, slow.size());
  DOUBLES_EQUAL(81, slow.front().pace, 0.001);
  DOUBLES_EQUAL(50, slow.back().pace, 0.001);
}

TEST(server_paces_test, restart_clears_measurements) {
  make(6);
  times[id(0)] = milliseconds(300);
  answer_rounds(5);
  paces.forget(id(0));
  DOUBLES_EQUAL(1, paces.pace(id(0), now), 0.001);
  CHECK(!paces.on_probation(id(0)));
}

TEST(server_paces_test, servers_that_left_the_directory_are_removed) {
  make(6);
  times[id(0)] = milliseconds(300);
  answer_rounds(5);
  directory::server_directory directory;
  directory.replace_all({servers.begin() + 1, servers.end()});
  paces.clean(directory);
  LONGS_EQUAL(0, on_probation());
  CHECK(paces.slow_servers(now).empty());
}

TEST(server_paces_test, number_of_servers_in_memory_is_bounded) {
  for (int index = 0; index < 20'000; ++index)
    paces.note_received({"unknown-" + std::to_string(index), 6.0, milliseconds(0)}, now);
  make(1);
  paces.note_result(id(0), true, now);
  LONGS_EQUAL(server_paces::k_max_reported, paces.slow_servers(now).size());
}
