/// @file Watches through a relay, and the store itself when the relay can't be used.

#include "relay/relayed_store.h"

#include <CppUTest/TestHarness.h>

#include <optional>

#include "memory_record_store.h"
#include "relay/watch_relay.h"

using namespace frostline;
using namespace frostline::relay;
using frostline::testing::memory_record_store;

TEST_GROUP(relayed_store_test) {
  asio::io_context context{1};
  memory_record_store store{context};
  http::client transport{context};
  time_point confirmed = steady_clock::now();
  watch_relay relay{context, [this] { return confirmed; }};

  void add_change(kv::revision revision) {
    kv::watch_event event;
    event.entry.key = "a/1";
    event.entry.value = "value";
    event.entry.mod_revision = revision;
    relay.history().add(event);
    relay.notify();
  }

  std::optional<rpc::WatchReplyT> reply;

  void ask(kv::revision after, std::uint64_t wait_ms) {
    rpc::WatchCallT call;
    call.after = after;
    call.wait_ms = wait_ms;
    auto const asking = [](watch_relay& from, rpc::WatchCallT what,
                           std::optional<rpc::WatchReplyT>& into) -> awaitable<void> {
      into = co_await from.watch(std::move(what));
    };
    spawn(context, asking(relay, std::move(call), reply));
  }

  void run_until_reply() {
    while (!reply && context.run_one() > 0) {
    }
  }
};

TEST(relayed_store_test, relay_tells_a_change_as_soon_as_it_knows_it) {
  relay.history().reset(5);
  ask(5, 60'000);
  context.poll();
  CHECK_FALSE(reply.has_value());
  add_change(7);
  run_until_reply();
  CHECK(reply->sure);
  LONGS_EQUAL(1, reply->changes.size());
  STRCMP_EQUAL("a/1", reply->changes.front()->key.c_str());
  LONGS_EQUAL(7, reply->store_revision);
}

TEST(relayed_store_test, relay_answers_without_changes_when_the_wait_is_over) {
  relay.history().reset(5);
  ask(6, 1);
  run_until_reply();
  CHECK(reply->sure);
  LONGS_EQUAL(0, reply->changes.size());
  LONGS_EQUAL(6, reply->store_revision);
}

TEST(relayed_store_test, relay_that_has_not_heard_from_the_store_is_not_sure) {
  relay.history().reset(5);
  confirmed = steady_clock::now() - watch_relay::k_longest_silence - milliseconds(1);
  ask(5, 60'000);
  run_until_reply();
  CHECK_FALSE(reply->sure);
}

TEST(relayed_store_test, relay_that_lost_touch_while_it_waits_says_so) {
  relay.history().reset(5);
  confirmed = steady_clock::now() - watch_relay::k_longest_silence + milliseconds(100);
  ask(5, 60'000);
  run_until_reply();
  CHECK_FALSE(reply->sure);
}

TEST(relayed_store_test, relay_without_the_history_is_not_sure) {
  relay.history().reset(5);
  ask(3, 60'000);
  run_until_reply();
  CHECK_FALSE(reply->sure);
}

TEST(relayed_store_test, store_itself_is_watched_without_a_relay_or_when_it_is_lost) {
  std::optional<endpoint> where;
  relayed_store asked{store, transport, [&] { return where; }};
  int batches = 0;
  auto const watch = [](relayed_store& from, int& count) -> awaitable<void> {
    auto batch = co_await from.watch("a/", 1, milliseconds(60'000));
    if (batch && batch.value().events.size() == 1) ++count;
  };
  store.put_now("a/1", "value");
  spawn(context, watch(asked, batches));
  while (batches < 1 && context.run_one() > 0) {
  }
  // Nobody listens there.
  where = endpoint{"127.0.0.1", 1};
  spawn(context, watch(asked, batches));
  while (batches < 2 && context.run_one() > 0) {
  }
  LONGS_EQUAL(2, store.watches());
}
