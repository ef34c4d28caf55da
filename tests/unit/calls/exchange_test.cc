/// @file Which answers prove that a server ended a request with an error, and which connections are
/// reused after one. Guards against samples being marked dead without such proof.

#include "calls/exchange.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace frostline;
using namespace frostline::calls;

namespace {

constexpr char k_whole_error[] =
    "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: r-1\r\nContent-Length: 4\r\n\r\nfail";
constexpr milliseconds k_timeout{2000};

/// What one exchange with a scripted server showed.
struct observation {
  exchange_failure failure = exchange_failure::none;
  bool proves_the_error = false;
  std::size_t accepted_connections = 0;
};

}  // namespace

TEST_GROUP(exchange_test) {
  asio::io_context context;
  connection_pool pool{context};
  header_names names;
  tcp::acceptor acceptor{context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::size_t accepted = 0;
  /// Sockets stay open until the test ends.
  std::vector<std::shared_ptr<tcp::socket>> open_sockets;

  awaitable<void> answer_requests(std::shared_ptr<tcp::socket> socket, std::string bytes,
                                  bool closes) {
    std::string received(4096, '\0');
    while (true) {
      auto [failure, count] = co_await socket->async_read_some(asio::buffer(received), k_as_tuple);
      if (failure) co_return;
      co_await asio::async_write(*socket, asio::buffer(bytes), k_as_tuple);
      if (closes) socket->close();
    }
  }

  awaitable<void> serve(std::string bytes, bool closes) {
    while (true) {
      auto socket = std::make_shared<tcp::socket>(context);
      auto [failure] = co_await acceptor.async_accept(*socket, k_as_tuple);
      if (failure) co_return;
      ++accepted;
      open_sockets.push_back(socket);
      spawn(context, answer_requests(socket, bytes, closes));
    }
  }

  awaitable<void> ask(std::size_t times, observation & seen) {
    directory::server server;
    server.id = "server-1";
    server.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    for (std::size_t number = 0; number < times; ++number) {
      exchange asked(pool, names, server);
      http::request message(http::verb::post, "/score", 11);
      message.set(names.request_id, "r-1");
      message.prepare_payload();
      time_point const deadline = boot_clock::now() + k_timeout;
      seen.failure = co_await asked.send(message, connection_choice::pooled, deadline);
      if (seen.failure == exchange_failure::none) seen.failure = co_await asked.read_head(deadline);
      std::string piece;
      while (seen.failure == exchange_failure::none && !asked.is_whole()) {
        seen.failure = co_await asked.read_piece(piece, deadline);
      }
      seen.proves_the_error = seen.failure == exchange_failure::none && asked.is_whole_own_answer();
      asked.finish();
    }
    context.stop();
  }

  /// Sends the same request `times` times to a server that answers each one with `bytes`.
  observation observe(std::string const& bytes, bool closes = false, std::size_t times = 1) {
    observation seen;
    spawn(context, serve(bytes, closes));
    spawn(context, ask(times, seen));
    context.run();
    seen.accepted_connections = accepted;
    return seen;
  }
};

TEST(exchange_test, whole_answer_with_the_id_of_the_request_is_proof) {
  CHECK_TRUE(observe(k_whole_error).proves_the_error);
}

TEST(exchange_test, answer_with_a_cut_body_is_no_proof) {
  std::string const cut(k_whole_error, sizeof(k_whole_error) - 3);
  observation const seen = observe(cut, true);
  CHECK_FALSE(seen.proves_the_error);
  CHECK(seen.failure != exchange_failure::none);
}

TEST(exchange_test, answer_to_another_request_is_no_proof) {
  CHECK_FALSE(observe("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: r-0\r\n"
                      "Content-Length: 0\r\n\r\n")
                  .proves_the_error);
}

TEST(exchange_test, answer_without_an_id_is_no_proof) {
  CHECK_FALSE(
      observe("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n").proves_the_error);
}

TEST(exchange_test, connection_is_not_reused_after_an_error_that_may_be_sent_twice) {
  LONGS_EQUAL(2, observe(k_whole_error, false, 2).accepted_connections);
}

TEST(exchange_test, connection_is_reused_after_a_success) {
  LONGS_EQUAL(1,
              observe("HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 2\r\n\r\nok", false, 2)
                  .accepted_connections);
}
