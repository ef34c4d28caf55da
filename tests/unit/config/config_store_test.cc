#include <CppUTest/TestHarness.h>

#include "config/store.h"
#include "rpc/codec.h"

using namespace frostline;
using config::apply_result;

namespace {

std::string task_key(std::string const& name) { return config::key_of(config::k_tasks, name); }

std::string task_value(std::string const& name, std::uint32_t bound) {
  rpc::TaskRecordT record;
  record.name = name;
  record.model = "m";
  record.freshness_bound = bound;
  return rpc::encode(record);
}

kv::key_value stored(std::string const& name, std::uint32_t bound, kv::revision revision) {
  return {task_key(name), task_value(name, bound), revision, revision, 0};
}

std::uint32_t bound_of(config::store const& store, std::string const& name) {
  return store.find_task(name)->record.freshness_bound;
}

}  // namespace

TEST_GROUP(config_store_test) { config::store store; };

TEST(config_store_test, lower_revision_never_replaces_higher) {
  CHECK(store.apply({task_key("a"), 9, task_value("a", 2), false}) == apply_result::applied);
  CHECK(store.apply({task_key("a"), 7, task_value("a", 1), false}) == apply_result::older);
  LONGS_EQUAL(2, bound_of(store, "a"));
}

TEST(config_store_test, older_put_does_not_restore_deleted_key) {
  store.apply({task_key("a"), 5, task_value("a", 1), false});
  store.apply({task_key("a"), 8, {}, true});
  CHECK(store.apply({task_key("a"), 6, task_value("a", 1), false}) == apply_result::older);
  POINTERS_EQUAL(nullptr, store.find_task("a"));
}

TEST(config_store_test, stale_snapshot_is_rejected) {
  store.apply({task_key("a"), 9, task_value("a", 2), false});
  kv::range_answer old;
  old.store_revision = 5;
  old.entries = {stored("b", 1, 5)};
  CHECK_FALSE(store.apply_snapshot(old));
  POINTERS_EQUAL(nullptr, store.find_task("b"));
  LONGS_EQUAL(2, bound_of(store, "a"));
}

TEST(config_store_test, snapshot_older_than_peer_revision_is_rejected) {
  store.note_peer_revision(20);
  kv::range_answer read;
  read.store_revision = 19;
  CHECK_FALSE(store.apply_snapshot(read));
  CHECK_FALSE(store.is_complete());
}

TEST(config_store_test, snapshot_deletes_missing_keys) {
  store.apply({task_key("a"), 3, task_value("a", 1), false});
  kv::range_answer read;
  read.store_revision = 6;
  read.entries = {stored("b", 4, 5)};
  CHECK(store.apply_snapshot(read));
  POINTERS_EQUAL(nullptr, store.find_task("a"));
  LONGS_EQUAL(4, bound_of(store, "b"));
  CHECK(store.is_complete());
  LONGS_EQUAL(6, store.revision());
}

TEST(config_store_test, malformed_value_keeps_previous_one) {
  store.apply({task_key("a"), 3, task_value("a", 1), false});
  CHECK(store.apply({task_key("a"), 4, "garbage", false}) == apply_result::malformed);
  LONGS_EQUAL(1, bound_of(store, "a"));
}

TEST(config_store_test, unknown_keys_are_kept_for_peers) {
  store.apply({"/frostline/replicated/config/later/x", 3, "bytes", false});
  auto const entries = store.entries_since(0);
  LONGS_EQUAL(1, entries.size());
  STRCMP_EQUAL("bytes", entries.front().value.c_str());
}

TEST(config_store_test, route_with_the_longest_prefix_matches) {
  for (std::string const prefix : {"/", "/bid/", "/bid/late/"}) {
    rpc::RouteRecordT route;
    route.name = prefix;
    route.path_prefix = prefix;
    store.apply({config::key_of(config::k_routes, prefix), 3, rpc::encode(route), false});
  }
  STRCMP_EQUAL("/bid/late/", store.match_route("/bid/late/7")->record.name.c_str());
  STRCMP_EQUAL("/bid/", store.match_route("/bid/7")->record.name.c_str());
  STRCMP_EQUAL("/", store.match_route("/status")->record.name.c_str());
}
