/// @file Assignment of requests to windows, closing of windows, and takeover by a new holder.

#include "usage/usage_ledger.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::usage;

namespace {

/// Start of a 5 s window, in Unix milliseconds.
constexpr wall_time k_start = 1'000'000'000'000;
constexpr std::uint64_t k_window = k_start / 5000;

}  // namespace

TEST_GROUP(usage_ledger_test) {
  usage_ledger ledger{ledger_options()};
  time_point begin{std::chrono::hours(1)};

  void setup() override { ledger.restore(nullptr, k_start, begin); }

  time_point at(std::int64_t ms) const { return begin + milliseconds(ms); }

  /// Returns a call that a node sends `ms` after k_start. Unless `sequence` is 0, it reports one
  /// request, which began `ago` ms before the call.
  rpc::UsageCallT call_of(std::string const& node, std::int64_t ms, std::uint64_t sequence = 0,
                          std::uint64_t ago = 0) {
    rpc::UsageCallT call;
    call.node = node;
    call.incarnation = node + ".1";
    call.wall_clock_ms = static_cast<std::uint64_t>(k_start + ms);
    if (sequence == 0) return call;
    auto entry = std::make_unique<rpc::RunCountT>();
    entry->sequence = sequence;
    entry->tenant = "tenant";
    entry->requests = 1;
    entry->ago_ms = ago;
    call.entries.push_back(std::move(entry));
    return call;
  }

  std::uint64_t requests_in(std::uint64_t window) {
    auto const found = ledger.unreported().find(window);
    if (found == ledger.unreported().end() || found->second.counts.empty()) return 0;
    return found->second.counts.front()->requests;
  }
};

TEST(usage_ledger_test, requests_count_in_the_window_of_their_start) {
  ledger.add_counts(call_of("a", 5100, 1, 200), at(5100));
  ledger.add_counts(call_of("a", 5200, 2, 100), at(5200));
  auto const closed = ledger.close_due(at(5500));
  LONGS_EQUAL(1, closed.size());
  LONGS_EQUAL(k_window, closed[0].window);
  LONGS_EQUAL(1, requests_in(k_window));
  ledger.add_counts(call_of("a", 10'000), at(10'000));
  LONGS_EQUAL(1, ledger.close_due(at(10'500)).size());
  LONGS_EQUAL(1, requests_in(k_window + 1));
}

TEST(usage_ledger_test, repeated_entry_counts_once) {
  LONGS_EQUAL(1, ledger.add_counts(call_of("a", 100, 1), at(100)));
  LONGS_EQUAL(1, ledger.add_counts(call_of("a", 200, 1, 100), at(200)));
  LONGS_EQUAL(2, ledger.add_counts(call_of("a", 5000, 2, 4000), at(5000)));
  ledger.close_due(at(5500));
  LONGS_EQUAL(2, requests_in(k_window));
}

TEST(usage_ledger_test, window_waits_for_incomplete_node_up_to_a_limit) {
  ledger.add_counts(call_of("a", 4000), at(4000));
  ledger.add_counts(call_of("b", 5100), at(5100));
  LONGS_EQUAL(0, ledger.close_due(at(6000)).size());
  auto const closed = ledger.close_due(at(12'000));
  LONGS_EQUAL(1, closed.size());
  LONGS_EQUAL(1, closed[0].missing.size());
  STRCMP_EQUAL("a", closed[0].missing[0].c_str());
}

TEST(usage_ledger_test, departed_or_restarted_node_delays_no_window) {
  rpc::UsageCallT last = call_of("a", 1000);
  last.leaving = true;
  ledger.add_counts(last, at(1000));
  ledger.add_counts(call_of("b", 2000), at(2000));
  rpc::UsageCallT restarted = call_of("b", 5100);
  restarted.incarnation = "b.2";
  ledger.add_counts(restarted, at(5100));
  LONGS_EQUAL(1, ledger.close_due(at(5500)).size());
}

TEST(usage_ledger_test, late_counts_do_not_change_a_closed_window) {
  ledger.add_counts(call_of("a", 5100, 1, 1000), at(5100));
  ledger.close_due(at(5500));
  ledger.add_counts(call_of("b", 5600, 1, 1000), at(5600));
  LONGS_EQUAL(1, requests_in(k_window));
  LONGS_EQUAL(1, ledger.late());
}

TEST(usage_ledger_test, single_wrong_clock_shifts_no_window) {
  for (char const* node : {"a", "b", "c"}) ledger.add_counts(call_of(node, 4500), at(4500));
  // The wall clock of one node jumps forward.
  rpc::UsageCallT stepped = call_of("a", 4600, 1);
  stepped.wall_clock_ms += 4000;
  ledger.add_counts(stepped, at(4600));
  CHECK_EQUAL(k_start + 4600, ledger.true_time(at(4600)));
  LONGS_EQUAL(0, ledger.close_due(at(4700)).size());
  for (char const* node : {"a", "b", "c"}) ledger.add_counts(call_of(node, 5100), at(5100));
  ledger.close_due(at(5500));
  LONGS_EQUAL(1, requests_in(k_window));
}

TEST(usage_ledger_test, new_holder_continues_from_stored_state) {
  ledger.add_counts(call_of("a", 100, 1), at(100));
  ledger.add_counts(call_of("a", 5100, 2), at(5100));
  ledger.close_due(at(5500));
  rpc::UsageStateT const stored = ledger.state();
  usage_ledger new_holder{ledger_options()};
  new_holder.restore(&stored, k_start + 7000, at(7000));
  LONGS_EQUAL(1, new_holder.unreported().size());
  // The node sends everything again; only entries missing in the state are counted.
  new_holder.add_counts(call_of("a", 7000, 1, 6900), at(7000));
  new_holder.add_counts(call_of("a", 7000, 2, 1900), at(7000));
  new_holder.add_counts(call_of("a", 10'100, 3, 4000), at(10'100));
  LONGS_EQUAL(1, new_holder.close_due(at(10'500)).size());
  LONGS_EQUAL(2, new_holder.unreported().at(k_window + 1).counts.front()->requests);
  LONGS_EQUAL(1, new_holder.unreported().at(k_window).counts.front()->requests);
}

TEST(usage_ledger_test, backlog_after_long_time_without_holder_is_bounded) {
  rpc::UsageStateT const stored = ledger.state();
  usage_ledger new_holder{ledger_options()};
  new_holder.restore(&stored, k_start + 3'600'000, at(0));
  CHECK(new_holder.close_due(at(20'000)).size() <= 16);
}
