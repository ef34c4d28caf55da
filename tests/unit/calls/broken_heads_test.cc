/// @file Servers that close in the middle of their answer. Guards against a 200 with a part of the
/// body, framed as whole.

#include <CppUTest/TestHarness.h>

#include "forwarder_fixture.h"

using namespace frostline;
using namespace frostline::calls;
using namespace frostline::testing;

namespace {

constexpr char k_answer[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok";
constexpr char k_stream[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 0\ndata: d0\n\n\r\n0\r\n\r\n";
constexpr char k_answer_without_length[] = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n\r\nok";

}  // namespace

TEST_GROUP(broken_heads_test){};

TEST(broken_heads_test, answer_cut_at_any_byte_is_no_success) {
  std::string const whole = k_answer;
  for (std::size_t length = 0; length < whole.size(); ++length) {
    forwarder_fixture system{1};
    system.forward(route_kind::unsafe, false, {{whole.substr(0, length), true}});
    LONGS_EQUAL(502, system.client.status());
    LONGS_EQUAL(1, system.servers.arrivals());
  }
}

TEST(broken_heads_test, repeatable_request_is_sent_on_after_an_answer_cut_at_any_byte) {
  std::string const whole = k_answer;
  for (std::size_t length = 0; length < whole.size(); ++length) {
    forwarder_fixture system{2};
    system.forward(route_kind::safe, false, {{whole.substr(0, length), true}, {whole}});
    LONGS_EQUAL(200, system.client.status());
    STRCMP_EQUAL("ok", system.client.body().c_str());
  }
}

TEST(broken_heads_test, stream_cut_at_any_byte_is_not_complete) {
  std::string const whole = k_stream;
  forwarder_fixture sound{1};
  sound.forward(route_kind::streaming, false, {{whole, true}});
  CHECK_TRUE(sound.client.is_complete());
  for (std::size_t length = 0; length < whole.size(); ++length) {
    forwarder_fixture system{1};
    system.forward(route_kind::streaming, false, {{whole.substr(0, length), true}});
    bool const begun = system.client.status() == 200;
    CHECK(begun ? !system.client.is_complete() : system.client.status() == 502);
  }
}

// An answer without a length ends with its connection, unless that is reset.
TEST(broken_heads_test, answer_without_a_length_is_whole_only_at_an_orderly_end) {
  forwarder_fixture closed{1};
  closed.forward(route_kind::unsafe, false, {{k_answer_without_length, true}});
  LONGS_EQUAL(200, closed.client.status());
  STRCMP_EQUAL("ok", closed.client.body().c_str());
  forwarder_fixture reset{1};
  reset.forward(route_kind::unsafe, false, {{k_answer_without_length, false, true}});
  LONGS_EQUAL(502, reset.client.status());
}
