/// @file Planning of weight loads, and choice of engines for runs.

#include "engines/version_planner.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::engines;

namespace {

directory::server make_engine(std::string const& id,
                              std::map<std::string, std::uint64_t> const& models) {
  directory::server engine;
  engine.id = id;
  engine.service = "pool";
  engine.slots = 2;
  engine.models = models;
  return engine;
}

run_requirements requirements_for(std::uint64_t min_version, std::string const& group = "g") {
  run_requirements requirements;
  requirements.service = "pool";
  requirements.model = "m";
  requirements.min_version = min_version;
  requirements.group = group;
  return requirements;
}

}  // namespace

TEST_GROUP(version_planner_test) {
  std::vector<directory::server> servers;
  engine_board board;
  model_demands demands;
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
    for (auto const& server : servers) all.push_back(&server);
    board.update(all);
  }

  /// Plans orders and applies each as a completed load until no order is planned.
  /// @return the number of orders.
  std::size_t load_all() {
    std::size_t count = 0;
    while (true) {
      auto const orders = plan_orders(board, demands, options);
      if (orders.empty()) return count;
      count += orders.size();
      for (auto const& order : orders) board.set_version(order.engine, order.model, order.version);
    }
  }

  std::size_t holding(std::string const& model, std::uint64_t version) {
    std::size_t count = 0;
    for (auto const& [id, engine] : board.engines()) {
      if (engine.versions.at(model) >= version) ++count;
    }
    return count;
  }
};

TEST(version_planner_test, each_version_is_loaded_by_half_of_the_engines_in_turn) {
  set_engines(8, {{"m", 1}});
  for (std::uint64_t version = 2; version < 9; ++version) {
    demands["m"].newest = version;
    CHECK(load_all() <= 4);
    LONGS_EQUAL(4, holding("m", version));
    LONGS_EQUAL(8, holding("m", version - 1));
  }
}

TEST(version_planner_test, all_load_when_jobs_allow_the_newest_version_only) {
  set_engines(4, {{"m", 1}});
  demands["m"].newest = 2;
  demands["m"].allowed_lag = 0;
  LONGS_EQUAL(4, load_all());
}

TEST(version_planner_test, concurrent_loads_are_limited) {
  set_engines(8, {{"m", 1}});
  demands["m"].newest = 3;
  LONGS_EQUAL(2, plan_orders(board, demands, options).size());
  board.begin_load("e0", "m", 3, now);
  LONGS_EQUAL(1, plan_orders(board, demands, options).size());
}

TEST(version_planner_test, model_without_usable_engine_is_loaded_first) {
  set_engines(6, {{"a", 4}, {"b", 1}, {"c", 4}});
  demands["a"].newest = 5;
  demands["b"].newest = 5;
  demands["c"].newest = 5;
  auto const orders = plan_orders(board, demands, options);
  LONGS_EQUAL(2, orders.size());
  STRCMP_EQUAL("b", orders[0].model.c_str());
}

TEST(version_planner_test, models_published_together_all_keep_usable_engines) {
  set_engines(9, {{"a", 1}, {"b", 1}, {"c", 1}});
  for (std::uint64_t version = 2; version < 12; ++version) {
    for (char const* model : {"a", "b", "c"}) demands[model].newest = version;
    load_all();
    for (char const* model : {"a", "b", "c"}) CHECK(holding(model, version - 1) >= 3);
  }
}

TEST(version_planner_test, larger_jobs_get_more_engines) {
  set_engines(9, {{"large", 1}, {"small", 1}});
  demands["large"].job_size = 8000;
  demands["small"].job_size = 1000;
  for (char const* model : {"large", "small"}) demands[model].newest = 3;
  load_all();
  CHECK(holding("large", 2) > holding("small", 2));
  CHECK(holding("small", 2) >= 2);
}

TEST(version_planner_test, engines_that_load_are_limited_by_sample_count) {
  set_engines(40, {{"m", 1}});
  demands["m"] = {2, 0};
  demands["m"].samples = 4;
  // 12 slots are wanted per sample, and an engine has 2.
  LONGS_EQUAL(24, load_all());
  demands["m"].samples = 1000;
  LONGS_EQUAL(16, load_all());
}

TEST(version_planner_test, draining_engine_gets_no_order) {
  set_engines(2, {{"m", 1}});
  servers[0].state = directory::server_state::draining;
  refresh();
  demands["m"].newest = 3;
  for (auto const& order : plan_orders(board, demands, options)) {
    STRCMP_EQUAL("e1", order.engine.c_str());
  }
}

TEST(version_planner_test, run_goes_to_an_engine_with_an_allowed_version_and_room) {
  set_engines(2, {{"m", 1}});
  servers[1].models["m"] = 2;
  refresh();
  STRCMP_EQUAL("e1", board.choose(requirements_for(2), now)->server.id.c_str());
  board.note_started("e1", 10, "g");
  board.note_started("e1", 10, "g");
  POINTERS_EQUAL(nullptr, board.choose(requirements_for(2), now));
  CHECK(board.choose(requirements_for(1), now) != nullptr);
}

TEST(version_planner_test, load_blocks_only_runs_of_its_own_model) {
  set_engines(1, {{"m", 1}, {"other", 1}});
  board.begin_load("e0", "other", 2, now);
  CHECK(board.choose(requirements_for(1), now) != nullptr);
  board.begin_load("e0", "m", 2, now);
  POINTERS_EQUAL(nullptr, board.choose(requirements_for(1), now));
}

TEST(version_planner_test, group_stays_on_one_engine_unless_it_is_much_busier) {
  set_engines(2, {{"m", 1}});
  board.note_started("e1", 10, "family");
  STRCMP_EQUAL("e0", board.choose(requirements_for(1, "stranger"), now)->server.id.c_str());
  servers[0].slots = 8;
  servers[1].slots = 8;
  refresh();
  STRCMP_EQUAL("e1", board.choose(requirements_for(1, "family"), now)->server.id.c_str());
}

TEST(version_planner_test, run_moves_away_from_a_slow_engine) {
  set_engines(3, {{"m", 1}});
  for (char const* id : {"e0", "e1"}) board.note_event_gap(id, milliseconds(30), now);
  board.note_event_gap("e2", milliseconds(120), now);
  CHECK(board.gain_of_move(*board.find("e2"), requirements_for(1), 10, now) > milliseconds(0));
  LONGS_EQUAL(0, board.gain_of_move(*board.find("e0"), requirements_for(1), 10, now).count());
}

TEST(version_planner_test, only_a_long_run_moves_away_from_a_slightly_slower_engine) {
  set_engines(3, {{"m", 1}});
  for (char const* id : {"e0", "e1"}) board.note_event_gap(id, milliseconds(40), now);
  board.note_event_gap("e2", milliseconds(52), now);
  LONGS_EQUAL(0, board.gain_of_move(*board.find("e2"), requirements_for(1), 5, now).count());
  LONGS_EQUAL(600, board.gain_of_move(*board.find("e2"), requirements_for(1), 50, now).count());
}

TEST(version_planner_test, no_run_moves_to_an_engine_whose_speed_is_not_known) {
  set_engines(2, {{"m", 1}});
  board.note_event_gap("e0", milliseconds(30), now - milliseconds(20'000));
  board.note_event_gap("e1", milliseconds(120), now);
  LONGS_EQUAL(0, board.gain_of_move(*board.find("e1"), requirements_for(1), 50, now).count());
}

TEST(version_planner_test, repeated_failures_block_an_engine_for_longer) {
  set_engines(1, {{"m", 1}});
  board.note_failure("e0", now);
  POINTERS_EQUAL(nullptr, board.choose(requirements_for(1), now));
  CHECK(board.choose(requirements_for(1), now + milliseconds(350)) != nullptr);
  board.note_failure("e0", now);
  POINTERS_EQUAL(nullptr, board.choose(requirements_for(1), now + milliseconds(350)));
}

TEST(version_planner_test, a_fifth_of_a_large_pool_loads_concurrently) {
  set_engines(35, {{"m", 1}});
  demands["m"].newest = 2;
  LONGS_EQUAL(7, plan_orders(board, demands, options).size());
  set_engines(8, {{"m", 1}});
  LONGS_EQUAL(2, plan_orders(board, demands, options).size());
}

TEST(version_planner_test, cost_of_a_choice_does_not_depend_on_pool_size) {
  // The number of engines examined for the next run while 300 runs are in flight.
  auto const examined_by_one_choice = [this](std::size_t engines) {
    board = engine_board();
    set_engines(engines, {{"m", 1}, {"other", 1}});
    for (int run = 0; run < 300; ++run) {
      std::string const id =
          board.choose(requirements_for(1, "g" + std::to_string(run)), now)->server.id;
      board.note_started(id, 10, "g" + std::to_string(run));
      board.note_event_gap(id, milliseconds(20), now);
    }
    std::uint64_t const before = board.examined();
    CHECK(board.choose(requirements_for(1, "another"), now) != nullptr);
    return board.examined() - before;
  };
  std::uint64_t const small = examined_by_one_choice(700);
  std::uint64_t const large = examined_by_one_choice(7777);
  CHECK(2 * large <= 3 * small);
}

TEST(version_planner_test, cost_of_planning_does_not_depend_on_pool_size) {
  auto const index_updates = [this](std::size_t engines) {
    board = engine_board();
    demands.clear();
    set_engines(engines, {{"m", 1}, {"other", 1}});
    std::uint64_t const before = board.index().index_updates();
    for (std::uint64_t version = 2; version < 8; ++version) {
      demands["m"].newest = version;
      demands["m"].samples = 4;
      load_all();
    }
    return board.index().index_updates() - before;
  };
  std::uint64_t const small = index_updates(700);
  std::uint64_t const large = index_updates(7777);
  CHECK(2 * large <= 3 * small);
}

TEST(version_planner_test, change_of_one_server_updates_one_index_entry) {
  set_engines(7777, {{"m", 1}});
  std::uint64_t const before = board.index().index_updates();
  servers[7].models["m"] = 2;
  board.put(servers[7]);
  LONGS_EQUAL(before + 1, board.index().index_updates());
  LONGS_EQUAL(2, board.find("e7")->version_of("m"));
}

TEST(version_planner_test, blocked_and_excluded_engines_are_skipped) {
  set_engines(3, {{"m", 1}});
  board.block("e0", now + milliseconds(100));
  run_requirements requirements = requirements_for(1);
  requirements.excluded.insert("e1");
  STRCMP_EQUAL("e2", board.choose(requirements, now)->server.id.c_str());
}

// Guards against orders of several owners to one engine: each service's pool orders its own.
TEST(version_planner_test, engines_of_other_services_get_no_orders) {
  set_engines(4, {{"m", 1}});
  servers[1].service = "other";
  servers[3].service = "other";
  refresh();
  options.service = "pool";
  demands["m"].newest = 2;
  demands["m"].allowed_lag = 0;
  auto const orders = plan_orders(board, demands, options);
  LONGS_EQUAL(2, orders.size());
  for (planned_order const& order : orders) {
    STRCMP_EQUAL("pool", board.find(order.engine)->server.service.c_str());
  }
}

TEST(version_planner_test, restart_ends_the_load_of_an_engine) {
  set_engines(2, {{"m", 1}});
  board.begin_load("e0", "m", 2, now);
  LONGS_EQUAL(1, board.loading().size());
  servers[0].born = 9;
  refresh();
  LONGS_EQUAL(0, board.loading().size());
  CHECK(board.choose(requirements_for(1), now) != nullptr);
}
