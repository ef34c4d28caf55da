/// @file An exception in the handler of one request ends neither the process nor other requests.

#include <CppUTest/TestHarness.h>

#include <future>
#include <stdexcept>

#include "calls/ingress.h"
#include "cluster.h"
#include "http/server.h"
#include "raw_connection.h"

using namespace frostline;
using testing::raw_connection;

namespace {

std::string request_to(std::string const& target) {
  return "POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
}

http::response whole_answer() {
  return http::make_response(http::status::ok, "whole", "text/plain");
}

}  // namespace

TEST_GROUP(failing_handlers_test) {
  asio::io_context context{1};
  endpoint address = testing::free_endpoint(testing::unique_loopback_address());

  awaitable<http::response> handle(http::request message) {
    if (message.target() == "/fails") throw std::out_of_range("no such element");
    co_return whole_answer();
  }

  awaitable<void> handle_call(http::request message, calls::caller & client) {
    if (message.target() == "/fails") throw std::out_of_range("no such element");
    if (message.target() == "/fails-midway") {
      co_await client.begin(http::response(http::status::ok, 11));
      co_await client.send("a part");
      throw std::out_of_range("no such element");
    }
    co_await client.answer(whole_answer());
  }

  std::string exchange(std::string const& target) {
    raw_connection caller(address);
    caller.send(request_to(target));
    auto answer = std::async(std::launch::async, [&] { return caller.read("whole"); });
    while (answer.wait_for(seconds(0)) != std::future_status::ready) {
      context.restart();
      context.run_for(milliseconds(2));
    }
    return answer.get();
  }
};

// Guards against a process that ends when the handler of one peer's request fails.
TEST(failing_handlers_test, server_answers_500_and_serves_on) {
  http::server server(context, http::server_limits(),
                      [this](http::request message) { return handle(std::move(message)); });
  STRCMP_EQUAL("", server.listen(address).c_str());
  std::string const failed = exchange("/fails");
  CHECK_TRUE_TEXT(failed.starts_with("HTTP/1.1 500 "), failed.c_str());
  CHECK_TRUE(failed.find("Connection: close") != std::string::npos);
  LONGS_EQUAL(0, server.connections());
  CHECK_TRUE(exchange("/works").starts_with("HTTP/1.1 200 "));
  server.abort();
  context.run_for(milliseconds(50));
}

// Guards against a gateway that ends when one client's call fails.
TEST(failing_handlers_test, gateway_answers_500_and_serves_on) {
  calls::ingress clients(
      context,
      [this](http::request message, calls::caller& client) {
        return handle_call(std::move(message), client);
      },
      100);
  STRCMP_EQUAL("", clients.listen(address).c_str());
  std::string const failed = exchange("/fails");
  CHECK_TRUE_TEXT(failed.starts_with("HTTP/1.1 500 "), failed.c_str());
  LONGS_EQUAL(0, clients.in_flight());
  CHECK_TRUE(exchange("/works").starts_with("HTTP/1.1 200 "));
}

// Guards against a streamed answer that looks complete although its handler failed.
TEST(failing_handlers_test, answer_that_fails_midway_is_truncated) {
  calls::ingress clients(
      context,
      [this](http::request message, calls::caller& client) {
        return handle_call(std::move(message), client);
      },
      100);
  STRCMP_EQUAL("", clients.listen(address).c_str());
  std::string const cut = exchange("/fails-midway");
  CHECK_TRUE(cut.find("a part") != std::string::npos);
  CHECK_TRUE(cut.find("\r\n0\r\n") == std::string::npos);
  CHECK_TRUE(exchange("/works").starts_with("HTTP/1.1 200 "));
}
