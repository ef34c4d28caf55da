/// @file Planned end of an HTTP server: requests that clients have sent are answered, others are
/// known not to have run.

#include <CppUTest/TestHarness.h>

#include <deque>
#include <optional>

#include "cluster.h"
#include "http/server.h"
#include "raw_connection.h"

using namespace frostline;
using testing::raw_connection;

namespace {

constexpr seconds k_time_limit{10};
std::string const k_request = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

bool is_answered(std::string const& answer) { return answer.starts_with("HTTP/1.1 200 "); }

bool is_not_run(std::string const& answer) {
  return answer.starts_with("HTTP/1.1 408 ") &&
         answer.find("\"run_state\":\"not_run\"") != std::string::npos &&
         answer.find("Connection: close") != std::string::npos;
}

}  // namespace

TEST_GROUP(server_shutdown_test) {
  asio::io_context context{1};
  int handled = 0;
  bool hold_answers = false;
  http::server server{context, http::server_limits(), [this](http::request) { return answer(); }};
  endpoint address = testing::free_endpoint(testing::unique_loopback_address());
  std::optional<http::shutdown_report> report;

  void setup() override { STRCMP_EQUAL("", server.listen(address).c_str()); }
  void teardown() override {
    hold_answers = false;
    server.abort();
    context.run_for(milliseconds(50));
  }

  awaitable<http::response> answer() {
    ++handled;
    while (hold_answers) co_await wait_for(milliseconds(5));
    co_return http::make_response(http::status::ok, "whole", "text/plain");
  }

  awaitable<void> shut_down(milliseconds time) {
    report = co_await server.shut_down(boot_clock::now() + time);
  }

  void begin_shutdown(milliseconds time = seconds(5)) { spawn(context, shut_down(time)); }

  void run_until(std::function<bool()> const& condition) {
    time_point const deadline = boot_clock::now() + k_time_limit;
    while (!condition()) {
      CHECK_TRUE_TEXT(boot_clock::now() < deadline, "not in time");
      context.run_for(milliseconds(2));
    }
  }

  void run_to_end() {
    run_until([this] { return report.has_value(); });
  }

  /// Opens connections on which one request has been answered, and which stay open.
  void open_kept(std::deque<raw_connection> & kept, int count) {
    for (int number = 0; number < count; ++number) kept.emplace_back(address).send(k_request);
    run_until([&] {
      return handled == count && server.in_flight() == 0 &&
             server.connections() == static_cast<std::size_t>(count);
    });
    for (raw_connection& client : kept) CHECK_TRUE(is_answered(client.read("whole")));
  }
};

// Guards against the reset of connections that the process has not accepted.
TEST(server_shutdown_test, requests_in_the_listen_queue_are_answered) {
  std::deque<raw_connection> clients;
  for (int number = 0; number < 20; ++number) clients.emplace_back(address).send(k_request);
  begin_shutdown();
  run_to_end();
  for (raw_connection& client : clients) CHECK_TRUE(is_answered(client.read()));
  LONGS_EQUAL(20, handled);
  CHECK(report->accepted_last > 0);
  LONGS_EQUAL(0, report->cut);
}

// Guards against connections that are closed between their accept and their first request.
TEST(server_shutdown_test, client_that_has_just_connected_may_send_its_request) {
  raw_connection client(address);
  run_until([this] { return server.connections() == 1; });
  begin_shutdown();
  context.run_for(milliseconds(60));
  client.send(k_request);
  run_to_end();
  CHECK_TRUE(is_answered(client.read()));
  LONGS_EQUAL(1, report->awaited);
  LONGS_EQUAL(0, report->closed_unused);
}

TEST(server_shutdown_test, request_that_was_read_in_part_is_answered) {
  raw_connection client(address);
  client.send(k_request.substr(0, 20));
  run_until([this] { return server.connections() == 1; });
  begin_shutdown();
  context.run_for(milliseconds(400));
  client.send(k_request.substr(20));
  run_to_end();
  CHECK_TRUE(is_answered(client.read()));
}

// Guards against the reset of a kept connection whose next request is already in the kernel.
TEST(server_shutdown_test, request_sent_before_a_kept_connection_closes_is_answered) {
  std::deque<raw_connection> kept;
  open_kept(kept, 20);
  begin_shutdown();
  for (raw_connection& client : kept) client.send(k_request);
  run_to_end();
  for (raw_connection& client : kept) CHECK_TRUE(is_answered(client.read()));
  LONGS_EQUAL(40, handled);
}

// Guards against doubt about a request that crosses the close of its connection.
TEST(server_shutdown_test, request_that_crosses_the_close_has_not_run) {
  std::deque<raw_connection> kept;
  open_kept(kept, 1);
  begin_shutdown();
  // The client has read the notice only after it has sent its request.
  std::string answer;
  run_until([&] {
    answer += kept.front().read("\r\n\r\n", milliseconds(1));
    return !answer.empty();
  });
  kept.front().send(k_request);
  run_to_end();
  answer += kept.front().read();
  CHECK_TRUE(is_not_run(answer));
  LONGS_EQUAL(1, handled);
  LONGS_EQUAL(1, report->closed_unused);
  LONGS_EQUAL(1, report->crossed);
}

TEST(server_shutdown_test, unused_connections_do_not_delay_the_end_for_long) {
  std::deque<raw_connection> silent;
  for (int number = 0; number < 5; ++number) silent.emplace_back(address);
  run_until([this] { return server.connections() == 5; });
  time_point const begin = boot_clock::now();
  begin_shutdown();
  run_to_end();
  CHECK(boot_clock::now() - begin < seconds(2));
  for (raw_connection& client : silent) CHECK_TRUE(is_not_run(client.read()));
  LONGS_EQUAL(5, report->closed_unused);
  LONGS_EQUAL(0, report->crossed);
}

// Guards against resets of connections that are begun while the listener closes.
TEST(server_shutdown_test, connection_begun_during_the_close_is_refused) {
  begin_shutdown();
  context.run_for(milliseconds(10));
  tcp::socket late(context);
  std::optional<boost::system::error_code> outcome;
  late.async_connect({asio::ip::make_address(address.address), address.port},
                     [&](boost::system::error_code failure) { outcome = failure; });
  run_until([&] { return outcome.has_value(); });
  CHECK(*outcome == asio::error::connection_refused);
}

// Guards against doubt about a request that crosses the close of a connection that was idle for too
// long.
TEST(server_shutdown_test, request_that_crosses_the_idle_timeout_has_not_run) {
  http::server_limits limits;
  limits.idle_timeout = milliseconds(50);
  http::server impatient(context, limits, [this](http::request) { return answer(); });
  endpoint const other = testing::free_endpoint(address.address);
  STRCMP_EQUAL("", impatient.listen(other).c_str());
  raw_connection client(other);
  client.send(k_request);
  run_until([&] { return handled == 1 && impatient.in_flight() == 0; });
  CHECK_TRUE(is_answered(client.read("whole")));
  std::string notice;
  run_until([&] {
    notice += client.read("\r\n\r\n", milliseconds(1));
    return !notice.empty();
  });
  client.send(k_request);
  run_until([&] { return impatient.connections() == 0; });
  CHECK_TRUE(is_not_run(notice + client.read()));
  LONGS_EQUAL(1, handled);
  impatient.abort();
  context.run_for(milliseconds(50));
}

TEST(server_shutdown_test, request_in_flight_at_the_deadline_is_counted_as_cut) {
  hold_answers = true;
  raw_connection client(address);
  client.send(k_request);
  run_until([this] { return server.in_flight() == 1; });
  begin_shutdown(milliseconds(100));
  run_to_end();
  LONGS_EQUAL(1, report->cut);
}
