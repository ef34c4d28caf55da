#include <CppUTest/TestHarness.h>

#include <boost/filesystem.hpp>
#include <fstream>

#include "bulk/client.h"
#include "bulk/store.h"

using namespace frostline;

TEST_GROUP(bulk_store_test) {
  std::string folder =
      (boost::filesystem::temp_directory_path() / boost::filesystem::unique_path()).string();

  void teardown() override { boost::filesystem::remove_all(folder); }

  static rpc::StoreBulkRequestT request(std::uint64_t group, std::size_t text_size) {
    rpc::StoreBulkRequestT made;
    made.task = "t";
    made.groups.push_back(std::make_unique<rpc::SampleGroupT>());
    made.groups.back()->group = group;
    made.samples.push_back(std::make_unique<rpc::SampleT>());
    made.samples.back()->group = group;
    made.samples.back()->attempt = "a";
    made.samples.back()->text = std::string(text_size, 'x');
    return made;
  }
};

TEST(bulk_store_test, content_survives_reopening) {
  {
    auto store = bulk::store::open(folder);
    CHECK(store.value()->put(request(1, 10)).has_value());
  }
  auto store = bulk::store::open(folder);
  auto const loaded = store.value()->load("t", 0);
  LONGS_EQUAL(1, loaded.value().groups.size());
  STRCMP_EQUAL("xxxxxxxxxx", loaded.value().samples.front()->text.c_str());
  LONGS_EQUAL(0, store.value()->load("t", 1).value().groups.size());
}

TEST(bulk_store_test, forget_below_deletes_only_older_groups) {
  auto store = bulk::store::open(folder);
  for (std::uint64_t group = 0; group < 5; ++group) {
    CHECK(store.value()->put(request(group, 1)).has_value());
  }
  rpc::StoreBulkRequestT forget;
  forget.task = "t";
  forget.forget_below = 3;
  CHECK(store.value()->put(forget).has_value());
  auto const loaded = store.value()->load("t", 0);
  LONGS_EQUAL(2, loaded.value().groups.size());
  LONGS_EQUAL(2, loaded.value().samples.size());
}

TEST(bulk_store_test, full_disk_stores_nothing_of_the_request) {
  auto store = bulk::store::open(folder);
  CHECK(store.value()->put(request(1, 10)).has_value());
  store.value()->limit_pages(12);
  auto const refused = store.value()->put(request(2, 1'000'000));
  CHECK(refused.error() == bulk::errc::disk_full);
  store.value()->limit_pages(1'000'000);
  LONGS_EQUAL(1, store.value()->load("t", 0).value().groups.size());
  CHECK(store.value()->put(request(2, 10)).has_value());
}

TEST(bulk_store_test, torn_log_is_rolled_back) {
  {
    auto store = bulk::store::open(folder);
    CHECK(store.value()->put(request(1, 10)).has_value());
    // A crash leaves the write-ahead log behind, its last write torn.
    boost::filesystem::create_directories(folder + "-copy");
    for (std::string const name : {"/bulk.sqlite", "/bulk.sqlite-wal"}) {
      boost::filesystem::copy_file(folder + name, folder + "-copy" + name);
    }
    std::ofstream torn(folder + "-copy/bulk.sqlite-wal", std::ios::app | std::ios::binary);
    torn << std::string(3000, 'z');
  }
  auto store = bulk::store::open(folder + "-copy");
  LONGS_EQUAL(1, store.value()->load("t", 0).value().groups.size());
  boost::filesystem::remove_all(folder + "-copy");
}

TEST(bulk_store_test, open_fails_if_folder_cannot_be_created) {
  CHECK(bulk::store::open("/proc/nowhere").error() == bulk::errc::open_failed);
}

TEST(bulk_store_test, second_replica_is_in_another_zone) {
  std::vector<bulk::replica> const candidates = {
      {"a", "z1", ""}, {"b", "z1", ""}, {"c", "z1", ""}, {"d", "z2", ""}};
  for (int shard = 0; shard < 20; ++shard) {
    auto const ordered = bulk::order_replicas(std::to_string(shard), candidates);
    LONGS_EQUAL(4, ordered.size());
    CHECK(ordered[0].zone != ordered[1].zone);
  }
}
