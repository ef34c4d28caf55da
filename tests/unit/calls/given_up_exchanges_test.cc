/// @file Exchanges with servers that are given up. Guards against requests that reach a server long
/// after their caller left, their job ended or they were sent to another server, since the kernel
/// kept sending them while the server was cut off.

#include <CppUTest/TestHarness.h>

#include "calls/exchange.h"
#include "link_cut.h"
#include "recording_server.h"

using namespace frostline;
using namespace frostline::calls;
using namespace frostline::testing;

namespace {

constexpr milliseconds k_short_timeout{100};
constexpr milliseconds k_long_timeout{3000};
constexpr char k_answer[] = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 2\r\n\r\nok";
constexpr char k_other_answer[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 2\r\n\r\nok";
constexpr char k_endless_answer[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
/// More than the kernel's buffers take.
constexpr std::size_t k_long_body = 32 * 1024 * 1024;

}  // namespace

TEST_GROUP(given_up_exchanges_test) {
  asio::io_context context{1};
  connection_pool pool{context};
  header_names names;
  recording_server peer{context, ""};
  std::unique_ptr<exchange> current;

  /// Starts an exchange and runs it until its request is written and, unless `timeout` passes
  /// before, the head of the answer is read.
  void start(milliseconds timeout, std::size_t body_size = 0,
             connection_choice choice = connection_choice::pooled) {
    directory::server server;
    server.id = "server-1";
    server.address = peer.address();
    current = std::make_unique<exchange>(pool, names, server);
    failure.reset();
    is_sent = false;
    spawn(context, send(timeout, body_size, choice));
  }

  awaitable<void> send(milliseconds timeout, std::size_t body_size, connection_choice choice) {
    http::request message(http::verb::post, "/score", 11);
    message.set(names.request_id, "r-1");
    message.body().assign(body_size, 'x');
    message.prepare_payload();
    time_point const deadline = boot_clock::now() + timeout;
    exchange_failure outcome = co_await current->send(message, choice, deadline);
    is_sent = true;
    if (outcome == exchange_failure::none) outcome = co_await current->read_head(deadline);
    failure = outcome;
  }

  void wait_until_sent() {
    CHECK(run_until(context, [&] { return is_sent; }));
  }

  exchange_failure wait_for_outcome() {
    CHECK(run_until(context, [&] { return failure.has_value(); }));
    return *failure;
  }

  void read_whole_answer() {
    bool whole = false;
    auto read = [&]() -> awaitable<void> {
      std::string piece;
      while (!current->is_whole()) {
        (void)co_await current->read_piece(piece, boot_clock::now() + k_long_timeout);
      }
      whole = true;
    };
    spawn(context, read());
    CHECK(run_until(context, [&] { return whole; }));
  }

  /// Makes one answered exchange, whose connection is pooled.
  void keep_connection() {
    peer.set_answer(k_answer);
    start(k_long_timeout);
    CHECK(wait_for_outcome() == exchange_failure::none);
    read_whole_answer();
    current->finish();
    peer.set_answer("");
  }

  /// Heals the path and checks that nothing arrives on it, now or later.
  void check_that_nothing_arrives(link_cut & cut) {
    std::size_t const received = peer.received().size();
    cut.heal();
    CHECK(run_until(context, [&] { return unacknowledged_bytes(peer.address()) == 0; }));
    context.restart();
    context.poll();
    LONGS_EQUAL(received, peer.received().size());
  }

  boost::system::error_code wait_for_end() {
    CHECK(run_until(context, [&] { return !peer.ends().empty(); }));
    return peer.ends().front();
  }

  std::optional<exchange_failure> failure;
  bool is_sent = false;
};

TEST(given_up_exchanges_test, request_that_timed_out_in_a_partition_never_arrives) {
  link_cut cut({peer.address()});
  start(k_short_timeout);
  CHECK(wait_for_outcome() == exchange_failure::timed_out);
  check_that_nothing_arrives(cut);
}

TEST(given_up_exchanges_test, request_on_a_recently_used_connection_never_arrives) {
  keep_connection();
  link_cut cut({peer.address()});
  start(k_short_timeout, 0, connection_choice::recently_used);
  CHECK(wait_for_outcome() == exchange_failure::timed_out);
  check_that_nothing_arrives(cut);
}

TEST(given_up_exchanges_test, request_whose_caller_left_never_arrives) {
  link_cut cut({peer.address()});
  start(k_long_timeout);
  wait_until_sent();
  current->abort();
  CHECK(wait_for_outcome() == exchange_failure::aborted);
  check_that_nothing_arrives(cut);
}

TEST(given_up_exchanges_test, request_that_was_ended_early_never_arrives) {
  link_cut cut({peer.address()});
  start(k_long_timeout);
  wait_until_sent();
  current->expire();
  CHECK(wait_for_outcome() == exchange_failure::timed_out);
  check_that_nothing_arrives(cut);
}

TEST(given_up_exchanges_test, request_that_is_sent_again_does_not_arrive_twice) {
  link_cut cut({peer.address()});
  start(k_long_timeout);
  wait_until_sent();
  current->expire();
  CHECK(wait_for_outcome() == exchange_failure::timed_out);
  // Destroys the first exchange.
  start(k_short_timeout, 0, connection_choice::new_connection);
  CHECK(wait_for_outcome() == exchange_failure::timed_out);
  check_that_nothing_arrives(cut);
}

TEST(given_up_exchanges_test, rest_of_a_long_body_never_arrives) {
  link_cut cut({peer.address()});
  start(k_short_timeout, k_long_body);
  STRCMP_EQUAL("timed_out", std::string(to_string(wait_for_outcome())).c_str());
  check_that_nothing_arrives(cut);
}

TEST(given_up_exchanges_test, exchange_that_is_dropped_resets_its_connection) {
  start(k_long_timeout);
  CHECK(run_until(context, [&] { return !peer.received().empty(); }));
  current->abort();
  CHECK(wait_for_outcome() == exchange_failure::aborted);
  CHECK(wait_for_end() == asio::error::connection_reset);
}

TEST(given_up_exchanges_test, answer_to_another_request_leaves_the_request_given_up) {
  peer.set_answer(k_other_answer);
  start(k_long_timeout);
  CHECK(wait_for_outcome() == exchange_failure::foreign_answer);
  current.reset();
  CHECK(wait_for_end() == asio::error::connection_reset);
}

// Guards against bytes of another request where a server still expects the rest of a body.
TEST(given_up_exchanges_test, connection_of_an_early_answer_to_a_long_body_is_reset) {
  peer.set_answer(k_answer);
  start(k_long_timeout, k_long_body);
  CHECK(wait_for_outcome() == exchange_failure::none);
  read_whole_answer();
  current->finish();
  CHECK(wait_for_end() == asio::error::connection_reset);
}

TEST(given_up_exchanges_test, answer_under_way_that_is_given_up_closes_in_order) {
  peer.set_answer(k_endless_answer);
  start(k_long_timeout);
  CHECK(wait_for_outcome() == exchange_failure::none);
  std::string piece;
  bool has_read = false;
  auto read = [&]() -> awaitable<void> {
    (void)co_await current->read_piece(piece, boot_clock::now() + k_long_timeout);
    has_read = true;
  };
  spawn(context, read());
  CHECK(run_until(context, [&] { return has_read; }));
  current->abort();
  CHECK(wait_for_end() == asio::error::eof);
}

TEST(given_up_exchanges_test, pooled_connection_closes_in_order) {
  keep_connection();
  pool.forget("server-1");
  CHECK(wait_for_end() == asio::error::eof);
}
