/// @file Reading the results of closed jobs from the record store, and the rate limit of results
/// that the owner sends.

#include "jobs/result_reader.h"

#include <CppUTest/TestHarness.h>

#include "jobs/read_budget.h"
#include "jobs/record_log.h"
#include "memory_record_store.h"
#include "rpc/codec.h"

using namespace frostline;
using namespace frostline::jobs;
using frostline::testing::memory_record_store;

namespace {

constexpr std::size_t k_no_limit = 1 << 30;

rpc::ResultBatchT make_batch(std::uint64_t first, std::size_t count) {
  rpc::ResultBatchT batch;
  batch.job = "job";
  batch.first = first;
  for (std::size_t place = 0; place < count; ++place) {
    auto result = std::make_unique<rpc::SampleResultT>();
    result->id = "item-" + std::to_string(first + place);
    result->text = std::string(100, 'x');
    batch.results.push_back(std::move(result));
  }
  return batch;
}

std::vector<rpc::ResultBatchT> make_batches() {
  std::vector<rpc::ResultBatchT> batches;
  batches.push_back(make_batch(0, 2));
  batches.push_back(make_batch(2, 3));
  return batches;
}

}  // namespace

TEST_GROUP(result_reader_test){};

TEST(result_reader_test, results_start_at_the_requested_position) {
  rpc::JobReplyT const reply = take_results(make_batches(), 1, 9, k_no_limit);
  LONGS_EQUAL(4, reply.results.size());
  STRCMP_EQUAL("item-1", reply.results.front()->id.c_str());
  STRCMP_EQUAL("item-4", reply.results.back()->id.c_str());
  LONGS_EQUAL(9, reply.total);
}

TEST(result_reader_test, replies_are_limited_but_hold_at_least_one_result) {
  LONGS_EQUAL(1, take_results(make_batches(), 0, 9, 1).results.size());
  LONGS_EQUAL(2, take_results(make_batches(), 0, 9, 600).results.size());
}

TEST(result_reader_test, results_after_a_gap_are_omitted) {
  std::vector<rpc::ResultBatchT> batches;
  batches.push_back(make_batch(0, 2));
  batches.push_back(make_batch(3, 2));
  LONGS_EQUAL(2, take_results(std::move(batches), 0, 9, k_no_limit).results.size());
}

TEST(result_reader_test, stored_batches_are_read_in_order_of_positions) {
  asio::io_context context{1};
  memory_record_store store{context};
  store.put_now(record_keys::results("pool", "job", 2), rpc::encode(make_batch(2, 3)));
  store.put_now(record_keys::results("pool", "job", 0), rpc::encode(make_batch(0, 2)));
  store.put_now(record_keys::record("pool", "job", 0), "not a batch");
  std::optional<rpc::JobReplyT> reply;
  auto const read = [&]() -> awaitable<void> {
    reply = co_await read_results(store, "pool", "job", 0, 5);
  };
  spawn(context, read());
  while (!reply && context.run_one() > 0) {
  }
  LONGS_EQUAL(5, reply->results.size());
  STRCMP_EQUAL("item-0", reply->results.front()->id.c_str());
}

TEST(result_reader_test, budget_rejects_excess_bytes_and_refills_over_time) {
  read_budget budget(1000);
  time_point const now = boot_clock::now();
  CHECK_TRUE(budget.take(600, now));
  CHECK_FALSE(budget.take(600, now));
  CHECK_TRUE(budget.take(400, now));
  CHECK_FALSE(budget.take(100, now + milliseconds(50)));
  CHECK_TRUE(budget.take(400, now + milliseconds(500)));
}

TEST(result_reader_test, oversized_reply_is_allowed_when_the_budget_is_full) {
  read_budget budget(1000);
  time_point const now = boot_clock::now();
  CHECK_TRUE(budget.take(5000, now));
  CHECK_FALSE(budget.take(1, now + seconds(1)));
  CHECK_TRUE(budget.take(5000, now + seconds(6)));
}
