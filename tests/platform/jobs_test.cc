/// @file Batch jobs on the users' platform, through real gateway processes.

#include <CppUTest/TestHarness.h>

#include <boost/json.hpp>

#include "http/json_fields.h"
#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(jobs_test) {
  platform_cluster system{platform_options()};

  static std::vector<test_item> make_items(std::string const& job, std::size_t count) {
    std::vector<test_item> items;
    for (std::size_t index = 0; index < count; ++index) {
      items.push_back({job + "-" + std::to_string(index), "group-" + std::to_string(index / 4)});
    }
    return items;
  }

  static std::string whole_text(std::string const& item, std::uint32_t events) {
    std::string text;
    for (std::uint32_t id = 0; id < events; ++id) {
      text += (id == 0 ? "" : "\n") + item + "." + std::to_string(id);
    }
    return text;
  }

  static void check_whole(boost::json::object const& listed, std::size_t count) {
    auto const& results = listed.at("results").as_array();
    LONGS_EQUAL(count, results.size());
    for (auto const& one : results) {
      std::string const id = json_text(one.as_object(), "id");
      STRCMP_EQUAL("completed", json_text(one.as_object(), "state").c_str());
      STRCMP_EQUAL(whole_text(id, 5).c_str(), json_text(one.as_object(), "text").c_str());
      STRCMP_EQUAL(("stamp-score-" + id).c_str(), json_text(one.as_object(), "score").c_str());
    }
  }
};

TEST(jobs_test, job_is_run_scored_listed_and_ended_through_any_node) {
  LONGS_EQUAL(202, system.submit(0, "job", make_items("job", 12)));
  check_whole(system.wait_for_results(1, "job", 12), 12);
  auto const ended = system.call(2, http::verb::delete_, "/api/lots/job", "");
  CHECK(ended.has_value());
  LONGS_EQUAL(200, ended.value().result_int());
  check_whole(system.wait_for_results(2, "job", 12), 12);
}
