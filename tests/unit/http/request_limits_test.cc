/// @file A server answers requests over its limits with the status that says so, before it has read
/// them, and what it refuses for memory has not run.

#include <CppUTest/TestHarness.h>

#include <future>

#include "cluster.h"
#include "http/server.h"
#include "raw_connection.h"

using namespace frostline;
using testing::raw_connection;

namespace {

constexpr std::size_t k_body_bytes = 256 * 1024;
std::string const k_post = "POST / HTTP/1.1\r\nHost: x\r\n";

std::string with_length(std::size_t bytes) {
  return k_post + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

http::server_limits small_limits() {
  http::server_limits limits;
  limits.body_bytes = k_body_bytes;
  limits.request_memory_bytes = k_body_bytes;
  return limits;
}

}  // namespace

TEST_GROUP(request_limits_test) {
  asio::io_context context{1};
  endpoint address = testing::free_endpoint(testing::unique_loopback_address());
  std::size_t handled_bytes = 0;
  http::server server{context, small_limits(),
                      [this](http::request message) { return handle(std::move(message)); }};

  void setup() override { STRCMP_EQUAL("", server.listen(address).c_str()); }
  void teardown() override {
    server.abort();
    context.restart();
    context.run_for(milliseconds(50));
  }

  awaitable<http::response> handle(http::request message) {
    handled_bytes += message.body().size();
    co_return http::make_response(http::status::ok, "whole", "text/plain");
  }

  std::string read(raw_connection & caller, std::string const& until) {
    auto answer = std::async(std::launch::async, [&] { return caller.read(until); });
    while (answer.wait_for(seconds(0)) != std::future_status::ready) poll();
    return answer.get();
  }

  void poll() {
    context.restart();
    context.run_for(milliseconds(2));
  }

  void send(raw_connection & caller, std::string const& text) {
    auto sent = std::async(std::launch::async, [&] { caller.send(text); });
    while (sent.wait_for(seconds(0)) != std::future_status::ready) poll();
  }

  std::string answer_to(std::string const& text) {
    raw_connection caller(address);
    send(caller, text);
    return read(caller, "}");
  }
};

TEST(request_limits_test, a_body_of_the_largest_size_is_served) {
  raw_connection caller(address);
  send(caller, with_length(k_body_bytes) + std::string(k_body_bytes, 'b'));
  CHECK_TRUE(read(caller, "whole").starts_with("HTTP/1.1 200 "));
  LONGS_EQUAL(k_body_bytes, handled_bytes);
  LONGS_EQUAL(0, server.memory().held());
}

TEST(request_limits_test, an_announced_body_over_the_limit_is_413_at_once) {
  CHECK_TRUE(answer_to(with_length(k_body_bytes + 1)).starts_with("HTTP/1.1 413 "));
}

// Guards against trailers that are kept without limit.
TEST(request_limits_test, a_long_trailer_is_431) {
  std::string text = k_post + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
  while (text.size() < 4 * http::k_max_unparsed_bytes)
    text += "T: " + std::string(100, 't') + "\r\n";
  CHECK_TRUE(answer_to(text).starts_with("HTTP/1.1 431 "));
}

// Guards against chunk extensions that are kept without limit.
TEST(request_limits_test, a_long_chunk_extension_is_431) {
  std::string const extension(4 * http::k_max_unparsed_bytes, 'e');
  std::string const text = k_post + "Transfer-Encoding: chunked\r\n\r\n4;e=" + extension;
  CHECK_TRUE(answer_to(text).starts_with("HTTP/1.1 431 "));
}

// Guards against an unfinished body that keeps the memory from others, and against a refusal
// without a promise.
TEST(request_limits_test, an_unfinished_body_gives_way_with_503) {
  raw_connection unfinished(address);
  send(unfinished, with_length(k_body_bytes) + std::string(k_body_bytes - 1, 'b'));
  while (server.memory().held() < k_body_bytes / 2) poll();
  raw_connection other(address);
  send(other, with_length(k_body_bytes / 2) + std::string(k_body_bytes / 2, 'b'));
  CHECK_TRUE(read(other, "whole").starts_with("HTTP/1.1 200 "));
  std::string const refusal = read(unfinished, "}");
  CHECK_TRUE(refusal.starts_with("HTTP/1.1 503 "));
  CHECK_TRUE(refusal.find("Retry-After: ") != std::string::npos);
  CHECK_TRUE(refusal.find("not_run") != std::string::npos);
  LONGS_EQUAL(k_body_bytes / 2, handled_bytes);
}
