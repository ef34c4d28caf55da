/// @file When crash evidence is written to the record store, and how often.

#include <CppUTest/TestHarness.h>

#include "memory_record_store.h"
#include "quarantine/evidence_writer.h"

using namespace frostline;
using namespace frostline::quarantine;
using namespace frostline::testing;

namespace {

constexpr milliseconds k_wait_timeout{2000};
constexpr milliseconds k_one_second{1000};
/// Maximum number of evidence writes of one node in one second.
constexpr std::uint64_t k_max_writes_per_second = 6;

fingerprint request_of(int number) {
  std::string const body = std::to_string(number);
  return fingerprint::of({"", "host", "POST", "/", body});
}

}  // namespace

TEST_GROUP(evidence_keeper_test) {
  asio::io_context context{1};
  memory_record_store store{context};
  std::vector<stored_evidence> selected;
  evidence_writer writer{
      {context, store, "node", {"127.0.0.1", 1}, "incarnation", [this] { return selected; }}};

  std::optional<evidence_record> stored() {
    auto const records = store.list_now(evidence_record::records_prefix());
    if (records.empty()) return std::nullopt;
    return evidence_record::decode(records.front().value);
  }

  bool run_until(std::function<bool()> const& condition) {
    time_point const limit = boot_clock::now() + k_wait_timeout;
    while (!condition() && boot_clock::now() < limit) {
      context.restart();
      context.run_one_for(milliseconds(20));
    }
    return condition();
  }
};

TEST(evidence_keeper_test, selected_evidence_is_stored_with_its_writer) {
  selected = {{request_of(1), {"one", "two"}}};
  CHECK_FALSE(writer.has_stored(request_of(1), 2));
  writer.update();
  CHECK(run_until([&] { return writer.has_stored(request_of(1), 2); }));
  CHECK_FALSE(writer.has_stored(request_of(1), 3));
  CHECK(stored()->requests == selected);
  CHECK(stored()->writer == (endpoint{"127.0.0.1", 1}));
  STRCMP_EQUAL("incarnation", stored()->incarnation.c_str());
}

TEST(evidence_keeper_test, unchanged_evidence_is_not_written_again) {
  selected = {{request_of(1), {"one", "two"}}};
  writer.update();
  CHECK(run_until([&] { return writer.has_stored(request_of(1), 2); }));
  for (int time = 0; time < 5; ++time) writer.update();
  writer.update_existing();
  context.restart();
  context.run_for(k_one_second);
  LONGS_EQUAL(1, writer.writes());
}

TEST(evidence_keeper_test, record_is_removed_with_the_last_evidence) {
  writer.update_existing();
  LONGS_EQUAL(0, writer.writes());
  selected = {{request_of(1), {"one", "two"}}};
  writer.update();
  CHECK(run_until([&] { return stored().has_value(); }));
  selected.clear();
  writer.update_existing();
  CHECK(run_until([&] { return !stored().has_value(); }));
}

TEST(evidence_keeper_test, failed_write_is_retried) {
  store.set_down(true);
  selected = {{request_of(1), {"one", "two"}}};
  writer.update();
  CHECK(run_until([&] { return writer.writes() > 0; }));
  store.set_down(false);
  CHECK(run_until([&] { return writer.has_stored(request_of(1), 2); }));
}

TEST(evidence_keeper_test, frequent_changes_are_combined_into_few_writes) {
  time_point const end = boot_clock::now() + k_one_second;
  int number = 0;
  while (boot_clock::now() < end) {
    selected.push_back({request_of(number++), {"one", "two"}});
    writer.update();
    context.restart();
    context.run_one_for(milliseconds(1));
  }
  CHECK(number > 50);
  CHECK(writer.writes() <= k_max_writes_per_second);
  CHECK(run_until([&] { return stored() && stored()->requests.size() == selected.size(); }));
}

TEST(evidence_keeper_test, malformed_record_is_rejected) {
  CHECK_FALSE(evidence_record::decode("no record").has_value());
  evidence_record record{{"127.0.0.1", 1}, "incarnation", {{request_of(1), {"one"}}}, 7};
  std::string const text = record.encode();
  auto const decoded = evidence_record::decode(text);
  CHECK(decoded && decoded->requests == record.requests);
  LONGS_EQUAL(7, decoded->written_at_ms);
  for (std::size_t length = 0; length < text.size(); ++length) {
    // Truncated records must not crash the decoder.
    static_cast<void>(evidence_record::decode(text.substr(0, length)));
  }
}
