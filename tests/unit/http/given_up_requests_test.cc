/// @file Requests that http::client gives up. Guards against requests, such as orders and writes to
/// the record store, that reach a peer long after they were given up, since the kernel kept sending
/// them while the peer was cut off.

#include <CppUTest/TestHarness.h>

#include "http/client.h"
#include "link_cut.h"
#include "recording_server.h"

using namespace frostline;
using namespace frostline::http;
using namespace frostline::testing;

namespace {

constexpr milliseconds k_short_timeout{100};
constexpr milliseconds k_long_timeout{3000};
constexpr char k_answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr char k_half_answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no";

}  // namespace

TEST_GROUP(given_up_requests_test) {
  asio::io_context context{1};
  std::unique_ptr<client> sender = std::make_unique<client>(context);
  recording_server peer{context, ""};

  /// Sends one request. @return the error; none if it was answered.
  std::error_code send(milliseconds timeout, connection_use use = connection_use::pooled) {
    std::optional<std::error_code> outcome;
    auto exchange = [&]() -> awaitable<void> {
      auto const answer = co_await sender->exchange(peer.address(), make_get("/"), timeout, use);
      outcome = answer ? std::error_code() : answer.error();
    };
    spawn(context, exchange());
    CHECK(run_until(context, [&] { return outcome.has_value(); }));
    return *outcome;
  }

  std::error_code send_stream(milliseconds timeout) {
    std::optional<std::error_code> outcome;
    auto stream = [&]() -> awaitable<void> {
      auto const answer = co_await sender->stream(peer.address(), make_get("/"), timeout,
                                                  [](std::string_view) { return true; });
      outcome = answer ? std::error_code() : answer.error();
    };
    spawn(context, stream());
    CHECK(run_until(context, [&] { return outcome.has_value(); }));
    return *outcome;
  }

  /// Waits until no kernel sends anything to the peer any more, so that nothing can arrive later.
  void wait_until_all_is_sent() {
    CHECK(run_until(context, [&] { return unacknowledged_bytes(peer.address()) == 0; }));
    context.restart();
    context.poll();
  }

  boost::system::error_code wait_for_end() {
    CHECK(run_until(context, [&] { return !peer.ends().empty(); }));
    return peer.ends().front();
  }
};

TEST(given_up_requests_test, request_that_timed_out_in_a_partition_never_arrives) {
  link_cut cut({peer.address()});
  CHECK(send(k_short_timeout) == errc::deadline_exceeded);
  cut.heal();
  wait_until_all_is_sent();
  STRCMP_EQUAL("", peer.received().c_str());
}

TEST(given_up_requests_test, request_on_a_kept_connection_that_timed_out_never_arrives) {
  peer.set_answer(k_answer);
  CHECK(!send(k_long_timeout));
  std::size_t const received = peer.received().size();
  link_cut cut({peer.address()});
  CHECK(send(k_short_timeout) == errc::deadline_exceeded);
  cut.heal();
  wait_until_all_is_sent();
  LONGS_EQUAL(received, peer.received().size());
  LONGS_EQUAL(1, peer.connections());
}

TEST(given_up_requests_test, request_for_a_stream_that_timed_out_never_arrives) {
  link_cut cut({peer.address()});
  CHECK(send_stream(k_short_timeout) == errc::deadline_exceeded);
  cut.heal();
  wait_until_all_is_sent();
  STRCMP_EQUAL("", peer.received().c_str());
}

TEST(given_up_requests_test, unanswered_request_ends_with_a_reset) {
  CHECK(send(k_short_timeout) == errc::deadline_exceeded);
  CHECK(wait_for_end() == asio::error::connection_reset);
}

TEST(given_up_requests_test, request_whose_answer_is_not_whole_ends_with_a_reset) {
  peer.set_answer(k_half_answer);
  CHECK(send(k_short_timeout) == errc::deadline_exceeded);
  CHECK(wait_for_end() == asio::error::connection_reset);
}

TEST(given_up_requests_test, connection_of_an_answered_request_closes_in_order) {
  peer.set_answer(k_answer);
  CHECK(!send(k_long_timeout, connection_use::fresh));
  CHECK(wait_for_end() == asio::error::eof);
}

TEST(given_up_requests_test, kept_connection_closes_in_order) {
  peer.set_answer(k_answer);
  CHECK(!send(k_long_timeout));
  CHECK(!send(k_long_timeout));
  LONGS_EQUAL(1, peer.connections());
  sender.reset();
  CHECK(wait_for_end() == asio::error::eof);
}
