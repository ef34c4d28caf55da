/// @file Evidence of crashes in the record store: when it is written, and how often.

#include "quarantine/evidence_keeper.h"

#include <CppUTest/TestHarness.h>

#include "memory_record_store.h"

using namespace frostline;
using namespace frostline::quarantine;
using namespace frostline::testing;

namespace {

constexpr milliseconds k_patience{2000};
constexpr milliseconds k_second{1000};
/// Three collectors may take a twentieth of what the smallest store takes, 400 writes a second.
constexpr std::uint64_t k_most_writes_a_second = 6;

fingerprint request_of(int number) {
  std::string const body = std::to_string(number);
  return fingerprint::of({"", "host", "POST", "/", body});
}

}  // namespace

TEST_GROUP(evidence_keeper_test) {
  asio::io_context context{1};
  memory_record_store store{context};
  std::vector<kept_evidence> wanted;
  evidence_keeper keeper{
      {context, store, "node", {"127.0.0.1", 1}, "life", [this] { return wanted; }}};

  std::optional<evidence_record> stored() {
    auto const records = store.list_now(evidence_record::records_prefix());
    if (records.empty()) return std::nullopt;
    return evidence_record::decode(records.front().value);
  }

  bool run_until(std::function<bool()> const& condition) {
    time_point const limit = boot_clock::now() + k_patience;
    while (!condition() && boot_clock::now() < limit) {
      context.restart();
      context.run_one_for(milliseconds(20));
    }
    return condition();
  }
};

TEST(evidence_keeper_test, what_is_to_be_kept_is_stored_with_its_writer) {
  wanted = {{request_of(1), {"one", "two"}}};
  CHECK_FALSE(keeper.holds(request_of(1), 2));
  keeper.keep();
  CHECK(run_until([&] { return keeper.holds(request_of(1), 2); }));
  CHECK_FALSE(keeper.holds(request_of(1), 3));
  CHECK(stored()->requests == wanted);
  CHECK(stored()->writer == (endpoint{"127.0.0.1", 1}));
  STRCMP_EQUAL("life", stored()->incarnation.c_str());
}

TEST(evidence_keeper_test, nothing_is_written_while_nothing_changes) {
  wanted = {{request_of(1), {"one", "two"}}};
  keeper.keep();
  CHECK(run_until([&] { return keeper.holds(request_of(1), 2); }));
  for (int time = 0; time < 5; ++time) keeper.keep();
  keeper.refresh();
  context.restart();
  context.run_for(k_second);
  LONGS_EQUAL(1, keeper.writes());
}

TEST(evidence_keeper_test, record_goes_with_the_last_evidence) {
  keeper.refresh();
  LONGS_EQUAL(0, keeper.writes());
  wanted = {{request_of(1), {"one", "two"}}};
  keeper.keep();
  CHECK(run_until([&] { return stored().has_value(); }));
  wanted.clear();
  keeper.refresh();
  CHECK(run_until([&] { return !stored().has_value(); }));
}

TEST(evidence_keeper_test, write_that_failed_is_made_again) {
  store.set_down(true);
  wanted = {{request_of(1), {"one", "two"}}};
  keeper.keep();
  CHECK(run_until([&] { return keeper.writes() > 0; }));
  store.set_down(false);
  CHECK(run_until([&] { return keeper.holds(request_of(1), 2); }));
}

TEST(evidence_keeper_test, many_changes_cost_few_writes) {
  time_point const end = boot_clock::now() + k_second;
  int number = 0;
  while (boot_clock::now() < end) {
    wanted.push_back({request_of(number++), {"one", "two"}});
    keeper.keep();
    context.restart();
    context.run_one_for(milliseconds(1));
  }
  CHECK(number > 50);
  CHECK(keeper.writes() <= k_most_writes_a_second);
  CHECK(run_until([&] { return stored() && stored()->requests.size() == wanted.size(); }));
}

TEST(evidence_keeper_test, malformed_record_is_none) {
  CHECK_FALSE(evidence_record::decode("no record").has_value());
  evidence_record record{{"127.0.0.1", 1}, "life", {{request_of(1), {"one"}}}, 7};
  std::string const text = record.encode();
  auto const decoded = evidence_record::decode(text);
  CHECK(decoded && decoded->requests == record.requests);
  LONGS_EQUAL(7, decoded->written_at_ms);
  for (std::size_t length = 0; length < text.size(); ++length) {
    // A part of a record is none, or is read without harm.
    static_cast<void>(evidence_record::decode(text.substr(0, length)));
  }
}
