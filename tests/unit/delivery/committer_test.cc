#include "delivery/committer.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using delivery::commit_result;

TEST_GROUP(committer_test) {
  delivery::commit_conditions conditions{"owner", 5, "version", 7, "record", 9};

  static kv::key_value held(std::string const& key, kv::revision revision) {
    return {key, "", revision, revision, 0};
  }

  commit_result explain(std::vector<kv::key_value> read) {
    kv::transaction_answer answer;
    answer.read = std::move(read);
    return delivery::explain_failure(conditions, answer).result;
  }
};

TEST(committer_test, another_owner_outweighs_all_else) {
  CHECK(explain({held("owner", 6), held("version", 8), held("record", 10)}) ==
        commit_result::fenced);
  CHECK(explain({held("version", 7), held("record", 9)}) == commit_result::fenced);
}

TEST(committer_test, moved_version_is_told_with_its_entry) {
  kv::transaction_answer answer;
  answer.read = {held("owner", 5), held("version", 8), held("record", 9)};
  auto const failure = delivery::explain_failure(conditions, answer);
  CHECK(failure.result == commit_result::version_changed);
  LONGS_EQUAL(8, failure.version_entry->mod_revision);
}

TEST(committer_test, moved_record_is_read_anew) {
  CHECK(explain({held("owner", 5), held("version", 7), held("record", 10)}) ==
        commit_result::record_changed);
}
