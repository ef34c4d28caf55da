/// @file Which engine loads which version next, and where runs are placed.

#include "engines/version_planner.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::engines;

namespace {

directory::server make_engine(std::string const& id,
                              std::map<std::string, std::uint64_t> const& models) {
  directory::server one;
  one.id = id;
  one.service = "pool";
  one.slots = 2;
  one.models = models;
  return one;
}

run_requirements need_of(std::uint64_t min_version, std::string const& group = "g") {
  run_requirements need;
  need.service = "pool";
  need.model = "m";
  need.min_version = min_version;
  need.group = group;
  return need;
}

}  // namespace

TEST_GROUP(version_planner_test) {
  std::vector<directory::server> servers;
  engine_board board;
  model_needs needs;
  planner_options options;
  time_point now{std::chrono::hours(1)};

  void set_engines(std::size_t count, std::map<std::string, std::uint64_t> const& models) {
    servers.clear();
    for (std::size_t index = 0; index < count; ++index) {
      servers.push_back(make_engine("e" + std::to_string(index), models));
    }
    refresh();
  }

  void refresh() {
    std::vector<directory::server const*> all;
    for (auto const& one : servers) all.push_back(&one);
    board.update(all);
  }

  /// Carries planned orders out until none is left. @return how many there were.
  std::size_t load_all() {
    std::size_t count = 0;
    while (true) {
      auto const orders = plan_orders(board, needs, options);
      if (orders.empty()) return count;
      count += orders.size();
      for (auto const& order : orders) board.set_version(order.engine, order.model, order.version);
    }
  }

  std::size_t holding(std::string const& model, std::uint64_t version) {
    std::size_t count = 0;
    for (auto const& [id, one] : board.engines()) {
      if (one.versions.at(model) >= version) ++count;
    }
    return count;
  }
};

TEST(version_planner_test, half_of_the_engines_load_each_version_and_none_falls_behind) {
  set_engines(8, {{"m", 1}});
  for (std::uint64_t version = 2; version < 9; ++version) {
    needs["m"].newest = version;
    CHECK(load_all() <= 4);
    LONGS_EQUAL(4, holding("m", version));
    LONGS_EQUAL(8, holding("m", version - 1));
  }
}

TEST(version_planner_test, all_load_when_jobs_allow_the_newest_version_only) {
  set_engines(4, {{"m", 1}});
  needs["m"].newest = 2;
  needs["m"].slack = 0;
  LONGS_EQUAL(4, load_all());
}

TEST(version_planner_test, no_more_load_at_once_than_may) {
  set_engines(8, {{"m", 1}});
  needs["m"].newest = 3;
  LONGS_EQUAL(2, plan_orders(board, needs, options).size());
  board.begin_load("e0", "m", 3, now);
  LONGS_EQUAL(1, plan_orders(board, needs, options).size());
}

TEST(version_planner_test, model_that_no_engine_can_serve_goes_first) {
  set_engines(6, {{"a", 4}, {"b", 1}, {"c", 4}});
  needs["a"].newest = 5;
  needs["b"].newest = 5;
  needs["c"].newest = 5;
  auto const orders = plan_orders(board, needs, options);
  LONGS_EQUAL(2, orders.size());
  STRCMP_EQUAL("b", orders[0].model.c_str());
}

TEST(version_planner_test, three_models_that_move_on_together_all_stay_served) {
  set_engines(9, {{"a", 1}, {"b", 1}, {"c", 1}});
  for (std::uint64_t version = 2; version < 12; ++version) {
    for (char const* model : {"a", "b", "c"}) needs[model].newest = version;
    load_all();
    for (char const* model : {"a", "b", "c"}) CHECK(holding(model, version - 1) >= 3);
  }
}

TEST(version_planner_test, larger_jobs_get_more_engines) {
  set_engines(9, {{"large", 1}, {"small", 1}});
  needs["large"].demand = 8000;
  needs["small"].demand = 1000;
  for (char const* model : {"large", "small"}) needs[model].newest = 3;
  load_all();
  CHECK(holding("large", 2) > holding("small", 2));
  CHECK(holding("small", 2) >= 2);
}

TEST(version_planner_test, no_more_engines_load_than_samples_can_use) {
  set_engines(40, {{"m", 1}});
  needs["m"] = {2, 0};
  needs["m"].samples = 4;
  // Twelve places for each sample, two on each engine.
  LONGS_EQUAL(24, load_all());
  needs["m"].samples = 1000;
  LONGS_EQUAL(16, load_all());
}

TEST(version_planner_test, draining_engine_gets_no_order) {
  set_engines(2, {{"m", 1}});
  servers[0].state = directory::server_state::draining;
  refresh();
  needs["m"].newest = 3;
  for (auto const& order : plan_orders(board, needs, options)) {
    STRCMP_EQUAL("e1", order.engine.c_str());
  }
}

TEST(version_planner_test, run_goes_to_an_engine_with_an_allowed_version_and_room) {
  set_engines(2, {{"m", 1}});
  servers[1].models["m"] = 2;
  refresh();
  STRCMP_EQUAL("e1", board.choose(need_of(2), now)->server.id.c_str());
  board.note_started("e1", 10, "g");
  board.note_started("e1", 10, "g");
  POINTERS_EQUAL(nullptr, board.choose(need_of(2), now));
  CHECK(board.choose(need_of(1), now) != nullptr);
}

TEST(version_planner_test, load_keeps_out_runs_of_its_own_model_only) {
  set_engines(1, {{"m", 1}, {"other", 1}});
  board.begin_load("e0", "other", 2, now);
  CHECK(board.choose(need_of(1), now) != nullptr);
  board.begin_load("e0", "m", 2, now);
  POINTERS_EQUAL(nullptr, board.choose(need_of(1), now));
}

TEST(version_planner_test, group_stays_together_while_its_engine_is_not_much_busier) {
  set_engines(2, {{"m", 1}});
  board.note_started("e1", 10, "family");
  STRCMP_EQUAL("e0", board.choose(need_of(1, "stranger"), now)->server.id.c_str());
  servers[0].slots = 8;
  servers[1].slots = 8;
  refresh();
  STRCMP_EQUAL("e1", board.choose(need_of(1, "family"), now)->server.id.c_str());
}

TEST(version_planner_test, run_leaves_an_engine_that_became_slow) {
  set_engines(3, {{"m", 1}});
  for (char const* id : {"e0", "e1"}) board.note_event_gap(id, milliseconds(30), now);
  board.note_event_gap("e2", milliseconds(120), now);
  CHECK(board.gain_of_move(*board.find("e2"), need_of(1), 10, now) > milliseconds(0));
  LONGS_EQUAL(0, board.gain_of_move(*board.find("e0"), need_of(1), 10, now).count());
}

TEST(version_planner_test, only_a_run_that_has_come_far_leaves_an_engine_that_is_a_little_slower) {
  set_engines(3, {{"m", 1}});
  for (char const* id : {"e0", "e1"}) board.note_event_gap(id, milliseconds(40), now);
  board.note_event_gap("e2", milliseconds(52), now);
  LONGS_EQUAL(0, board.gain_of_move(*board.find("e2"), need_of(1), 5, now).count());
  LONGS_EQUAL(600, board.gain_of_move(*board.find("e2"), need_of(1), 50, now).count());
}

TEST(version_planner_test, no_run_moves_to_an_engine_whose_speed_is_not_known) {
  set_engines(2, {{"m", 1}});
  board.note_event_gap("e0", milliseconds(30), now - milliseconds(20'000));
  board.note_event_gap("e1", milliseconds(120), now);
  LONGS_EQUAL(0, board.gain_of_move(*board.find("e1"), need_of(1), 50, now).count());
}

TEST(version_planner_test, failing_engine_is_left_alone_for_longer_each_time) {
  set_engines(1, {{"m", 1}});
  board.note_failure("e0", now);
  POINTERS_EQUAL(nullptr, board.choose(need_of(1), now));
  CHECK(board.choose(need_of(1), now + milliseconds(350)) != nullptr);
  board.note_failure("e0", now);
  POINTERS_EQUAL(nullptr, board.choose(need_of(1), now + milliseconds(350)));
}

TEST(version_planner_test, a_fifth_of_a_large_pool_loads_at_once) {
  set_engines(35, {{"m", 1}});
  needs["m"].newest = 2;
  LONGS_EQUAL(7, plan_orders(board, needs, options).size());
  set_engines(8, {{"m", 1}});
  LONGS_EQUAL(2, plan_orders(board, needs, options).size());
}

TEST(version_planner_test, choice_of_an_engine_costs_the_same_in_a_pool_ten_times_as_large) {
  // Hot path over a large pool: 300 runs are under way, all other engines are idle.
  auto const examined_by_one_choice = [this](std::size_t engines) {
    board = engine_board();
    set_engines(engines, {{"m", 1}, {"other", 1}});
    for (int run = 0; run < 300; ++run) {
      std::string const id = board.choose(need_of(1, "g" + std::to_string(run)), now)->server.id;
      board.note_started(id, 10, "g" + std::to_string(run));
      board.note_event_gap(id, milliseconds(20), now);
    }
    std::uint64_t const before = board.examined();
    CHECK(board.choose(need_of(1, "another"), now) != nullptr);
    return board.examined() - before;
  };
  std::uint64_t const small = examined_by_one_choice(700);
  std::uint64_t const large = examined_by_one_choice(7777);
  CHECK(2 * large <= 3 * small);
}

TEST(version_planner_test, new_version_and_its_orders_cost_the_same_in_a_pool_ten_times_as_large) {
  auto const filings = [this](std::size_t engines) {
    board = engine_board();
    needs.clear();
    set_engines(engines, {{"m", 1}, {"other", 1}});
    std::uint64_t const before = board.index().filings();
    for (std::uint64_t version = 2; version < 8; ++version) {
      needs["m"].newest = version;
      needs["m"].samples = 4;
      load_all();
    }
    return board.index().filings() - before;
  };
  std::uint64_t const small = filings(700);
  std::uint64_t const large = filings(7777);
  CHECK(2 * large <= 3 * small);
}

TEST(version_planner_test, change_of_one_server_files_one_engine) {
  set_engines(7777, {{"m", 1}});
  std::uint64_t const before = board.index().filings();
  servers[7].models["m"] = 2;
  board.put(servers[7]);
  LONGS_EQUAL(before + 1, board.index().filings());
  LONGS_EQUAL(2, board.find("e7")->version_of("m"));
}

TEST(version_planner_test, run_moves_on_when_the_emptiest_engines_are_blocked_or_excluded) {
  set_engines(3, {{"m", 1}});
  board.block("e0", now + milliseconds(100));
  run_requirements need = need_of(1);
  need.excluded.insert("e1");
  STRCMP_EQUAL("e2", board.choose(need, now)->server.id.c_str());
}

TEST(version_planner_test, engine_that_starts_again_is_not_taken_to_load) {
  set_engines(2, {{"m", 1}});
  board.begin_load("e0", "m", 2, now);
  LONGS_EQUAL(1, board.loading().size());
  servers[0].born = 9;
  refresh();
  LONGS_EQUAL(0, board.loading().size());
  CHECK(board.choose(need_of(1), now) != nullptr);
}
