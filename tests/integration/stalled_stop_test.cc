/// @file A node that stalls in its planned stop answers each request that it was sent, or says that
/// it has not run: on new connections and on kept ones.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include <vector>

#include "raw_connection.h"
#include "stalls.h"
#include "test_trainer.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr std::size_t k_kept_connections = 120;

std::string const k_bid = "POST /bid/lot HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\namount=1";

/// Returns true if `answer` begins with a whole response that tells whether the request has run.
bool is_definite(std::string const& answer) {
  if (answer.find("\r\n\r\n") == std::string::npos) return false;
  if (answer.starts_with("HTTP/1.1 200 ")) return true;
  return answer.find("\"run_state\":\"not_run\"") != std::string::npos;
}

}  // namespace

TEST_GROUP(stalled_stop_test) {
  cluster system{make_run_folder("stalled-stop"), cluster_options()};

  void setup() override {
    system.put_route("lookup", "/lookup/", true);
    system.put_route("bid", "/bid/", false);
    for (std::uint32_t node = 0; node < 3; ++node) {
      cluster::wait_until("the routes are in effect",
                          [&] { return system.status(node, true).routes.size() == 2; });
    }
  }

  int stop_with_stalls(std::uint32_t node, std::function<void()> const& during_stall) {
    child_process& stopped = system.process(cluster::node_name(node));
    stopped.send_signal(SIGTERM);
    return stall_until_exit(stopped, stall_times(), during_stall);
  }
};

// Guards against requests cut on connections that a stopping node has not accepted, or has accepted
// and not read.
TEST(stalled_stop_test, new_connections_are_answered) {
  auto callers = system.start_load(
      "callers.log", {"callers", "--nodes=" + system.node_list(), "--rate=600", "--seconds=8",
                      "--journal=" + system.journal_folder() + "/callers.jsonl"});
  LONGS_EQUAL(0, stop_with_stalls(1, [] {}));
  LONGS_EQUAL(0, callers.wait(60));
  LONGS_EQUAL(0, check_run(system).requests_cut);
  LONGS_EQUAL(0, check_run(system).requests_run_twice);
}

// Guards against requests cut on kept connections that a stopping node closes as idle.
TEST(stalled_stop_test, requests_on_kept_connections_are_answered) {
  std::vector<std::unique_ptr<raw_connection>> kept;
  for (std::size_t number = 0; number < k_kept_connections; ++number) {
    kept.push_back(std::make_unique<raw_connection>(system.node(1)));
    kept.back()->send(k_bid);
    CHECK_TRUE(is_definite(kept.back()->read("}")));
  }
  std::size_t used = 0;
  int const exit_code = stop_with_stalls(1, [&] {
    for (int of_this_stall = 0; of_this_stall < 2 && used < kept.size(); ++of_this_stall) {
      kept[used++]->send(k_bid);
    }
  });
  LONGS_EQUAL(0, exit_code);
  CHECK_TRUE(used > 0);
  for (std::size_t number = 0; number < used; ++number) {
    std::string const answer = kept[number]->read();
    CHECK_TRUE_TEXT(is_definite(answer), ("connection " + std::to_string(number) + " of " +
                                          std::to_string(used) + ": " + answer)
                                             .c_str());
  }
}
