/// @file Streaming requests that may not be repeated, whose answers break off. Guards against
/// requests that a server ran and that clients are told to send again.

#include <CppUTest/TestHarness.h>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr std::size_t k_requests = 6;
constexpr char k_route[] =
    R"(,{"name":"once-stream","host":"test.example","path_prefix":"/once-stream/",)"
    R"("kind":"streaming","timeout_ms":5000,"target_latency_ms":400,"priority":1,)"
    R"("service":"engines","max_attempts":3})";

}  // namespace

TEST_GROUP(broken_answers_test) {
  platform_cluster system{platform_options()};

  void setup() override {
    system.on_platform([&] {
      system.put_config(2, k_route);
      return 0;
    });
    for (std::size_t node = 0; node < system.nodes(); ++node) {
      platform_cluster::wait_until("the route is in force", [&] {
        auto const answer = call(node, "probe-" + std::to_string(node));
        return answer && answer.value().result() == http::status::ok;
      });
    }
  }

  result<http::response> call(std::size_t node, std::string const& request) {
    return system.call(node, http::verb::post, "/once-stream/" + request, request, "prompt");
  }

  void fail_requests(bool cut) {
    system.on_platform([&] {
      for (std::size_t engine = 0; engine < system.engines(); ++engine) {
        system.engine(engine).faults().failures = k_requests;
        system.engine(engine).faults().cuts_failures = cut;
      }
      return 0;
    });
  }

  std::size_t runs_of(std::string const& request) {
    return system.on_platform([&] {
      std::size_t runs = 0;
      for (std::size_t engine = 0; engine < system.engines(); ++engine) {
        for (arrival const& entry : system.engine(engine).arrivals()) {
          if (entry.request == request && entry.ran) ++runs;
        }
      }
      return runs;
    });
  }
};

TEST(broken_answers_test, request_that_ran_is_not_reported_as_not_run) {
  fail_requests(true);
  for (std::size_t number = 0; number < k_requests; ++number) {
    std::string const request = "cut-" + std::to_string(number);
    auto const answer = call(number % system.nodes(), request);
    CHECK(static_cast<bool>(answer));
    LONGS_EQUAL(502, answer.value().result_int());
    LONGS_EQUAL(1, runs_of(request));
  }
}

TEST(broken_answers_test, whole_error_is_passed_on_with_its_stamp) {
  fail_requests(false);
  auto const answer = call(0, "whole");
  LONGS_EQUAL(500, answer.value().result_int());
  STRCMP_EQUAL("stamp-whole", platform_cluster::stamp_of(answer.value()).c_str());
}
