/// @file Writing entries until their outcome is known, and reading a pool's jobs back.

#include "jobs/record_log.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "jobs/pool_mark.h"
#include "memory_record_store.h"
#include "rpc/blocking.h"
#include "rpc/codec.h"

using namespace frostline;
using namespace frostline::jobs;
using frostline::testing::memory_record_store;

namespace {

constexpr char k_pool[] = "pool";
constexpr char k_owner_key[] = "owner";

kv::key_value mark(std::string const& key, kv::revision revision) {
  kv::key_value record;
  record.key = key;
  record.create_revision = revision;
  return record;
}

rpc::JobRecordT make_job(std::string const& id, std::size_t body_bytes = 10) {
  rpc::JobRecordT job;
  job.id = id;
  auto item = std::make_unique<rpc::JobItemT>();
  item->id = id + "-item";
  item->body.assign(body_bytes, 7);
  job.items.push_back(std::move(item));
  return job;
}

}  // namespace

TEST_GROUP(record_log_test) {
  asio::io_context context{1};
  memory_record_store store{context};
  record_log log{context, store, kv::store_limits(), k_pool};
  std::vector<write_outcome> outcomes;

  void setup() override {
    store.put_now(k_owner_key, "me");
    log.open(k_owner_key, store.revision_of(k_owner_key));
  }

  record_log::completion_handler record_outcome() {
    return [this](write_outcome outcome) { outcomes.push_back(outcome); };
  }

  void run_until_idle() {
    while (!log.is_idle() && context.run_one() > 0) {
    }
  }
};

TEST(record_log_test, jobs_accepted_in_one_transaction_are_all_read_back) {
  std::vector<kv::key_value> records;
  records.push_back(mark(record_keys::accepted_mark(k_pool, "first"), 5));
  records.push_back(mark(record_keys::accepted_mark(k_pool, "second"), 5));
  records.push_back(mark(record_keys::accepted_mark(k_pool, "earlier"), 4));
  records.push_back(mark(record_keys::accepted_mark(k_pool, "over"), 5));
  records.push_back(mark(record_keys::ended_mark(k_pool, "over"), 6));
  stored_marks const marks = read_marks(k_pool, records);
  LONGS_EQUAL(3, marks.open.size());
  STRCMP_EQUAL("earlier", marks.open.front().c_str());
  LONGS_EQUAL(1, marks.ended.size());
  STRCMP_EQUAL("over", marks.ended.begin()->first.c_str());
}

TEST(record_log_test, queued_entries_share_a_transaction) {
  log.write_record(make_job("a"), record_outcome());
  log.write_record(make_job("b"), record_outcome());
  log.write_record(make_job("c"), record_outcome());
  run_until_idle();
  LONGS_EQUAL(3, outcomes.size());
  for (write_outcome outcome : outcomes) CHECK(outcome == write_outcome::stored);
  // The first entry is written alone; the others are queued meanwhile and share a transaction.
  CHECK(log.transactions() <= 2);
}

// Guards against a job that is acknowledged while nodes that start would not know its pool.
TEST(record_log_test, pool_mark_is_stored_no_later_than_the_record) {
  log.write_pool_mark();
  log.write_record(make_job("a"), [&](write_outcome outcome) {
    record_outcome()(outcome);
    CHECK(store.revision_of(pool_mark_key(k_pool)) != 0);
  });
  run_until_idle();
  CHECK(outcomes.at(0) == write_outcome::stored);
}

TEST(record_log_test, pool_mark_that_exists_does_not_fail_the_record) {
  store.put_now(pool_mark_key(k_pool), "1");
  log.write_pool_mark();
  log.write_record(make_job("a"), record_outcome());
  log.remove_pool_mark();
  run_until_idle();
  CHECK(outcomes.at(0) == write_outcome::stored);
  LONGS_EQUAL(0, store.revision_of(pool_mark_key(k_pool)));
}

TEST(record_log_test, pool_is_parsed_from_the_key_of_its_mark) {
  STRCMP_EQUAL("engines", pool_of_mark(pool_mark_key("engines"))->c_str());
  CHECK_FALSE(pool_of_mark(pool_mark_key("")).has_value());
  CHECK_FALSE(pool_of_mark("frostline/owners/engines").has_value());
}

TEST(record_log_test, large_record_is_stored_in_parts_and_read_back) {
  kv::store_limits small;
  small.value_bytes = 4096;
  record_log small_log(context, store, small, k_pool);
  small_log.open(k_owner_key, store.revision_of(k_owner_key));
  small_log.write_record(make_job("large", 9000), record_outcome());
  while (!small_log.is_idle() && context.run_one() > 0) {
  }
  CHECK(outcomes.at(0) == write_outcome::stored);
  auto const records = store.list_now(record_keys::data_prefix(k_pool, "large"));
  CHECK(records.size() > 3);
  stored_job const read = read_job(k_pool, "large", records);
  CHECK(read.record.has_value());
  LONGS_EQUAL(9000, read.record->items.front()->body.size());
}

TEST(record_log_test, record_larger_than_a_transaction_is_rejected) {
  kv::store_limits small;
  small.value_bytes = 1024;
  record_log small_log(context, store, small, k_pool);
  small_log.open(k_owner_key, store.revision_of(k_owner_key));
  small_log.write_record(make_job("large", 100'000), record_outcome());
  CHECK(outcomes.at(0) == write_outcome::too_large);
  LONGS_EQUAL(0, store.list_now(record_keys::data_prefix(k_pool, "large")).size());
}

TEST(record_log_test, write_with_a_lost_answer_is_stored_once_and_reported_as_stored) {
  store.lose_answers(1);
  log.write_record(make_job("job"), record_outcome());
  run_until_idle();
  CHECK(outcomes.at(0) == write_outcome::stored);
  LONGS_EQUAL(1, store.writes_of(record_keys::accepted_mark(k_pool, "job")));
}

TEST(record_log_test, delayed_duplicate_of_a_write_changes_nothing) {
  store.delay_next_write();
  log.write_record(make_job("job"), record_outcome());
  run_until_idle();
  CHECK(outcomes.at(0) == write_outcome::stored);
  store.apply_delayed();
  LONGS_EQUAL(1, store.writes_of(record_keys::accepted_mark(k_pool, "job")));
}

TEST(record_log_test, checkpoints_are_read_back_in_order_of_writing) {
  log.write_record(make_job("job"), record_outcome());
  for (std::uint64_t events = 1; events <= 12; ++events) {
    rpc::ProgressReportT report;
    report.jobs.push_back("job");
    auto entry = std::make_unique<rpc::SampleProgressT>();
    entry->events = events;
    report.entries.push_back(std::move(entry));
    log.write_checkpoint(report);
  }
  run_until_idle();
  auto const records = store.list_now(record_keys::data_prefix(k_pool, "job"));
  stored_job const read = read_job(k_pool, "job", records);
  CHECK(read.record.has_value());
  LONGS_EQUAL(0, read.batches.size());
  LONGS_EQUAL(12, read.checkpoints.size());
  for (std::uint64_t place = 0; place < 12; ++place) {
    LONGS_EQUAL(place + 1, read.checkpoints[place].entries.front()->events);
  }
}

// Guards against a job that two pools accept, since a configuration moved its route between two
// submissions.
TEST(record_log_test, job_that_another_pool_has_accepted_is_not_stored) {
  store.put_now(record_keys::accepted_mark("other", "held"), "1");
  log.write_record(make_job("first"), record_outcome(), {"other"});
  log.write_record(make_job("held"), record_outcome(), {"other"});
  log.write_record(make_job("last"), record_outcome(), {"other"});
  run_until_idle();
  LONGS_EQUAL(3, outcomes.size());
  CHECK(std::count(outcomes.begin(), outcomes.end(), write_outcome::held_elsewhere) == 1);
  CHECK(std::count(outcomes.begin(), outcomes.end(), write_outcome::stored) == 2);
  LONGS_EQUAL(0, store.writes_of(record_keys::accepted_mark(k_pool, "held")));
  LONGS_EQUAL(1, store.writes_of(record_keys::accepted_mark(k_pool, "last")));
}

TEST(record_log_test, lost_answer_of_a_write_that_checks_other_pools_is_no_rejection) {
  store.lose_answers(1);
  log.write_record(make_job("job"), record_outcome(), {"other"});
  run_until_idle();
  CHECK(outcomes.at(0) == write_outcome::stored);
}

TEST(record_log_test, previous_owner_writes_nothing) {
  store.put_now(k_owner_key, "another");
  log.write_end("job", rpc::JobEndT(), record_outcome());
  run_until_idle();
  CHECK(outcomes.at(0) == write_outcome::ownership_lost);
  LONGS_EQUAL(0, store.writes_of(record_keys::ended_mark(k_pool, "job")));
}

TEST(record_log_test, close_fails_queued_entries) {
  log.write_end("a", rpc::JobEndT(), record_outcome());
  log.write_end("b", rpc::JobEndT(), record_outcome());
  log.close();
  context.run_for(std::chrono::seconds(1));
  LONGS_EQUAL(2, outcomes.size());
  for (write_outcome outcome : outcomes) CHECK(outcome == write_outcome::ownership_lost);
}
