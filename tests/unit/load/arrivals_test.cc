#include "load/arrivals.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <boost/filesystem.hpp>
#include <fstream>

using namespace frostline;
using namespace frostline::load;

TEST_GROUP(arrivals_test) {
  arrival_options options;
  std::string path =
      (boost::filesystem::temp_directory_path() / boost::filesystem::unique_path()).string();

  void teardown() override { boost::filesystem::remove(path); }
};

TEST(arrivals_test, same_seed_gives_the_same_calls) {
  CHECK(draw_arrivals(options) == draw_arrivals(options));
  arrival_options other = options;
  other.seed = 2;
  CHECK_FALSE(draw_arrivals(options) == draw_arrivals(other));
}

TEST(arrivals_test, rate_and_share_match_the_options) {
  options.calls_per_second = 1000;
  trace const calls = draw_arrivals(options);
  CHECK(calls.size() > 9500);
  CHECK(calls.size() < 10'500);
  auto const singles = std::count_if(calls.begin(), calls.end(),
                                     [](arrival const& call) { return call.at_most_once; });
  CHECK(singles > 2700);
  CHECK(singles < 3300);
  CHECK(std::is_sorted(calls.begin(), calls.end(), [](arrival const& left, arrival const& right) {
    return left.offset < right.offset;
  }));
}

TEST(arrivals_test, trace_round_trips_through_a_file) {
  trace const calls = draw_arrivals(options);
  CHECK(write_trace(path, calls));
  CHECK(read_trace(path) == calls);
}

TEST(arrivals_test, malformed_or_missing_trace_is_rejected) {
  CHECK_FALSE(read_trace(path).has_value());
  std::ofstream(path) << "{\"offset_us\":1}\nnot JSON\n";
  CHECK_FALSE(read_trace(path).has_value());
}
