/// @file Limit on the entries about slow servers that a node sends to all nodes that poll it.

#include "balancing/pace_allowance.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <string>

using namespace frostline;
using namespace frostline::balancing;

namespace {

constexpr milliseconds k_poll_interval{700};
constexpr int k_polls = 200;

}  // namespace

TEST_GROUP(pace_allowance_test) {
  pace_allowance allowance;
  time_point now = time_point(seconds(1000));
  /// Entries sent to each node, and the number of replies that held some.
  std::map<std::string, std::size_t> entries;
  std::map<std::string, int> lists;
  /// Entries sent, and those that the lists themselves count as.
  std::size_t entries_and_lists = 0;
  std::size_t longest_gap = 0;

  /// Lets `nodes` nodes poll this one, evenly spread over time.
  void poll_from(int nodes, std::size_t wanted) {
    std::map<std::string, int> last;
    for (int poll = 0; poll < k_polls; ++poll) {
      for (int node = 0; node < nodes; ++node) {
        std::string const name = "node-" + std::to_string(node);
        now += time_point::duration(k_poll_interval) / nodes;
        std::size_t const sent = allowance.take(name, wanted, now);
        if (sent == 0) continue;
        entries[name] += sent;
        entries_and_lists += sent + pace_allowance::k_list_cost;
        ++lists[name];
        longest_gap = std::max(longest_gap, static_cast<std::size_t>(poll - last[name]));
        last[name] = poll;
      }
    }
  }

  double entries_per_second() const {
    double const duration = std::chrono::duration<double>(k_poll_interval * k_polls).count();
    return static_cast<double>(entries_and_lists) / duration;
  }
};

TEST(pace_allowance_test, few_nodes_get_each_list) {
  poll_from(3, 16);
  for (auto const& [name, count] : lists) LONGS_EQUAL(k_polls, count);
}

// Guards against exceeding the limit on control traffic at a relay with many nodes.
TEST(pace_allowance_test, entries_per_second_are_limited_for_any_number_of_nodes) {
  for (int const nodes : {3, 17, 75, 167, 250}) {
    for (std::size_t const wanted : {1, 32}) {
      entries_and_lists = 0;
      allowance = pace_allowance();
      poll_from(nodes, wanted);
      // Each node starts with one list.
      CHECK(entries_per_second() <= pace_allowance::k_entries_per_second * 1.05);
    }
    // With 32 slow servers, most of the limit is used.
    CHECK(entries_per_second() >= pace_allowance::k_entries_per_second * 0.5);
  }
}

// Guards against nodes whose polls always come when the others have used up the entries.
TEST(pace_allowance_test, all_nodes_get_the_same_share) {
  poll_from(16, 32);
  LONGS_EQUAL(16, entries.size());
  for (auto const& [name, count] : entries) {
    CHECK(count * 10 >= entries.begin()->second * 9);
    CHECK(count * 9 <= entries.begin()->second * 10);
  }
}

// An entry expires after 4 s, so longer gaps would make servers typical between two lists.
TEST(pace_allowance_test, node_gets_a_list_every_3_s_at_the_latest) {
  for (int const nodes : {3, 17, 75, 167}) {
    longest_gap = 0;
    allowance = pace_allowance();
    poll_from(nodes, 32);
    CHECK(longest_gap * k_poll_interval <= milliseconds(3000));
  }
}

TEST(pace_allowance_test, node_that_stopped_polling_leaves_its_share_to_the_others) {
  poll_from(100, 32);
  entries.clear();
  now += seconds(5);
  poll_from(3, 16);
  for (auto const& [name, count] : entries) LONGS_EQUAL(16 * k_polls, count);
}
