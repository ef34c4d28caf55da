/// @file A caller gets the complete answer to its own request or an error, with truncated or late
/// answers, reused connections and pipelined requests.

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <thread>

#include "base/encoding.h"
#include "fault_proxy.h"
#include "http/json_fields.h"
#include "raw_connection.h"
#include "test_trainer.h"

using namespace frostline;
using namespace frostline::testing;

TEST_GROUP(whole_answer_test) {
  cluster system{make_run_folder("whole-answer"), cluster_options()};
  rpc::blocking_client caller;

  void setup() override { route("lookup", true, {"app-0", "app-1"}, 2000); }

  void route(std::string const& name, bool repeatable, std::vector<std::string> back_ends,
             std::uint32_t deadline_ms) {
    auto const change =
        system.put_route_to(name, "/" + name + "/", repeatable, std::move(back_ends), deadline_ms);
    cluster::wait_until("the route is in effect", [&] {
      for (auto const& route_status : system.status(0, true).routes) {
        if (route_status->record->name == name) return route_status->revision >= change.revision;
      }
      return false;
    });
  }

  result<http::response> get(std::string const& target) {
    return caller.exchange(system.node(0), http::make_get(target), milliseconds(10'000));
  }

  static std::string target_of(http::response const& answer) {
    auto const body = parse_json_object(answer.body());
    return body ? json_text(*body, "target") : std::string();
  }
};

TEST(whole_answer_test, truncated_answer_is_retried_on_another_back_end) {
  system.set_faults(system.app(0), {{"truncate_answers", 1}});
  system.set_faults(system.app(1), {{"truncate_answers", 1}});
  for (int number = 0; number < 10; ++number) {
    std::string const target = "/lookup/" + std::to_string(number);
    auto const answer = get(target);
    bool const complete = answer && answer.value().result() == http::status::ok;
    bool const failed = answer && answer.value().result() == http::status::bad_gateway;
    CHECK(complete || failed);
    if (complete) STRCMP_EQUAL(target.c_str(), target_of(answer.value()).c_str());
  }
}

TEST(whole_answer_test, truncated_answer_is_never_forwarded) {
  route("lookup", true, {"app-0"}, 2000);
  system.set_faults(system.app(0), {{"truncate_answers", 3}});
  for (int number = 0; number < 3; ++number) {
    auto const answer = get("/lookup/" + std::to_string(number));
    LONGS_EQUAL(502, answer.value().result_int());
    CHECK(answer.value().body().find("back_end_failed") != std::string::npos);
  }
  LONGS_EQUAL(200, get("/lookup/after").value().result_int());
}

TEST(whole_answer_test, late_answers_do_not_reach_later_requests) {
  route("lookup", true, {"app-0"}, 200);
  for (int round = 0; round < 5; ++round) {
    system.set_faults(system.app(0), {{"delay_ms", 300}});
    auto const late = get("/lookup/late-" + std::to_string(round));
    LONGS_EQUAL(504, late.value().result_int());
    CHECK(late.value().body().find("\"run_state\":\"unknown\"") != std::string::npos);
    system.set_faults(system.app(0), {{"delay_ms", 0}});
    for (int number = 0; number < 5; ++number) {
      std::string const target = "/lookup/" + std::to_string(round * 10 + number);
      auto const answer = get(target);
      LONGS_EQUAL(200, answer.value().result_int());
      STRCMP_EQUAL(target.c_str(), target_of(answer.value()).c_str());
    }
  }
}

TEST(whole_answer_test, answer_truncated_at_any_byte_is_not_forwarded_as_complete) {
  fault_proxy proxy(system.app(0));
  system.relocate("app-0", proxy.listen());
  route("lookup", true, {"app-0"}, 2000);
  cluster::wait_until("calls go through the proxy", [&] {
    (void)get("/lookup/probe").has_value();
    return proxy.connections() > 0;
  });
  for (std::int64_t bytes = 0; bytes < 320; bytes += 3) {
    proxy.reset_all();
    proxy_faults faults;
    faults.reset_after_answer_bytes = bytes;
    proxy.set(faults);
    std::string const target = "/lookup/" + std::to_string(bytes);
    auto const answer = get(target);
    bool const complete = answer.value().result() == http::status::ok;
    if (complete) STRCMP_EQUAL(target.c_str(), target_of(answer.value()).c_str());
    CHECK(complete || answer.value().result() == http::status::bad_gateway ||
          answer.value().result() == http::status::service_unavailable);
  }
}

TEST(whole_answer_test, pipelined_requests_are_answered_in_order) {
  raw_connection connection(system.node(0));
  std::string requests;
  for (int number = 0; number < 5; ++number) {
    requests += "GET /lookup/p" + std::to_string(number) + " HTTP/1.1\r\nHost: x\r\n\r\n";
  }
  connection.send(requests);
  std::string const answers = connection.read("/lookup/p4");
  std::size_t position = 0;
  for (int number = 0; number < 5; ++number) {
    std::size_t const found = answers.find("/lookup/p" + std::to_string(number), position);
    CHECK(found != std::string::npos);
    position = found;
  }
}

TEST(whole_answer_test, concurrent_callers_get_their_own_answers) {
  std::atomic<int> wrong{0};
  std::atomic<int> right{0};
  std::vector<std::thread> threads;
  for (int thread = 0; thread < 8; ++thread) {
    threads.emplace_back([&, thread] {
      rpc::blocking_client client;
      for (int number = 0; number < 100; ++number) {
        std::string const target =
            "/lookup/" + std::to_string(thread) + "-" + std::to_string(number);
        auto const answer = client.exchange(system.node(static_cast<std::uint32_t>(number % 3)),
                                            http::make_get(target), milliseconds(5000));
        bool const good = answer && answer.value().result() == http::status::ok;
        if (good) ++(target_of(answer.value()) == target ? right : wrong);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  LONGS_EQUAL(0, wrong);
  CHECK(right > 700);
}
