/// @file Slow servers in replies to polls: when they are sent, and that they never end a wait.

#include <CppUTest/TestHarness.h>

#include <optional>

#include "relay/poll_service.h"

using namespace frostline;
using namespace frostline::relay;
using balancing::slow_server;

namespace {

constexpr char k_slow_id[] = "app-1/17";

}  // namespace

TEST_GROUP(slow_server_replies_test) {
  asio::io_context context{1};
  topic_views views{nullptr};
  poll_service service{context, views, [](topic) { return true; }};
  std::optional<rpc::PollReplyT> reply;
  std::vector<slow_server> known;

  void setup() override {
    for (topic const topic_id : k_topics) {
      kv::range_answer all;
      all.store_revision = 5;
      views.take_snapshot(topic_id, all);
    }
  }

  void ask(std::uint64_t wait_ms) {
    rpc::PollCallT call;
    call.node = "node-1";
    call.wait_ms = wait_ms;
    for (topic const topic_id : k_topics) {
      call.positions.push_back(std::make_unique<rpc::TopicPositionT>());
      call.positions.back()->topic = topic_id;
      call.positions.back()->after = 5;
    }
    auto const asking = [](poll_service& from, rpc::PollCallT what,
                           std::optional<rpc::PollReplyT>& into) -> awaitable<void> {
      into = co_await from.answer(std::move(what));
    };
    spawn(context, asking(service, std::move(call), reply));
    context.restart();
    context.poll();
  }

  void run_until_reply() {
    while (!reply && context.run_one() > 0) {
    }
  }

  void use_source() {
    service.set_slow_servers_source([this](time_point) { return known; });
  }
};

TEST(slow_server_replies_test, reply_without_a_source_or_without_slow_servers_holds_nothing) {
  ask(0);
  CHECK(reply->slow_servers == nullptr);
  use_source();
  ask(0);
  CHECK(reply->slow_servers == nullptr);
  LONGS_EQUAL(0, service.slow_servers_sent());
}

// Answers that come early for figures that change all the time would multiply the polls.
TEST(slow_server_replies_test, slow_server_does_not_end_the_wait_of_a_poll) {
  use_source();
  known = {{k_slow_id, 4, milliseconds(10)}};
  time_point const begin = boot_clock::now();
  ask(100);
  CHECK_FALSE(reply.has_value());
  known = {{k_slow_id, 6, milliseconds(20)}};
  service.notify();
  context.poll();
  CHECK_FALSE(reply.has_value());
  run_until_reply();
  CHECK(boot_clock::now() - begin >= milliseconds(100));
  // The figures are those at the end of the wait.
  LONGS_EQUAL(1, reply->slow_servers->servers.size());
  LONGS_EQUAL(600, reply->slow_servers->servers.front()->pace_percent);
  LONGS_EQUAL(1, service.slow_servers_sent());
}
