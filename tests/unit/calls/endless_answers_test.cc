/// @file Servers that send bytes which are no answer, without end. Guards against requests that
/// such a server holds, against memory that grows until the deadline, and against a server that
/// goes on sending after the client has left.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "calls/answer_memory.h"
#include "calls/event_stream.h"
#include "forwarder_fixture.h"

using namespace frostline;
using namespace frostline::calls;
using namespace frostline::testing;

namespace {

/// Far below the deadline of the fixture's requests, 60 s.
constexpr milliseconds k_soon{10'000};
/// What the kernel buffers of a connection and a node's limits hold together, with room to spare.
constexpr std::uint64_t k_few_bytes = 48 * 1024 * 1024;
constexpr char k_head[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
constexpr char k_interim[] = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
constexpr char k_answer[] = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 2\r\n\r\nok";

std::string const k_filler(64 * 1024, 'x');

std::string filler_chunk() { return "10000\r\n" + k_filler + "\r\n"; }

scripted_answer endless(std::string const& begin, std::string const& filler,
                        milliseconds pause = milliseconds(0)) {
  return {begin, false, false, filler, pause};
}

}  // namespace

TEST_GROUP(endless_answers_test) {
  forwarder_fixture system{3};

  /// Forwards a request that must not run twice to a server that sends this answer.
  void forward_once(route_kind kind, scripted_answer const& answer) {
    time_point const begun = boot_clock::now();
    system.forward(kind, false, {answer});
    CHECK(boot_clock::now() - begun < k_soon);
    system.settle();
    LONGS_EQUAL(1, system.servers.arrivals());
    LONGS_EQUAL(1, system.servers.endless_ended());
    CHECK(system.servers.endless_bytes() < k_few_bytes);
    LONGS_EQUAL(0, system.outstanding());
  }
};

TEST(endless_answers_test, head_without_end_is_given_up) {
  forward_once(route_kind::unsafe, endless("HTTP/1.1 200 OK\r\n", "X-Filler: " + k_filler));
  LONGS_EQUAL(502, system.client.status());
}

TEST(endless_answers_test, interim_responses_without_end_are_given_up) {
  forward_once(route_kind::unsafe, endless(k_interim, k_interim));
  LONGS_EQUAL(502, system.client.status());
}

// Guards against an interim response that is taken for the answer.
TEST(endless_answers_test, answer_after_an_interim_response_is_passed_on) {
  system.forward(route_kind::safe, false, {{k_interim + std::string(k_answer)}});
  LONGS_EQUAL(200, system.client.status());
  STRCMP_EQUAL("ok", system.client.body().c_str());
}

TEST(endless_answers_test, chunk_extension_without_end_is_given_up) {
  forward_once(route_kind::unsafe, endless(std::string(k_head) + "1;extension=", k_filler));
  LONGS_EQUAL(502, system.client.status());
}

TEST(endless_answers_test, trailer_without_end_is_given_up) {
  forward_once(route_kind::unsafe, endless(std::string(k_head) + "0\r\n",
                                           "X-Filler: " + std::string(900, 'x') + "\r\n"));
  LONGS_EQUAL(502, system.client.status());
}

TEST(endless_answers_test, stream_without_an_end_of_its_event_is_truncated) {
  forward_once(route_kind::streaming, endless(k_head, filler_chunk()));
  CHECK_FALSE(system.client.is_complete());
  STRCMP_EQUAL("", system.client.body().c_str());
  LONGS_EQUAL(1, system.forwarder.counters().truncated_streams);
  CHECK(system.servers.endless_bytes() < k_few_bytes / 4);
}

// Guards against a time limit that each byte extends.
TEST(endless_answers_test, stream_that_trickles_bytes_without_an_event_is_truncated) {
  forward_once(route_kind::streaming, endless(k_head, "1\r\nx\r\n", milliseconds(50)));
  CHECK_FALSE(system.client.is_complete());
  LONGS_EQUAL(1, system.forwarder.counters().truncated_streams);
}

// Guards against a time limit that comments extend.
TEST(endless_answers_test, stream_that_trickles_comments_is_truncated) {
  forward_once(route_kind::streaming, endless(k_head, "5\r\n:ab\n\n\r\n", milliseconds(50)));
  CHECK_FALSE(system.client.is_complete());
}

TEST(endless_answers_test, stream_goes_on_at_another_server_after_bytes_without_an_event) {
  std::string const event = "id: 0\ndata: d0\n\n";
  std::string const next = "id: 1\ndata: d1\n\n";
  system.forward(route_kind::streaming, true,
                 {endless(std::string(k_head) + "10\r\n" + event + "\r\n", filler_chunk()),
                  {std::string(k_head) + "10\r\n" + next + "\r\n0\r\n\r\n"}});
  CHECK_TRUE(system.client.is_complete());
  STRCMP_EQUAL((event + next).c_str(), system.client.body().c_str());
}

TEST(endless_answers_test, repeatable_request_is_answered_by_another_server) {
  system.forward(route_kind::safe, false,
                 {endless(std::string(k_head) + "1;extension=", k_filler), {k_answer}});
  LONGS_EQUAL(200, system.client.status());
  STRCMP_EQUAL("ok", system.client.body().c_str());
}

TEST(endless_answers_test, body_without_end_is_given_up_at_the_size_that_a_node_keeps) {
  system.forward(route_kind::unsafe, false, {endless(k_head, filler_chunk())});
  LONGS_EQUAL(502, system.client.status());
  CHECK(system.servers.endless_bytes() < k_max_answer_bytes + k_few_bytes);
}

// Guards against a server that goes on sending after the client has closed its connection.
TEST(endless_answers_test, server_learns_that_the_client_has_left) {
  for (route_kind const kind : {route_kind::unsafe, route_kind::streaming}) {
    forwarder_fixture separate{1};
    separate.forward_until_client_leaves(kind, {endless(k_head, "1\r\nx\r\n", milliseconds(20))},
                                         milliseconds(300));
    separate.settle();
    LONGS_EQUAL(1, separate.servers.endless_ended());
    LONGS_EQUAL(0, separate.outstanding());
  }
}

// Guards against an endless answer that takes the memory of sound ones.
TEST(endless_answers_test, only_large_answers_are_given_up_when_memory_is_short) {
  answer_memory memory(1000);
  answer_memory::reader small(memory);
  answer_memory::reader large(memory);
  CHECK_TRUE(small.add(100));
  CHECK_TRUE(large.add(900));
  CHECK_TRUE(small.add(100));
  CHECK_FALSE(large.add(1));
}

TEST(endless_answers_test, memory_of_an_answer_that_was_read_is_free_again) {
  answer_memory memory(1000);
  {
    answer_memory::reader first(memory);
    CHECK_TRUE(first.add(1000));
  }
  LONGS_EQUAL(0, memory.used_bytes());
  answer_memory::reader second(memory);
  CHECK_TRUE(second.add(1000));
}

// Guards against one answer whose client does not read it and that lets all others grow to its
// size.
TEST(endless_answers_test, answers_beside_one_that_is_held_stay_within_twice_the_limit) {
  constexpr std::size_t limit = 1000;
  answer_memory memory(limit);
  answer_memory::reader held(memory);
  CHECK(held.add(600));
  std::vector<std::unique_ptr<answer_memory::reader>> growing(20);
  for (auto& answer : growing) answer = std::make_unique<answer_memory::reader>(memory);
  std::size_t most = 0;
  for (int round = 0; round < 600; ++round) {
    for (auto& answer : growing) {
      bool const is_given_up = answer && !answer->add(1);
      most = std::max(most, memory.used_bytes());
      if (is_given_up) answer.reset();
    }
  }
  CHECK(most <= 2 * limit);
}
