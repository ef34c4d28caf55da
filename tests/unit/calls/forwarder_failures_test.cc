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
constexpr char k_refusal[] =
    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r-1\r\nRequest-Not-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";

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
