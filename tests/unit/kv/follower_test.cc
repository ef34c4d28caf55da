/// @file A prefix_watcher keeps its view in step with the store.

#include "kv/follower.h"

#include <CppUTest/TestHarness.h>

#include <set>

#include "memory_record_store.h"

using namespace frostline;
using frostline::testing::memory_record_store;

TEST_GROUP(follower_test) {
  asio::io_context context{1};
  memory_record_store store{context};
  std::set<std::string> view;
  int snapshots = 0;
  std::shared_ptr<kv::prefix_watcher> one;

  void setup() override {
    kv::prefix_watcher_callbacks callbacks;
    callbacks.snapshot = [this](kv::range_answer const& all) {
      ++snapshots;
      view.clear();
      for (auto const& entry : all.entries) view.insert(entry.key);
    };
    callbacks.event = [this](kv::watch_event const& event) {
      if (event.deleted) {
        view.erase(event.entry.key);
      } else {
        view.insert(event.entry.key);
      }
    };
    one = std::make_shared<kv::prefix_watcher>(context, store, "a/", std::move(callbacks),
                                               kv::prefix_watcher_options());
  }

  /// Runs what is ready, and timers of some milliseconds.
  void turn() { context.run_for(std::chrono::milliseconds(5)); }
  void turn_until(std::function<bool()> condition) {
    while (!condition() && context.run_one() > 0) {
    }
  }
};

TEST(follower_test, lists_once_and_follows_changes_of_its_prefix) {
  store.put_now("a/1", "");
  store.put_now("b/1", "");
  one->start();
  turn();
  store.put_now("a/2", "");
  store.put_now("b/2", "");
  turn();
  store.remove_now("a/1");
  turn();
  LONGS_EQUAL(1, snapshots);
  LONGS_EQUAL(1, view.size());
  CHECK(view.contains("a/2"));
}

TEST(follower_test, lists_again_when_history_is_gone) {
  one->start();
  turn();
  store.put_now("a/1", "");
  store.compact();
  turn_until([&] { return snapshots == 2; });
  CHECK(view.contains("a/1"));
}

TEST(follower_test, goes_on_after_an_outage) {
  store.set_down(true);
  one->start();
  turn();
  CHECK_FALSE(one->is_loaded());
  store.put_now("a/1", "");
  store.set_down(false);
  turn_until([&] { return one->is_loaded(); });
  CHECK(view.contains("a/1"));
}

TEST(follower_test, resynchronizing_replaces_a_watch_that_may_be_dead) {
  one->start();
  turn();
  one->resynchronize();
  turn();
  LONGS_EQUAL(2, snapshots);
  store.put_now("a/1", "");
  turn();
  CHECK(view.contains("a/1"));
}

TEST(follower_test, dropped_while_its_watch_waits_it_tells_nothing_more) {
  one->start();
  turn();
  one->stop();
  one.reset();
  store.put_now("a/1", "");
  turn();
  CHECK(view.empty());
}
