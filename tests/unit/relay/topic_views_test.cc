/// @file Views of topics take only records that belong to their topic.

#include "relay/topic_views.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace frostline;
using namespace frostline::relay;

namespace {

topic_prefixes make_prefixes() {
  topic_prefixes prefixes;
  prefixes[index_of(topic::OWNERS)] = "owners/";
  return prefixes;
}

kv::key_value make_record(std::string key) {
  kv::key_value record;
  record.key = std::move(key);
  record.mod_revision = 7;
  return record;
}

}  // namespace

TEST_GROUP(topic_views_test) {
  topic_views views{nullptr, make_prefixes()};
  /// What readers of the topic would see behind its prefix.
  std::vector<std::string> names;

  void setup() override {
    kv::prefix_watcher_callbacks listener;
    auto const note = [this](kv::key_value const& record) {
      names.push_back(record.key.substr(std::string("owners/").size()));
    };
    listener.snapshot = [note](kv::range_answer const& all) {
      for (kv::key_value const& record : all.entries) note(record);
    };
    listener.event = [note](kv::watch_event const& event) { note(event.entry); };
    views.listen(topic::OWNERS, std::move(listener));
  }
};

// Guards against a node that ends because another one sends it a record with a foreign key.
TEST(topic_views_test, records_of_other_topics_are_ignored) {
  kv::range_answer all;
  all.store_revision = 7;
  all.entries = {make_record("a"), make_record("owners/pool"), make_record("")};
  views.take_snapshot(topic::OWNERS, all);
  for (char const* key : {"", "own", "servers/app-1", "owners/other"}) {
    kv::watch_event event;
    event.entry = make_record(key);
    event.entry.mod_revision = 8;
    views.take_event(topic::OWNERS, event);
  }
  LONGS_EQUAL(2, names.size());
  STRCMP_EQUAL("pool", names[0].c_str());
  STRCMP_EQUAL("other", names[1].c_str());
}
