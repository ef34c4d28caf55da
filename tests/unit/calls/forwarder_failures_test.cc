/// @file What clients are told of requests without a complete answer. Guards against requests that
/// may have run and are reported as not run.

#include <CppUTest/TestHarness.h>

#include "forwarder_fixture.h"

using namespace frostline;
using namespace frostline::calls;
using namespace frostline::testing;

namespace {

constexpr char k_cut_error[] =
    "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: r-1\r\nContent-Length: 40\r\n\r\nfail";
constexpr char k_chunked_head[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char k_announced_oversized_answer[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 67108865\r\n\r\n";
constexpr char k_answer[] = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 2\r\n\r\nok";
constexpr char k_refusal[] =
    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r-1\r\nRequest-Not-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";

/// An answer that is larger than a node keeps, 64 MiB, without an announcement of its size.
std::string oversized_answer() {
  constexpr std::size_t k_chunk = 1024 * 1024;
  std::string bytes = k_chunked_head;
  for (int chunk = 0; chunk < 65; ++chunk) {
    bytes += "100000\r\n" + std::string(k_chunk, 'x') + "\r\n";
  }
  return bytes + "0\r\n\r\n";
}

}  // namespace

TEST_GROUP(forwarder_failures_test) { forwarder_fixture system; };

TEST(forwarder_failures_test, streaming_request_whose_answer_breaks_off_may_have_run) {
  system.forward(route_kind::streaming, false, {{k_cut_error, true}});
  LONGS_EQUAL(502, system.client.status());
  STRCMP_EQUAL("", system.client.retry_after().c_str());
  LONGS_EQUAL(1, system.servers.arrivals());
}

TEST(forwarder_failures_test, unsafe_request_whose_answer_breaks_off_may_have_run) {
  system.forward(route_kind::unsafe, false, {{k_cut_error, true}});
  LONGS_EQUAL(502, system.client.status());
  LONGS_EQUAL(1, system.servers.arrivals());
}

TEST(forwarder_failures_test, streaming_request_that_all_servers_refuse_has_not_run) {
  system.forward(route_kind::streaming, false, {{k_refusal}, {k_refusal}});
  LONGS_EQUAL(503, system.client.status());
  STRCMP_EQUAL("0.3", system.client.retry_after().c_str());
  LONGS_EQUAL(2, system.servers.arrivals());
}

// Guards against a request that one server answered and that is sent to another one, since its
// answer is larger than a node keeps.
TEST(forwarder_failures_test, unsafe_request_with_an_oversized_answer_is_sent_once) {
  std::string const answer = oversized_answer();
  system.forward(route_kind::unsafe, false, {{answer}, {answer}});
  LONGS_EQUAL(502, system.client.status());
  LONGS_EQUAL(1, system.servers.arrivals());
  LONGS_EQUAL(0, system.outstanding());
}

TEST(forwarder_failures_test, announced_oversized_answer_is_given_up_before_it_is_read) {
  system.forward(route_kind::unsafe, false, {{k_announced_oversized_answer}});
  LONGS_EQUAL(502, system.client.status());
  LONGS_EQUAL(0, system.outstanding());
}

// Guards against a listener that outlives its exchange.
TEST(forwarder_failures_test, client_that_leaves_while_its_failure_is_sent_notifies_nobody) {
  system.client.leave_during_answer();
  system.forward(route_kind::streaming, false, {{k_cut_error, true}});
  CHECK_FALSE(system.client.notified_during_answer());
}

TEST(forwarder_failures_test, refusal_after_a_connection_that_broke_does_not_mean_not_run) {
  system.forward(route_kind::safe, false, {{k_answer}});
  LONGS_EQUAL(200, system.client.status());
  system.forward(route_kind::safe, false, {{"", true}, {k_refusal}, {k_refusal}, {k_refusal}});
  LONGS_EQUAL(502, system.client.status());
}
