/// @file At the limit of its connections a server closes those that have no whole request, and
/// serves new ones.

#include <CppUTest/TestHarness.h>

#include <deque>
#include <future>

#include "cluster.h"
#include "http/server.h"
#include "raw_connection.h"

using namespace frostline;
using testing::raw_connection;

namespace {

constexpr std::size_t k_limit = 4;
std::string const k_request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
std::string const k_half_request = "GET / HTTP/1.1\r\nHost: x\r\n";

http::server_limits small_limits() {
  http::server_limits limits;
  limits.connections = k_limit;
  return limits;
}

}  // namespace

TEST_GROUP(connection_limit_test) {
  asio::io_context context{1};
  endpoint address = testing::free_endpoint(testing::unique_loopback_address());
  std::size_t handled = 0;
  bool answers = true;
  http::server server{context, small_limits(), [this](http::request) { return handle(); }};
  std::deque<raw_connection> callers;

  void setup() override { STRCMP_EQUAL("", server.listen(address).c_str()); }
  void teardown() override {
    server.abort();
    answers = true;
    poll();
  }

  awaitable<http::response> handle() {
    ++handled;
    while (!answers) co_await wait_for(milliseconds(1));
    co_return http::make_response(http::status::ok, "whole", "text/plain");
  }

  void poll() {
    context.restart();
    context.run_for(milliseconds(2));
  }

  void poll_until(std::function<bool()> const& condition) {
    testing::cluster::wait_until("the server has gone on", [&] {
      poll();
      return condition();
    });
  }

  std::string read(raw_connection & caller, std::string const& until) {
    auto answer = std::async(std::launch::async, [&] { return caller.read(until); });
    while (answer.wait_for(seconds(0)) != std::future_status::ready) poll();
    return answer.get();
  }

  /// Connects as many callers as the server admits, one after another.
  void fill(std::string const& text) {
    for (std::size_t number = 0; number < k_limit; ++number) {
      callers.emplace_back(address).send(text);
      poll_until([&] { return server.connections() == number + 1; });
    }
  }

  void check_served(raw_connection & caller) {
    caller.send(k_request);
    CHECK_TRUE(read(caller, "whole").starts_with("HTTP/1.1 200 "));
  }
};

// Guards against idle connections that keep others out.
TEST(connection_limit_test, the_connection_that_has_waited_longest_makes_room) {
  fill("");
  raw_connection late(address);
  check_served(late);
  CHECK_TRUE(read(callers.front(), "}").starts_with("HTTP/1.1 408 "));
  LONGS_EQUAL(1, server.evicted());
  for (std::size_t number = 1; number < k_limit; ++number) check_served(callers[number]);
}

// Guards against unfinished requests that keep others out.
TEST(connection_limit_test, the_oldest_unfinished_request_makes_room) {
  fill(k_half_request);
  raw_connection late(address);
  check_served(late);
  CHECK_TRUE(read(callers.front(), "}").starts_with("HTTP/1.1 408 "));
  for (std::size_t number = 1; number < k_limit; ++number) {
    callers[number].send("\r\n");
    CHECK_TRUE(read(callers[number], "whole").starts_with("HTTP/1.1 200 "));
  }
}

// Guards against a request that is cut to make room, although it may have run.
TEST(connection_limit_test, whole_requests_make_no_room) {
  answers = false;
  fill(k_request);
  poll_until([&] { return handled == k_limit; });
  raw_connection late(address);
  late.send(k_request);
  STRCMP_EQUAL("", read(late, "whole").c_str());
  answers = true;
  for (raw_connection& caller : callers) {
    CHECK_TRUE(read(caller, "whole").starts_with("HTTP/1.1 200 "));
  }
  LONGS_EQUAL(0, server.evicted());
}

// Guards against connections that are admitted without limit while others end.
TEST(connection_limit_test, connections_that_end_are_limited) {
  fill("");
  for (std::size_t number = 0; number < 8 * k_limit; ++number) {
    callers.emplace_back(address);
    poll();
    CHECK_TRUE(server.connections() <= k_limit + 2);
  }
  check_served(callers.back());
}
