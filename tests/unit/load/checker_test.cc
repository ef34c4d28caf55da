/// @file The checker detects each violation in journals that contain only this one.

#include "load/checker.h"

#include <CppUTest/TestHarness.h>

#include <boost/filesystem.hpp>
#include <fstream>

#include "base/encoding.h"
#include "config/keys.h"
#include "rpc/codec.h"
#include "schema/frostline_generated.h"
#include "standin/engine_model.h"

using namespace frostline;
namespace json = boost::json;

TEST_GROUP(checker_test) {
  boost::filesystem::path folder;

  void setup() override {
    folder = boost::filesystem::temp_directory_path() / boost::filesystem::unique_path();
    boost::filesystem::create_directories(folder);
    rpc::TaskRecordT task;
    task.name = "t";
    task.freshness_bound = 1;
    store_write(1, config::key_of(config::k_tasks, "t"), rpc::encode(task));
    publish(2, 1);
    write({{"event", "submitted"}, {"task", "t"}, {"group", 0}, {"prompt", "p"}, {"samples", 1}});
    write({{"event", "finished"}, {"idle_seconds", 1.5}, {"finished", true}});
  }

  void teardown() override { boost::filesystem::remove_all(folder); }

  void write(json::object const& event) {
    std::ofstream file((folder / "journal.jsonl").string(), std::ios::app);
    file << json::serialize(event) << '\n';
  }

  void store_write(int revision, std::string const& key, std::string const& value) {
    write({{"event", "write"},
           {"revision", revision},
           {"key", key},
           {"value", base64_encode(value)}});
  }

  void publish(int revision, std::uint64_t version) {
    rpc::VersionRecordT record;
    record.task = "t";
    record.version = version;
    store_write(revision, config::key_of(config::k_versions, "t"), rpc::encode(record));
  }

  void deliver(int revision, std::uint64_t true_version, std::uint64_t declared_version) {
    json::array const spans{json::object{{"version", declared_version}, {"tokens", 1}}};
    write({{"event", "sample"},
           {"task", "t"},
           {"group", 0},
           {"index", 0},
           {"revision", revision},
           {"scored", true},
           {"spans", spans},
           {"text", standin::token_text(true_version, "p", 0, 0)}});
  }

  void attempt(std::string const& state, bool cut = false, bool right = true) {
    write(
        {{"event", "attempt"}, {"key", "k"}, {"run_state", state}, {"cut", cut}, {"right", right}});
  }

  void request(std::string const& method, std::uint64_t at = 0) {
    write({{"event", "request"}, {"app", "a"}, {"method", method}, {"key", "k"}, {"at_ms", at}});
  }

  load::check_report check() {
    load::check_options options;
    options.folder = folder.string();
    return load::check_journals(options);
  }
};

TEST(checker_test, run_without_violations_passes) {
  deliver(3, 1, 1);
  attempt("ran");
  request("POST");
  auto const report = check();
  CHECK(report.is_good());
  LONGS_EQUAL(1, report.samples_delivered);
  LONGS_EQUAL(1, report.requests_made);
}

TEST(checker_test, undelivered_sample_counts_as_lost) {
  LONGS_EQUAL(1, check().samples_lost);
  CHECK_FALSE(check().is_good());
}

TEST(checker_test, second_delivery_counts_as_duplicate) {
  deliver(3, 1, 1);
  deliver(4, 1, 1);
  LONGS_EQUAL(1, check().samples_duplicated);
  CHECK_FALSE(check().is_good());
}

TEST(checker_test, declared_version_must_match_the_text) {
  deliver(3, 1, 2);
  LONGS_EQUAL(1, check().samples_with_wrong_versions);
}

TEST(checker_test, sample_committed_after_two_newer_versions_is_over_the_bound) {
  publish(3, 2);
  publish(4, 3);
  deliver(5, 1, 1);
  LONGS_EQUAL(1, check().samples_over_bound);
}

TEST(checker_test, sample_committed_before_the_publish_is_within_the_bound) {
  publish(3, 2);
  deliver(4, 1, 1);
  publish(5, 3);
  LONGS_EQUAL(0, check().samples_over_bound);
}

TEST(checker_test, reports_request_that_ran_twice) {
  deliver(3, 1, 1);
  attempt("unknown");
  attempt("ran");
  request("POST");
  request("POST");
  LONGS_EQUAL(1, check().requests_run_twice);
}

TEST(checker_test, reports_refused_request_that_ran) {
  deliver(3, 1, 1);
  attempt("not_run");
  request("POST");
  LONGS_EQUAL(1, check().refused_but_run);
}

TEST(checker_test, reports_cut_and_mismatched_answers) {
  deliver(3, 1, 1);
  attempt("unknown", true);
  attempt("ran", false, false);
  LONGS_EQUAL(1, check().requests_cut);
  LONGS_EQUAL(1, check().answers_wrong);
}

TEST(checker_test, reports_request_after_the_leaving_limit) {
  deliver(3, 1, 1);
  write({{"event", "leaving"}, {"backend", "a"}, {"at_ms", 1000}});
  request("GET", 3999);
  LONGS_EQUAL(0, check().sent_after_leaving);
  request("GET", 4001);
  LONGS_EQUAL(1, check().sent_after_leaving);
}

TEST(checker_test, unfinished_trainer_fails_the_run) {
  deliver(3, 1, 1);
  write({{"event", "finished"}, {"idle_seconds", 1.5}, {"finished", false}});
  CHECK_FALSE(check().is_good());
}
