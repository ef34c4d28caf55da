/// @file The soak checker must report each kind of violation, and none for correct records.

#include "soak_checker.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::testing;

namespace {

boost::json::object make_result(std::string const& id) {
  boost::json::object result;
  result["id"] = id;
  result["state"] = "completed";
  result["text"] = id + ".0\n" + id + ".1";
  result["score"] = "stamp-score-" + id;
  boost::json::array versions;
  versions.emplace_back(std::uint64_t{2});
  result["versions"] = std::move(versions);
  return result;
}

}  // namespace

TEST_GROUP(soak_checker_test) {
  soak_records seen;
  time_point now{std::chrono::hours(1)};

  void setup() override {
    seen.events = 2;
    seen.newest_version = 3;
    seen.order_gap = milliseconds(300);
    call_record call;
    call.request = "c";
    call.status = 200;
    call.body = "answer to c of app";
    call.repeatable = false;
    seen.calls.push_back(call);
    add_arrival("app", "c", now);
    job_record job;
    job.job = "job";
    job.items = {"a", "b"};
    job.min_version = 2;
    job.accepted = true;
    seen.jobs.push_back(job);
    add_read({"a"});
    add_read({"a", "b"});
    add_order("one", 1, now);
    add_order("two", 2, now + milliseconds(300));
  }

  void add_arrival(std::string const& server, std::string const& request, time_point at) {
    arrival entry;
    entry.request = request;
    entry.ran = true;
    entry.at = at;
    seen.arrivals[server].push_back(entry);
  }

  void add_read(std::vector<std::string> const& ids) {
    read_record read;
    read.job = "job";
    for (std::string const& id : ids) read.results.push_back(make_result(id));
    seen.reads.push_back(std::move(read));
  }

  void add_order(std::string const& holder, std::uint64_t fence, time_point at) {
    order_arrival entry;
    entry.holder = holder;
    entry.fence = fence;
    entry.at = at;
    seen.orders["engine"].push_back(entry);
  }

  boost::json::object& last_result(std::size_t place) {
    return seen.reads.back().results[place].as_object();
  }

  void check_reports(std::string const& invariant) {
    soak_counts counts;
    auto const violations = check_soak(seen, counts);
    bool found = false;
    for (auto const& entry : violations) found = found || entry.invariant == invariant;
    CHECK_TEXT(found, invariant.c_str());
  }
};

TEST(soak_checker_test, good_records_break_nothing_and_are_counted) {
  soak_counts counts;
  LONGS_EQUAL(0, check_soak(seen, counts).size());
  LONGS_EQUAL(1, counts.requests);
  LONGS_EQUAL(2, counts.samples);
  LONGS_EQUAL(3, counts.positions);
  LONGS_EQUAL(2, counts.orders);
}

TEST(soak_checker_test, request_that_ran_twice) {
  add_arrival("other", "c", now);
  check_reports("at most once");
}

TEST(soak_checker_test, refused_request_that_ran) {
  seen.calls.back().status = 503;
  check_reports("refused is not run");
}

TEST(soak_checker_test, answer_to_another_request) {
  seen.calls.back().body = "answer to d of app";
  check_reports("whole own answer");
}

TEST(soak_checker_test, position_that_changed) {
  seen.reads.front().results[0] = make_result("b");
  check_reports("positions fixed");
}

TEST(soak_checker_test, item_at_two_positions) {
  seen.reads.back().results[1] = make_result("a");
  check_reports("one position for an item");
}

TEST(soak_checker_test, text_that_lacks_an_event) {
  last_result(0)["text"] = "a.0";
  check_reports("text is whole");
}

TEST(soak_checker_test, score_of_another_sample) {
  last_result(0)["score"] = "stamp-score-b";
  check_reports("score is its own scorer's");
}

TEST(soak_checker_test, version_older_than_allowed) {
  last_result(0)["versions"].as_array()[0] = std::uint64_t{1};
  check_reports("versions true");
}

TEST(soak_checker_test, accepted_job_that_is_not_listed_whole) {
  seen.reads.pop_back();
  check_reports("nothing acknowledged lost");
}

TEST(soak_checker_test, item_that_is_sent_long_after_its_jobs_end) {
  seen.jobs.back().ended = true;
  seen.jobs.back().ended_at = now;
  add_arrival("engine", "a", now + seconds(4));
  check_reports("an ended job sends nothing");
}

TEST(soak_checker_test, holders_that_take_turns) {
  seen.orders["engine"].back().at = now + milliseconds(200);
  add_order("one", 3, now + milliseconds(300));
  soak_counts counts;
  LONGS_EQUAL(0, check_soak(seen, counts).size());
  seen.orders["engine"].back().at = now + milliseconds(299);
  check_reports("holders do not take turns");
}

TEST(soak_checker_test, fence_that_falls) {
  seen.orders["engine"].back().fence = 0;
  check_reports("fences rise");
}

TEST(soak_checker_test, key_or_another_tenant_at_a_server) {
  seen.job_tenant = "first";
  seen.calls.front().tenant = "second";
  seen.arrivals["app"].front().tenant = "second";
  soak_counts counts;
  LONGS_EQUAL(0, check_soak(seen, counts).size());
  LONGS_EQUAL(1, counts.tenants);
  seen.arrivals["app"].front().authorization = "Bearer key";
  check_reports("no key at a server");
  seen.arrivals["app"].front().tenant = "first";
  check_reports("tenant is its key's");
  seen.calls.front().tenant = "";
  check_reports("no request of an unknown key");
}

TEST(soak_checker_test, usage_beyond_what_was_asked_and_reports_that_differ) {
  seen.calls.front().tenant = "first";
  seen.reported["first"] = 1;
  soak_counts counts;
  LONGS_EQUAL(0, check_soak(seen, counts).size());
  seen.reported["first"] = 2;
  check_reports("no more usage than requests");
  seen.duty_violations = {"window 7 by node-1: another report"};
  check_reports("one reporter");
}
