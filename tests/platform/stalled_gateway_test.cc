/// @file A gateway that stalls in its planned stop answers each request that it was sent, or says
/// that it has not run: on new connections and on kept ones.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include <atomic>
#include <thread>
#include <vector>

#include "platform_cluster.h"
#include "raw_connection.h"
#include "stalls.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr std::size_t k_callers = 8;
constexpr std::size_t k_kept_connections = 160;

/// Returns true if `answer` begins with a response that tells whether the request has run.
bool is_definite(std::string const& answer) {
  if (answer.find("\r\n\r\n") == std::string::npos) return false;
  for (char const* status : {"200", "408", "429", "503"}) {
    if (answer.starts_with("HTTP/1.1 " + std::string(status) + " ")) return true;
  }
  return false;
}

}  // namespace

TEST_GROUP(stalled_gateway_test) {
  platform_cluster system{platform_options()};

  int stop_with_stalls(std::size_t node, std::function<void()> const& during_stall) {
    system.node(node).send_signal(SIGTERM);
    return stall_until_exit(system.node(node), stall_times(), during_stall);
  }
};

// Guards against requests cut on connections that a stopping gateway has not accepted, or has
// accepted and not read.
TEST(stalled_gateway_test, new_connections_are_answered) {
  std::atomic<bool> stop = false;
  std::atomic<int> served = 0;
  std::atomic<int> cut = 0;
  std::vector<std::thread> callers;
  for (std::size_t caller = 0; caller < k_callers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int number = 0; !stop; ++number) {
        std::string const id = std::to_string(caller) + "-" + std::to_string(number);
        auto const answer = system.call(0, http::verb::post, "/once/x", id, "b");
        if (answer) {
          ++served;
        } else if (answer.error() != http::errc::connect_failed) {
          ++cut;
        }
      }
    });
  }
  platform_cluster::wait_until("calls are served", [&] { return served > 10; });
  int const exit_code = stop_with_stalls(0, [] {});
  stop = true;
  for (std::thread& caller : callers) caller.join();
  LONGS_EQUAL(0, exit_code);
  LONGS_EQUAL(0, cut);
}

// Guards against requests cut on kept connections that end with the process.
TEST(stalled_gateway_test, requests_on_kept_connections_are_answered) {
  std::vector<std::unique_ptr<raw_connection>> kept;
  for (std::size_t number = 0; number < k_kept_connections; ++number) {
    kept.push_back(std::make_unique<raw_connection>(system.client_address(0)));
    kept.back()->send(
        system.call_text(http::verb::post, "/once/x", "first-" + std::to_string(number), "b"));
    CHECK_TRUE(is_definite(kept.back()->read("\r\n\r\n")));
  }
  std::size_t used = 0;
  int const exit_code = stop_with_stalls(0, [&] {
    for (int of_this_stall = 0; of_this_stall < 2 && used < kept.size(); ++of_this_stall) {
      std::string const id = "last-" + std::to_string(used);
      kept[used++]->send(system.call_text(http::verb::post, "/once/x", id, "b"));
    }
  });
  LONGS_EQUAL(0, exit_code);
  CHECK_TRUE(used > 0);
  for (std::size_t number = 0; number < used; ++number) {
    std::string const answer = kept[number]->read();
    std::size_t const begin = answer.find("HTTP/1.1 ");
    bool const definite = begin != std::string::npos && is_definite(answer.substr(begin));
    CHECK_TRUE_TEXT(definite, ("connection " + std::to_string(number) + " of " +
                               std::to_string(used) + ": " + answer)
                                  .c_str());
  }
}
