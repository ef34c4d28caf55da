/// @file Event streams whose servers fail. Guards against streams that may be resumed and are given
/// up, and against requests that the selector counts as running for ever.

#include <CppUTest/TestHarness.h>

#include "forwarder_fixture.h"

using namespace frostline;
using namespace frostline::calls;
using namespace frostline::testing;

namespace {

constexpr char k_stream_head[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
constexpr char k_not_found[] =
    "HTTP/1.1 404 Not Found\r\nRequest-Id: r-1\r\nContent-Length: 4\r\n\r\nnone";
constexpr char k_cut_answer[] =
    "HTTP/1.1 404 Not Found\r\nRequest-Id: r-1\r\nContent-Length: 40\r\n\r\nnone";

std::string chunk(std::string const& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx", text.size());
  return std::string(size) + "\r\n" + text + "\r\n";
}

std::string event(int id) {
  return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

/// A stream of the events from `first` to `last`.
std::string stream_of(int first, int last) {
  std::string bytes = k_stream_head;
  for (int id = first; id <= last; ++id) bytes += chunk(event(id));
  return bytes;
}

constexpr char k_end[] = "0\r\n\r\n";

}  // namespace

TEST_GROUP(forwarder_streams_test) { forwarder_fixture system{3}; };

TEST(forwarder_streams_test, resumable_stream_is_sent_again_if_its_first_answer_breaks_off) {
  system.forward(route_kind::streaming, true, {{k_cut_answer, true}, {stream_of(0, 1) + k_end}});
  LONGS_EQUAL(200, system.client.status());
  CHECK_TRUE(system.client.is_complete());
  STRCMP_EQUAL((event(0) + event(1)).c_str(), system.client.body().c_str());
  LONGS_EQUAL(0, system.outstanding());
}

TEST(forwarder_streams_test, stream_goes_on_after_a_server_that_can_not_resume_it) {
  system.forward(route_kind::streaming, true,
                 {{stream_of(0, 0), true}, {k_not_found}, {stream_of(1, 1) + k_end}});
  CHECK_TRUE(system.client.is_complete());
  STRCMP_EQUAL((event(0) + event(1)).c_str(), system.client.body().c_str());
  LONGS_EQUAL(3, system.servers.arrivals());
  LONGS_EQUAL(0, system.outstanding());
}

TEST(forwarder_streams_test, stream_that_no_server_resumes_is_counted_as_truncated) {
  system.forward(route_kind::streaming, true,
                 {{stream_of(0, 0), true}, {k_not_found}, {k_not_found}});
  CHECK_FALSE(system.client.is_complete());
  LONGS_EQUAL(1, system.forwarder.counters().truncated_streams);
  LONGS_EQUAL(0, system.forwarder.counters().answered);
  LONGS_EQUAL(0, system.outstanding());
}

TEST(forwarder_streams_test, stream_that_may_not_be_resumed_is_counted_as_truncated) {
  system.forward(route_kind::streaming, false, {{stream_of(0, 0), true}});
  CHECK_FALSE(system.client.is_complete());
  LONGS_EQUAL(1, system.servers.arrivals());
  LONGS_EQUAL(1, system.forwarder.counters().truncated_streams);
}

// Guards against streams that are cut although nothing else can be tried: their server may have put
// them back.
TEST(forwarder_streams_test, silent_stream_that_may_not_be_resumed_goes_on) {
  scripted_answer slow{stream_of(0, 0)};
  slow.endless = chunk(event(1));
  slow.pause = milliseconds(2400);
  system.forward_until_client_leaves(route_kind::streaming, {slow}, milliseconds(6000));
  std::string const& body = system.client.body();
  // The first of these comes at once, the next one after the pause.
  CHECK_TRUE(body.find(event(1)) != body.rfind(event(1)));
  LONGS_EQUAL(1, system.servers.arrivals());
}

TEST(forwarder_streams_test, stream_that_ends_inside_an_event_is_resumed) {
  system.forward(route_kind::streaming, true,
                 {{stream_of(0, 0) + chunk("id: 1\nda") + k_end}, {stream_of(1, 1) + k_end}});
  CHECK_TRUE(system.client.is_complete());
  STRCMP_EQUAL((event(0) + event(1)).c_str(), system.client.body().c_str());
  LONGS_EQUAL(0, system.outstanding());
}

TEST(forwarder_streams_test, whole_answer_on_a_streaming_route_is_counted) {
  system.forward(route_kind::streaming, false, {{k_not_found}});
  LONGS_EQUAL(404, system.client.status());
  LONGS_EQUAL(1, system.forwarder.counters().answered);
  LONGS_EQUAL(0, system.outstanding());
}
