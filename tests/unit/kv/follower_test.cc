/// @file Tests that a prefix_watcher keeps its view consistent with the store.

#include <CppUTest/TestHarness.h>

#include <set>

#include "kv/prefix_watcher.h"
#include "memory_record_store.h"

using namespace frostline;
using frostline::testing::memory_record_store;

TEST_GROUP(follower_test) {
  asio::io_context context{1};
  memory_record_store store{context};
  std::set<std::string> view;
  int snapshots = 0;
  std::shared_ptr<kv::prefix_watcher> watcher;

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
    watcher = std::make_shared<kv::prefix_watcher>(context, store, "a/", std::move(callbacks),
                                                   kv::prefix_watcher_options());
  }

  /// Runs ready handlers, and timers that expire within 5 ms.
  void run_ready() { context.run_for(std::chrono::milliseconds(5)); }
  void run_until(std::function<bool()> condition) {
    while (!condition() && context.run_one() > 0) {
    }
  }
};

TEST(follower_test, lists_once_and_watches_changes_of_its_prefix) {
  store.put_now("a/1", "");
  store.put_now("b/1", "");
  watcher->start();
  run_ready();
  store.put_now("a/2", "");
  store.put_now("b/2", "");
  run_ready();
  store.remove_now("a/1");
  run_ready();
  LONGS_EQUAL(1, snapshots);
  LONGS_EQUAL(1, view.size());
  CHECK(view.contains("a/2"));
}

TEST(follower_test, lists_again_after_compaction) {
  watcher->start();
  run_ready();
  store.put_now("a/1", "");
  store.compact();
  run_until([&] { return snapshots == 2; });
  CHECK(view.contains("a/1"));
}

TEST(follower_test, recovers_after_an_outage) {
  store.set_down(true);
  watcher->start();
  run_ready();
  CHECK_FALSE(watcher->is_loaded());
  store.put_now("a/1", "");
  store.set_down(false);
  run_until([&] { return watcher->is_loaded(); });
  CHECK(view.contains("a/1"));
}

TEST(follower_test, resynchronize_lists_again_and_restarts_the_watch) {
  watcher->start();
  run_ready();
  watcher->resynchronize();
  run_ready();
  LONGS_EQUAL(2, snapshots);
  store.put_now("a/1", "");
  run_ready();
  CHECK(view.contains("a/1"));
}

TEST(follower_test, no_callbacks_after_stop_with_a_pending_watch) {
  watcher->start();
  run_ready();
  watcher->stop();
  watcher.reset();
  store.put_now("a/1", "");
  run_ready();
  CHECK(view.empty());
}
