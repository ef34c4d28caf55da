/// @file Requests that come late in a planned stop, on connections that are open. Guards against
/// requests that are taken, passed on to a server and cut without an answer at the end of the stop.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include <memory>
#include <vector>

#include "platform_cluster.h"
#include "raw_connection.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

/// A stop takes 8 s at the most, and a request 4 s; its deadline of 5 s and the time limit of the
/// route pass after the stop.
constexpr milliseconds k_work_time{4000};
constexpr milliseconds k_times[] = {milliseconds(1000), milliseconds(1800), milliseconds(2500),
                                    milliseconds(3400), milliseconds(4200), milliseconds(5000),
                                    milliseconds(5800), milliseconds(6600)};
constexpr milliseconds k_answer_timeout{10'000};
constexpr char k_routes[] =
    R"(,{"name":"long-once","host":"test.example","path_prefix":"/long-once/",)"
    R"("kind":"unsafe","timeout_ms":20000,"target_latency_ms":5000,"priority":2,)"
    R"("service":"apps","max_attempts":3})";

}  // namespace

TEST_GROUP(late_requests_test) {
  platform_cluster system{platform_options()};

  void setup() override {
    system.on_platform([&] {
      system.put_config(2, k_routes);
      return 0;
    });
    platform_cluster::wait_until("the route is in force", [&] {
      auto const answer = system.call(0, http::verb::post, "/long-once/probe", "probe", "b");
      return answer && answer.value().result_int() == 200;
    });
  }

  std::vector<std::unique_ptr<raw_connection>> open_connections(std::size_t count) {
    std::vector<std::unique_ptr<raw_connection>> opened;
    for (std::size_t number = 0; number < count; ++number) {
      opened.push_back(std::make_unique<raw_connection>(system.client_address(0)));
      std::string const id = "first-" + std::to_string(number);
      opened.back()->send(system.call_text(http::verb::post, "/once/x", id, "b"));
      CHECK(opened.back()->read("\r\n\r\n").starts_with("HTTP/1.1 200 "));
    }
    return opened;
  }

  void set_work_time(milliseconds work_time) {
    system.on_platform([&] {
      for (std::size_t app = 0; app < system.apps(); ++app) {
        system.app(app).faults().work_time = work_time;
      }
      return 0;
    });
  }

  bool has_run(std::string const& request) {
    return system.on_platform([&] {
      for (std::size_t app = 0; app < system.apps(); ++app) {
        for (arrival const& entry : system.app(app).arrivals()) {
          if (entry.request == request) return true;
        }
      }
      return false;
    });
  }

  /// Sends one request on each connection at its time in a planned stop. @return the answers.
  std::vector<std::string> send_during_stop(
      std::vector<std::unique_ptr<raw_connection>> const& opened) {
    system.node(0).send_signal(SIGTERM);
    time_point const begin = boot_clock::now();
    for (std::size_t number = 0; number < opened.size(); ++number) {
      time_point const due = begin + k_times[number];
      platform_cluster::wait_until("the request is due", [&] { return boot_clock::now() >= due; });
      std::string const id = "late-" + std::to_string(number);
      opened[number]->send(system.call_text(http::verb::post, "/long-once/x", id, "b"));
    }
    std::vector<std::string> answers;
    for (auto const& connection : opened) answers.push_back(connection->read({}, k_answer_timeout));
    return answers;
  }
};

TEST(late_requests_test, request_that_may_outlast_the_stop_is_refused_or_answered) {
  auto const opened = open_connections(std::size(k_times));
  set_work_time(k_work_time);
  auto const answers = send_during_stop(opened);
  for (std::size_t number = 0; number < answers.size(); ++number) {
    std::string const& answer = answers[number];
    // The first three are sent while clients still connect, and end in time.
    if (number < 3) {
      CHECK(answer.find("HTTP/1.1 200 ") != std::string::npos);
      continue;
    }
    // A request that crosses the close of its connection gets the 408 of that.
    bool const crossed = answer.find("HTTP/1.1 408 ") != std::string::npos;
    CHECK(crossed || answer.find("HTTP/1.1 503 ") != std::string::npos);
    CHECK(crossed || answer.find("Retry-After: 0") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK_FALSE(has_run("late-" + std::to_string(number)));
  }
}
