#include "standin/kv_store.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using standin::kv_store;

TEST_GROUP(kv_store_test) {
  kv_store store;
  time_point now = time_point() + seconds(100);

  kv::transaction_answer put(std::string const& key, std::string const& value,
                             kv::revision expected, kv::lease_id lease = 0) {
    kv::transaction change;
    change.compares = {{key, expected}};
    change.on_success = {{kv::operation_kind::put, key, value, lease}};
    change.read_on_failure = {key};
    return *store.apply(change);
  }
};

TEST(kv_store_test, compare_and_swap_fails_on_stale_revision) {
  CHECK(put("k", "one", 0).succeeded);
  auto const lost = put("k", "two", 0);
  CHECK_FALSE(lost.succeeded);
  STRCMP_EQUAL("one", lost.read.front().value.c_str());
  CHECK(put("k", "three", lost.read.front().mod_revision).succeeded);
}

TEST(kv_store_test, expired_lease_deletes_its_keys) {
  auto const lease = store.grant(seconds(5), now);
  put("k", "v", 0, lease);
  store.expire(now + seconds(4));
  LONGS_EQUAL(1, store.range("k", "").entries.size());
  store.expire(now + seconds(5));
  LONGS_EQUAL(0, store.range("k", "").entries.size());
  LONGS_EQUAL(0, store.keep_alive(lease, now));
}

TEST(kv_store_test, history_serves_past_states_and_watches) {
  put("a", "1", 0);
  auto const middle = store.current_revision();
  put("a", "2", middle);
  STRCMP_EQUAL("1", store.range("a", "", middle).entries.front().value.c_str());
  LONGS_EQUAL(1, store.events_since("a", "b", middle + 1).size());
  store.compact(middle + 1);
  LONGS_EQUAL(1, store.events_since("a", "b", 0).size());
}

TEST(kv_store_test, transaction_with_unknown_lease_is_rejected) {
  kv::transaction change;
  change.on_success = {{kv::operation_kind::put, "k", "v", 42}};
  CHECK_FALSE(store.apply(change).has_value());
}
