/// @file Services of a split route that lose their engines, or keep samples waiting.

#include "jobs/service_chooser.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::jobs;

namespace {

constexpr char k_model[] = "m";

}  // namespace

TEST_GROUP(service_chooser_test) {
  engines::engine_board board;
  service_chooser chooser{board};
  calls::route route;
  time_point now{std::chrono::hours(1)};

  void setup() override {
    route.name = "split";
    route.shares = {{"large", 80}, {"small", 20}};
  }

  void put_engine(std::string const& service, std::string const& model = k_model) {
    directory::server engine;
    engine.id = service + "-" + model;
    engine.service = service;
    engine.slots = 1;
    engine.models[model] = 1;
    board.put(engine);
    chooser.begin_iteration(now);
  }

  std::string choose(std::string const& current) { return chooser.choose(route, k_model, current); }

  engines::run_requirements need_of(std::string const& service) {
    engines::run_requirements need;
    need.service = service;
    need.model = k_model;
    return need;
  }
};

TEST(service_chooser_test, service_with_an_engine_is_kept) {
  put_engine("large");
  put_engine("small");
  for (int sample = 0; sample < 10; ++sample) STRCMP_EQUAL("small", choose("small").c_str());
}

TEST(service_chooser_test, service_without_an_engine_is_left) {
  put_engine("large");
  STRCMP_EQUAL("large", choose("small").c_str());
  put_engine("small");
  STRCMP_EQUAL("large", choose("large").c_str());
  board.remove("large-m");
  chooser.begin_iteration(now);
  STRCMP_EQUAL("small", choose("large").c_str());
}

TEST(service_chooser_test, engine_of_another_model_does_not_count) {
  put_engine("large");
  put_engine("small", "other");
  STRCMP_EQUAL("large", choose("small").c_str());
}

TEST(service_chooser_test, service_is_kept_while_none_has_an_engine) {
  chooser.begin_iteration(now);
  STRCMP_EQUAL("small", choose("small").c_str());
  STRCMP_EQUAL("large", choose("large").c_str());
}

TEST(service_chooser_test, service_that_the_route_no_longer_names_is_left) {
  put_engine("large");
  put_engine("gone");
  STRCMP_EQUAL("large", choose("gone").c_str());
}

TEST(service_chooser_test, full_service_is_helped_out_by_another) {
  put_engine("large");
  put_engine("small");
  board.note_started("small-m", 1, "g");
  auto need = need_of("small");
  POINTERS_EQUAL(nullptr, board.choose(need, now));
  auto const* const engine = chooser.choose_other_engine(route, need);
  CHECK(engine != nullptr);
  STRCMP_EQUAL("large", engine->server.service.c_str());
  STRCMP_EQUAL("large", need.service.c_str());
}

TEST(service_chooser_test, requirements_are_unchanged_if_all_services_are_full) {
  put_engine("large");
  put_engine("small");
  board.note_started("small-m", 1, "g");
  board.note_started("large-m", 1, "g");
  auto need = need_of("small");
  POINTERS_EQUAL(nullptr, chooser.choose_other_engine(route, need));
  STRCMP_EQUAL("small", need.service.c_str());
}
