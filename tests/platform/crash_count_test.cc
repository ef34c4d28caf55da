/// @file Guards against a soak that takes several runs on one server that ends for as many servers,
/// and then expects a quarantine after two.

#include "crash_count.h"

#include <CppUTest/TestHarness.h>

namespace frostline::testing {
namespace {

time_point at(int number) { return time_point() + milliseconds(number); }

TEST_GROUP(crash_count_test){};

TEST(crash_count_test, runs_on_one_server_count_once) {
  std::vector<poison_arrival> const burst = {
      {at(1), "app-5.5"}, {at(2), "app-3.8"}, {at(2), "app-5.5"}, {at(3), "app-3.8"}};
  CHECK(time_of_crash(burst, 2) == at(2));
  CHECK(time_of_crash(burst, 3) == std::nullopt);
}

TEST(crash_count_test, a_server_that_started_again_counts_again) {
  std::vector<poison_arrival> const series = {
      {at(1), "app-5.5"}, {at(2), "app-5.6"}, {at(3), "app-5.6"}, {at(4), "app-5.7"}};
  CHECK(time_of_crash(series, 3) == at(4));
}

}  // namespace
}  // namespace frostline::testing
