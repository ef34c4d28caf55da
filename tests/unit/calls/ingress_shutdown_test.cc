/// @file Planned end of a gateway's client connections.

#include <CppUTest/TestHarness.h>

#include <boost/asio/post.hpp>
#include <deque>
#include <optional>

#include "calls/ingress.h"
#include "cluster.h"
#include "raw_connection.h"

using namespace frostline;
using testing::raw_connection;

namespace {

constexpr seconds k_time_limit{10};
constexpr std::size_t k_clients = 20;
std::string const k_request = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

}  // namespace

TEST_GROUP(ingress_shutdown_test) {
  asio::io_context context{1};
  std::size_t handled = 0;
  calls::ingress clients{
      context, [this](http::request, calls::caller& client) { return answer(client); }, 100};
  endpoint address = testing::free_endpoint(testing::unique_loopback_address());
  std::optional<http::shutdown_report> report;

  void setup() override { STRCMP_EQUAL("", clients.listen(address).c_str()); }

  awaitable<void> answer(calls::caller & client) {
    ++handled;
    co_await client.answer(http::make_response(http::status::ok, "whole", "text/plain"));
  }

  awaitable<void> shut_down() {
    report = co_await clients.shut_down(boot_clock::now() + seconds(5));
  }

  /// Keeps the event loop busy for longer than the listener takes to close.
  static void stall() {
    time_point const end = boot_clock::now() + http::k_handshake_time + milliseconds(20);
    while (boot_clock::now() < end) continue;
  }
};

// Guards against an end that does not wait for connections accepted last: the process would exit
// and cut them.
TEST(ingress_shutdown_test, connections_accepted_last_are_answered_before_the_end) {
  std::deque<raw_connection> callers;
  for (std::size_t number = 0; number < k_clients; ++number) {
    callers.emplace_back(address).send(k_request);
  }
  spawn(context, shut_down());
  asio::post(context, stall);
  time_point const deadline = boot_clock::now() + k_time_limit;
  while (!report && boot_clock::now() < deadline) context.run_one_for(milliseconds(10));
  CHECK_TRUE(report.has_value());
  LONGS_EQUAL(k_clients, handled);
  LONGS_EQUAL(0, report->cut);
  for (raw_connection& caller : callers) CHECK_TRUE(caller.read().starts_with("HTTP/1.1 200 "));
}
