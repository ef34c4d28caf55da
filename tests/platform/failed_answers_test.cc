/// @file Samples whose engines or scorers fail: a sample is dead only after as many complete
/// answers with status 500 as its route has attempts. Guards against samples given up because a
/// slow server answered 504, a proxy in between answered 502 or 503, or an answer was cut.

#include <CppUTest/TestHarness.h>

#include <map>

#include "http/json_fields.h"
#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr std::uint32_t k_max_attempts = 3;
constexpr std::uint32_t k_many_failures = 1000;

std::vector<test_item> one_item() { return {{"job-0", "group-0"}}; }

std::string state_of_first(boost::json::object const& listed) {
  return json_text(listed.at("results").as_array().front().as_object(), "state");
}

}  // namespace

TEST_GROUP(failed_answers_test) {
  static platform_options options() {
    platform_options one_of_each;
    one_of_each.engines = 1;
    one_of_each.apps = 1;
    return one_of_each;
  }

  platform_cluster system{options()};

  void set_faults(server_standin & server, unsigned status, std::uint32_t count, bool cut = false) {
    system.on_platform([&] {
      server.faults().failures = count;
      server.faults().failure_status = status;
      server.faults().cuts_failures = cut;
      return 0;
    });
  }

  std::size_t arrivals_at(server_standin & server) {
    return system.on_platform([&] { return server.arrivals().size(); });
  }

  /// Runs a job of one sample. @return the state of its result.
  std::string run_one() {
    LONGS_EQUAL(202, system.submit(0, "job", one_item()));
    return state_of_first(system.wait_for_results(1, "job", 1));
  }
};

TEST(failed_answers_test, scorer_that_answers_504_does_not_use_up_the_sample) {
  set_faults(system.app(0), 504, 2 * k_max_attempts);
  STRCMP_EQUAL("completed", run_one().c_str());
  CHECK(arrivals_at(system.app(0)) > 2 * k_max_attempts);
}

TEST(failed_answers_test, scorer_that_answers_502_does_not_use_up_the_sample) {
  set_faults(system.app(0), 502, 2 * k_max_attempts);
  STRCMP_EQUAL("completed", run_one().c_str());
}

TEST(failed_answers_test, scorer_that_answers_503_without_a_refusal_does_not_use_up_the_sample) {
  set_faults(system.app(0), 503, 2 * k_max_attempts);
  STRCMP_EQUAL("completed", run_one().c_str());
}

TEST(failed_answers_test, errors_of_scorers_that_are_cut_do_not_use_up_the_sample) {
  set_faults(system.app(0), 500, 2 * k_max_attempts, true);
  STRCMP_EQUAL("completed", run_one().c_str());
}

TEST(failed_answers_test, all_attempts_inside_one_call_count) {
  set_faults(system.app(0), 500, k_many_failures);
  STRCMP_EQUAL("dead", run_one().c_str());
  std::size_t const arrivals = arrivals_at(system.app(0));
  CHECK(arrivals >= k_max_attempts);
  CHECK(arrivals < 2 * k_max_attempts);
}

TEST(failed_answers_test, new_owner_counts_the_errors_that_it_has_seen_itself) {
  set_faults(system.app(0), 504, k_many_failures);
  LONGS_EQUAL(202, system.submit(0, "job", one_item()));
  platform_cluster::wait_until("the scorer is called",
                               [&] { return arrivals_at(system.app(0)) > k_max_attempts; });
  std::size_t const owner = system.owner();
  system.node(owner).kill();
  set_faults(system.app(0), 500, k_max_attempts - 1);
  auto const listed = system.wait_for_results((owner + 1) % 3, "job", 1);
  STRCMP_EQUAL("completed", state_of_first(listed).c_str());
}

TEST(failed_answers_test, errors_of_engines_that_are_cut_do_not_use_up_the_sample) {
  set_faults(system.engine(0), 500, 2 * k_max_attempts, true);
  STRCMP_EQUAL("completed", run_one().c_str());
}

TEST(failed_answers_test, engine_that_answers_504_does_not_use_up_the_sample) {
  set_faults(system.engine(0), 504, 2 * k_max_attempts);
  STRCMP_EQUAL("completed", run_one().c_str());
}

TEST(failed_answers_test, cut_statement_of_an_engine_that_a_sample_is_impossible_is_ignored) {
  set_faults(system.engine(0), 422, 1, true);
  STRCMP_EQUAL("completed", run_one().c_str());
}

TEST(failed_answers_test, statement_of_an_engine_that_a_sample_is_impossible_ends_it) {
  set_faults(system.engine(0), 422, 1);
  STRCMP_EQUAL("dead", run_one().c_str());
  LONGS_EQUAL(1, arrivals_at(system.engine(0)));
}
