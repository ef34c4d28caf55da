/// @file API keys and tenants with real gateway processes: authentication, the headers that servers
/// see and the ownership of jobs.

#include <CppUTest/TestHarness.h>

#include "http/json_fields.h"
#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr char k_tenants[] = R"([{"name":"first","api_keys":["key-a","key-b"],"priority":1},)"
                             R"({"name":"second","api_keys":["key-c"],"priority":2}])";
constexpr char k_without_key_a[] = R"([{"name":"first","api_keys":["key-b","key-d"],"priority":1},)"
                                   R"({"name":"second","api_keys":["key-c"],"priority":2}])";

platform_options with_tenants() {
  platform_options options;
  options.tenants = k_tenants;
  return options;
}

}  // namespace

TEST_GROUP(tenants_test) {
  platform_cluster system{with_tenants()};

  std::vector<arrival> arrivals_at(bool engines) {
    return system.on_platform([&] {
      std::vector<arrival> all;
      std::size_t const count = engines ? system.engines() : system.apps();
      for (std::size_t index = 0; index < count; ++index) {
        auto const& some = (engines ? system.engine(index) : system.app(index)).arrivals();
        all.insert(all.end(), some.begin(), some.end());
      }
      return all;
    });
  }

  unsigned status_of(std::size_t node, std::string const& path, std::string const& id) {
    auto const answer = system.call(node, http::verb::post, path, id, "body");
    return answer ? answer.value().result_int() : 0;
  }

  bool any_log_has(std::string const& text) {
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      if (system.log(node).find(text) != std::string::npos) return true;
    }
    return false;
  }
};

TEST(tenants_test, requests_without_a_known_key_are_refused_and_reach_no_server) {
  int number = 0;
  for (std::string const key : {"", "key-x", "key-"}) {
    system.use_key(key);
    std::string const id = "refused-" + std::to_string(++number);
    auto const answer = system.call(0, http::verb::post, "/calls/a", id, "body");
    LONGS_EQUAL(401, answer.value().result_int());
    STRCMP_EQUAL("Bearer", std::string(http::header(answer.value(), "WWW-Authenticate")).c_str());
    STRCMP_EQUAL("application/problem+json",
                 std::string(http::header(answer.value(), "Content-Type")).c_str());
    LONGS_EQUAL(401, system.submit(1, id, {{"item"}}));
    LONGS_EQUAL(401, system.end_job(2, "job"));
  }
  LONGS_EQUAL(0, arrivals_at(false).size());
  platform_cluster::wait_until("the refusals are logged",
                               [&] { return any_log_has("Access refused."); });
  CHECK_FALSE(any_log_has("key-x"));
}

TEST(tenants_test, servers_see_the_keys_tenant_whatever_the_client_says_and_no_key) {
  system.use_key("key-c");
  system.use_header("x-frostline-tenant", "first");
  LONGS_EQUAL(200, status_of(0, "/calls/a", "call"));
  LONGS_EQUAL(200, status_of(0, "/stream/a", "stream"));
  system.use_key("");
  LONGS_EQUAL(200, status_of(0, "/open/a", "open"));
  auto const calls = arrivals_at(false);
  LONGS_EQUAL(2, calls.size());
  STRCMP_EQUAL("second", calls[0].tenant.c_str());
  STRCMP_EQUAL("", calls[1].tenant.c_str());
  for (arrival const& entry : calls) STRCMP_EQUAL("", entry.authorization.c_str());
  auto const streams = arrivals_at(true);
  LONGS_EQUAL(1, streams.size());
  STRCMP_EQUAL("second", streams[0].tenant.c_str());
  STRCMP_EQUAL("", streams[0].authorization.c_str());
}

TEST(tenants_test, job_belongs_to_its_tenant) {
  system.use_key("key-a");
  test_item item{"item-1", "group"};
  item.scorer_path = "/open/score";
  LONGS_EQUAL(202, system.submit(0, "job-1", {item}));
  system.use_key("key-b");
  system.wait_for_results(1, "job-1", 1);
  system.use_key("key-c");
  for (std::size_t node = 0; node < system.nodes(); ++node) {
    LONGS_EQUAL(404, system.results_status(node, "job-1"));
    LONGS_EQUAL(404, system.item_body(node, "job-1", "item-1").value().result_int());
    LONGS_EQUAL(404, system.end_job(node, "job-1"));
  }
  LONGS_EQUAL(400, system.submit(0, "job-1", {item}));
  system.use_key("key-b");
  LONGS_EQUAL(200, system.end_job(2, "job-1"));
  for (arrival const& entry : arrivals_at(true)) {
    STRCMP_EQUAL("first", entry.tenant.c_str());
    STRCMP_EQUAL("", entry.authorization.c_str());
  }
  for (arrival const& entry : arrivals_at(false)) STRCMP_EQUAL("", entry.tenant.c_str());
}

TEST(tenants_test, ended_job_of_a_killed_owner_still_belongs_to_its_tenant) {
  system.use_key("key-a");
  test_item item{"item-1", "group"};
  item.scored = false;
  LONGS_EQUAL(202, system.submit(0, "job-1", {item}));
  system.wait_for_results(0, "job-1", 1);
  LONGS_EQUAL(200, system.end_job(0, "job-1"));
  std::size_t const previous_owner = system.owner();
  system.node(previous_owner).kill();
  std::size_t const other = (previous_owner + 1) % system.nodes();
  system.use_key("key-c");
  platform_cluster::wait_until("another node owns the pool and refuses the other tenant",
                               [&] { return system.end_job(other, "job-1") == 404; });
  system.use_key("key-b");
  platform_cluster::wait_until("its own tenant is served",
                               [&] { return system.end_job(other, "job-1") == 200; });
}

TEST(tenants_test, keys_are_removed_and_added_with_a_configuration_version) {
  system.use_key("key-a");
  LONGS_EQUAL(200, status_of(0, "/calls/a", "before"));
  test_item item{"item-1", "group"};
  item.scored = false;
  LONGS_EQUAL(202, system.submit(0, "job-1", {item}));
  system.on_platform([&] {
    system.set_tenants(k_without_key_a);
    system.put_config(2);
    return 0;
  });
  int number = 0;
  for (std::size_t node = 0; node < system.nodes(); ++node) {
    system.use_key("key-a");
    platform_cluster::wait_until("the key is refused", [&] {
      return status_of(node, "/calls/a", "after-" + std::to_string(++number)) == 401;
    });
    system.use_key("key-d");
    platform_cluster::wait_until("the new key is served", [&] {
      return status_of(node, "/calls/a", "after-" + std::to_string(++number)) == 200;
    });
    // The job outlives the API key with which it was submitted.
    system.wait_for_results(node, "job-1", 1);
  }
}

TEST(tenants_test, invalid_tenants_leave_the_previous_configuration_in_force) {
  system.on_platform([&] {
    system.set_tenants(R"([{"name":"first","api_keys":["key-a","key-a"]}])");
    system.put_config(2);
    return 0;
  });
  platform_cluster::wait_until("the fault is logged by its place",
                               [&] { return any_log_has("tenants[0].api_keys[1]"); });
  system.use_key("key-c");
  LONGS_EQUAL(200, status_of(0, "/calls/a", "still"));
  CHECK_FALSE(any_log_has("key-a"));
}
