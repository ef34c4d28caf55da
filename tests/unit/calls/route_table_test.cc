/// @file Tests for routes, traffic shares, event streams and server selection.

#include "calls/route_table.h"

#include <CppUTest/TestHarness.h>

#include "calls/event_stream.h"
#include "calls/server_selector.h"

using namespace frostline;
using namespace frostline::calls;

namespace {

route make_route(std::string const& name, std::string const& host, std::string const& prefix) {
  route result;
  result.name = name;
  result.host = host;
  result.path_prefix = prefix;
  result.shares = {{"service", 1}};
  return result;
}

directory::server make_server(std::string const& id, std::string const& zone) {
  directory::server result;
  result.id = id;
  result.service = "service";
  result.zone = zone;
  result.slots = 4;
  return result;
}

}  // namespace

TEST_GROUP(route_table_test) { time_point now{std::chrono::hours(1)}; };

TEST(route_table_test, longest_matching_prefix_of_the_host_wins) {
  configuration all;
  all.version = 1;
  all.routes = {make_route("short", "a", "/x/"), make_route("long", "a", "/x/y/"),
                make_route("other", "b", "/x/y/z/")};
  route_table const table(std::move(all));
  STRCMP_EQUAL("long", table.match("a", "/x/y/z/1")->name.c_str());
  STRCMP_EQUAL("short", table.match("a:80", "/x/q")->name.c_str());
  POINTERS_EQUAL(nullptr, table.match("a", "/x"));
  POINTERS_EQUAL(nullptr, table.match("c", "/x/y/"));
}

TEST(route_table_test, older_configuration_is_rejected) {
  active_configuration active;
  configuration all;
  all.version = 7;
  CHECK(active.offer(all));
  all.version = 6;
  CHECK_FALSE(active.offer(all));
  all.version = 7;
  CHECK_FALSE(active.offer(all));
  LONGS_EQUAL(7, active.table()->all().version);
}

TEST(route_table_test, shares_hold_over_short_intervals) {
  route split_route = make_route("split", "a", "/");
  split_route.shares = {{"large", 90}, {"small", 10}};
  share_picker picker;
  int small = 0;
  for (int number = 1; number <= 200; ++number) {
    if (picker.pick(split_route) == "small") ++small;
    CHECK(std::abs(small - number / 10) <= 1);
  }
  LONGS_EQUAL(20, small);
}

TEST(route_table_test, share_of_a_service_without_servers_goes_to_the_others) {
  route split_route = make_route("split", "a", "/");
  split_route.shares = {{"large", 50}, {"small", 25}, {"gone", 25}};
  share_picker picker;
  std::map<std::string, int> picked;
  for (int number = 0; number < 300; ++number) {
    ++picked[picker.pick(split_route, [](std::string const& name) { return name != "gone"; })];
  }
  LONGS_EQUAL(200, picked["large"]);
  LONGS_EQUAL(100, picked["small"]);
}

TEST(route_table_test, shares_hold_while_no_service_has_servers) {
  route split_route = make_route("split", "a", "/");
  split_route.shares = {{"large", 90}, {"small", 10}};
  share_picker picker;
  int small = 0;
  for (int number = 0; number < 100; ++number) {
    if (picker.pick(split_route, [](std::string const&) { return false; }) == "small") ++small;
  }
  LONGS_EQUAL(10, small);
}

TEST(route_table_test, events_are_parsed_across_piece_boundaries) {
  std::string const stream =
      "id: 0\ndata: a\n\nx-weight-versions: 7\nid: 1\ndata: b\ndata: c\n\nid: 2\r\ndata: d\r\n\r\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    event_splitter splitter("X-Weight-Versions");
    auto events = splitter.feed(stream.substr(0, cut));
    for (auto& event : splitter.feed(stream.substr(cut))) events.push_back(std::move(event));
    LONGS_EQUAL(3, events.size());
    CHECK(splitter.is_between_events());
    LONGS_EQUAL(1, *events[1].id);
    LONGS_EQUAL(7, *events[1].version);
    STRCMP_EQUAL("b\nc", events[1].data.c_str());
    STRCMP_EQUAL("d", events[2].data.c_str());
  }
}

TEST(route_table_test, partial_event_is_buffered) {
  event_splitter splitter("v");
  LONGS_EQUAL(0, splitter.feed("id: 0\ndata: a").size());
  CHECK_FALSE(splitter.is_between_events());
}

TEST(route_table_test, least_loaded_server_is_chosen_and_the_own_zone_among_equals) {
  auto const far = make_server("far", "b");
  auto const near = make_server("near", "a");
  server_selector selector("a", 1);
  std::vector<directory::server const*> const both = {&far, &near};
  STRCMP_EQUAL("near", selector.pick(both, {}, now)->id.c_str());
  selector.note_sent("near");
  STRCMP_EQUAL("far", selector.pick(both, {}, now)->id.c_str());
  STRCMP_EQUAL("near", selector.pick(both, {"far"}, now)->id.c_str());
  POINTERS_EQUAL(nullptr, selector.pick(both, {"far", "near"}, now));
}

TEST(route_table_test, failing_server_is_avoided_for_a_while_but_used_if_it_is_the_only_one) {
  auto const first = make_server("first", "a");
  auto const second = make_server("second", "b");
  server_selector selector("a", 1);
  selector.note_sent("first");
  selector.note_failure("first", now);
  STRCMP_EQUAL("second", selector.pick({&first, &second}, {}, now)->id.c_str());
  STRCMP_EQUAL("first", selector.pick({&first}, {}, now)->id.c_str());
  STRCMP_EQUAL("first", selector.pick({&first, &second}, {}, now + seconds(5))->id.c_str());
}

TEST(route_table_test, every_outcome_releases_an_outstanding_request) {
  server_selector selector("a", 1);
  for (int number = 0; number < 4; ++number) selector.note_sent("s");
  selector.note_answer("s");
  selector.note_failure("s", now);
  selector.note_abandoned("s");
  selector.note_full("s", now);
  LONGS_EQUAL(0, selector.outstanding("s"));
}

namespace {

/// Two routes of jobs with a due time on one pool that serves two models.
configuration make_competing_configuration() {
  configuration all;
  for (std::string const name : {"first", "second"}) {
    route jobs = make_route(name, "a", "/" + name + "/");
    jobs.kind = route_kind::job;
    jobs.due = milliseconds(7500);
    jobs.priority = 1;
    jobs.shares = {{"pool", 1}};
    all.routes.push_back(jobs);
  }
  auto engines = std::make_shared<engine_pool>();
  engines->models = {"m0", "m1"};
  all.services["pool"] = {"pool", 100, engines};
  return all;
}

}  // namespace

TEST(route_table_test, trainers_compete_if_the_priorities_leave_their_order_open) {
  CHECK(competing_pools(make_competing_configuration()) == std::set<std::string>{"pool"});
}

// Guards the earlier deployments: features for competing trainers must not change how they are
// served.
TEST(route_table_test, trainers_do_not_compete_if_priorities_decide_or_there_is_one_model) {
  configuration ranked = make_competing_configuration();
  ranked.routes[1].priority = 0;
  CHECK(competing_pools(ranked).empty());
  configuration without_due_time = make_competing_configuration();
  without_due_time.routes[1].due = milliseconds(0);
  CHECK(competing_pools(without_due_time).empty());
  configuration one_model = make_competing_configuration();
  auto engines = std::make_shared<engine_pool>();
  engines->models = {"m0"};
  one_model.services["pool"].engines = engines;
  CHECK(competing_pools(one_model).empty());
}
