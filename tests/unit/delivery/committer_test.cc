#include "delivery/committer.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using delivery::commit_result;

TEST_GROUP(committer_test) {
  delivery::commit_conditions conditions{"owner", 5, "version", 7, "record", 9};

  static kv::key_value current(std::string const& key, kv::revision revision) {
    return {key, "", revision, revision, 0};
  }

  commit_result explain(std::vector<kv::key_value> read) {
    kv::transaction_answer answer;
    answer.read = std::move(read);
    return delivery::explain_failure(conditions, answer).result;
  }
};

TEST(committer_test, ownership_loss_takes_precedence) {
  CHECK(explain({current("owner", 6), current("version", 8), current("record", 10)}) ==
        commit_result::fenced);
  CHECK(explain({current("version", 7), current("record", 9)}) == commit_result::fenced);
}

TEST(committer_test, changed_version_is_returned_with_its_entry) {
  kv::transaction_answer answer;
  answer.read = {current("owner", 5), current("version", 8), current("record", 9)};
  auto const failure = delivery::explain_failure(conditions, answer);
  CHECK(failure.result == commit_result::version_changed);
  LONGS_EQUAL(8, failure.version_entry->mod_revision);
}

TEST(committer_test, changed_record_is_reported) {
  CHECK(explain({current("owner", 5), current("version", 7), current("record", 10)}) ==
        commit_result::record_changed);
}
