/// @file Peers of http::client, such as the record store, other nodes and servers that get orders,
/// that send bytes which are no answer without end, or break their answer off. Guards against
/// memory that grows until the deadline, and against a part of an answer that is taken for the
/// whole.

#include <CppUTest/TestHarness.h>

#include <array>

#include "http/client.h"
#include "recording_server.h"

using namespace frostline;
using namespace frostline::http;
using namespace frostline::testing;

namespace {

/// Far above what the tests take.
constexpr milliseconds k_timeout{7000};
constexpr std::size_t k_answer_limit = 1024 * 1024;
/// What the kernel buffers of a connection and the client's limits hold, with room to spare.
constexpr std::uint64_t k_few_bytes = 48 * 1024 * 1024;
constexpr char k_chunked_head[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char k_whole[] = "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 2\r\n\r\nok";

/// Sends its bytes for each request, then a filler until the client closes.
class endless_peer {
 public:
  endless_peer(asio::io_context& context, std::string begin, std::string filler)
      : context_(context), begin_(std::move(begin)), filler_(std::move(filler)) {
    spawn(context_, accept());
  }

  endpoint address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
  std::uint64_t sent() const { return sent_; }

 private:
  awaitable<void> accept() {
    while (true) {
      auto socket = std::make_shared<tcp::socket>(context_);
      auto [failure] = co_await acceptor_.async_accept(*socket, k_as_tuple);
      if (failure) co_return;
      spawn(context_, serve(socket));
    }
  }

  awaitable<void> serve(std::shared_ptr<tcp::socket> socket) {
    std::array<char, 4096> request{};
    co_await socket->async_read_some(asio::buffer(request), k_as_tuple);
    co_await asio::async_write(*socket, asio::buffer(begin_), k_as_tuple);
    while (!filler_.empty()) {
      auto [failure, count] =
          co_await asio::async_write(*socket, asio::buffer(filler_), k_as_tuple);
      sent_ += count;
      if (failure) co_return;
    }
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_{context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::string begin_;
  std::string filler_;
  std::uint64_t sent_ = 0;
};

}  // namespace

TEST_GROUP(endless_responses_test) {
  asio::io_context context{1};
  client sender{context, k_answer_limit};
  /// Of the last answer to `exchange_with`.
  std::string body;

  std::error_code exchange_with(endpoint const& peer) {
    std::optional<std::error_code> outcome;
    auto exchange = [&]() -> awaitable<void> {
      auto const answer = co_await sender.exchange(peer, make_get("/"), k_timeout);
      outcome = answer ? std::error_code() : answer.error();
      body = answer ? answer.value().body() : "";
    };
    spawn(context, exchange());
    CHECK(run_until(context, [&] { return outcome.has_value(); }));
    return *outcome;
  }

  std::error_code stream_from(endpoint const& peer) {
    std::optional<std::error_code> outcome;
    auto stream = [&]() -> awaitable<void> {
      auto const answer = co_await sender.stream(peer, make_get("/"), k_timeout,
                                                 [](std::string_view) { return true; });
      outcome = answer ? std::error_code() : answer.error();
    };
    spawn(context, stream());
    CHECK(run_until(context, [&] { return outcome.has_value(); }));
    return *outcome;
  }

  /// Checks that both kinds of reading give up soon, and the error is no time-out.
  void check_given_up(std::string const& begin, std::string const& filler) {
    endless_peer peer(context, begin, filler);
    std::error_code const exchanged = exchange_with(peer.address());
    CHECK(exchanged && exchanged != errc::deadline_exceeded);
    std::error_code const streamed = stream_from(peer.address());
    CHECK(streamed && streamed != errc::deadline_exceeded);
    CHECK(peer.sent() < k_few_bytes);
  }
};

TEST(endless_responses_test, head_without_end) {
  check_given_up("HTTP/1.1 200 OK\r\n", "X-Filler: " + std::string(900, 'x') + "\r\n");
}

TEST(endless_responses_test, interim_responses_without_end) {
  check_given_up("", "HTTP/1.1 103 Early Hints\r\n\r\n");
}

TEST(endless_responses_test, chunk_extension_without_end) {
  check_given_up(std::string(k_chunked_head) + "1;extension=", std::string(64 * 1024, 'x'));
}

TEST(endless_responses_test, trailer_without_end) {
  check_given_up(std::string(k_chunked_head) + "0\r\n",
                 "X-Filler: " + std::string(900, 'x') + "\r\n");
}

TEST(endless_responses_test, body_without_end) {
  endless_peer peer(context, "HTTP/1.1 200 OK\r\n\r\n", std::string(64 * 1024, 'x'));
  CHECK(exchange_with(peer.address()) == errc::answer_too_large);
  CHECK(peer.sent() < k_few_bytes);
}

TEST(endless_responses_test, response_after_an_interim_one_is_read) {
  endless_peer peer(context, "HTTP/1.1 102 Processing\r\n\r\n" + std::string(k_whole), "");
  CHECK(!exchange_with(peer.address()));
  STRCMP_EQUAL("ok", body.c_str());
}

// Guards against a head that breaks off anywhere and counts as a whole answer.
TEST(endless_responses_test, answer_that_breaks_off_at_any_byte_is_an_error) {
  std::string const whole = k_whole;
  for (std::size_t length = 0; length < whole.size(); ++length) {
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    auto serve = [&]() -> awaitable<void> {
      for (int connection = 0; connection < 2; ++connection) {
        tcp::socket socket(context);
        auto [failure] = co_await acceptor.async_accept(socket, k_as_tuple);
        if (failure) co_return;
        std::array<char, 4096> request{};
        co_await socket.async_read_some(asio::buffer(request), k_as_tuple);
        co_await asio::async_write(socket, asio::buffer(whole.data(), length), k_as_tuple);
      }
    };
    spawn(context, serve());
    endpoint const where{"127.0.0.1", acceptor.local_endpoint().port()};
    CHECK(exchange_with(where) != std::error_code());
    CHECK(stream_from(where) != std::error_code());
  }
}
