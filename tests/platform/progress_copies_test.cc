/// @file Progress that an owner has not stored yet must survive the loss of the owner and of
/// another node.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include "cluster_queries.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr std::size_t k_items = 24;
/// Longer than the 0.25 s between progress reports.
constexpr milliseconds k_report_wait{800};

std::vector<test_item> make_items() {
  std::vector<test_item> items;
  for (std::size_t index = 0; index < k_items; ++index) {
    items.push_back({"job-" + std::to_string(index), "group"});
  }
  return items;
}

/// Returns true if the owner's log says that two nodes hold copies of its progress.
bool has_two_copies(platform_cluster& system, std::size_t owner) {
  std::string const log = system.log(owner);
  std::size_t const last = log.rfind("Nodes that hold a copy of the progress change.");
  if (last == std::string::npos) return false;
  std::string const line = log.substr(last, log.find('\n', last) - last);
  std::size_t const names = line.find("\"replicas\":\"");
  return line.substr(names, line.find("\",", names) - names).find(',') != std::string::npos;
}

/// Runs a job during a store outage, freezes the owner and another node, and waits until the third
/// node lists all results. @return the number of sample runs.
std::size_t runs_with_two_frozen(std::size_t distance) {
  platform_cluster system{platform_options()};
  set_engines_full(system, true);
  LONGS_EQUAL(202, system.submit(0, "job", make_items()));
  std::size_t const owner = system.owner();
  std::size_t const second = (owner + distance) % system.nodes();
  std::size_t const left = system.nodes() - owner - second;
  for (std::size_t node = 0; node < system.nodes(); ++node) {
    CHECK(system.results(node, "job").has_value());
  }
  set_store_silent(system, true);
  set_engines_full(system, false);
  platform_cluster::wait_until("all samples are scored",
                               [&] { return count_runs(system, "score-job-") >= k_items; });
  platform_cluster::wait_until("two nodes hold copies",
                               [&] { return has_two_copies(system, owner); });
  time_point const reported = boot_clock::now() + k_report_wait;
  platform_cluster::wait_until("progress is reported",
                               [&] { return boot_clock::now() > reported; });
  system.node(owner).send_signal(SIGSTOP);
  system.node(second).send_signal(SIGSTOP);
  set_store_silent(system, false);
  system.wait_for_results(left, "job", k_items);
  return count_runs(system, "job-");
}

}  // namespace

TEST_GROUP(progress_copies_test){};

TEST(progress_copies_test, nothing_runs_again_after_the_loss_of_the_owner_and_either_other_node) {
  LONGS_EQUAL(k_items, runs_with_two_frozen(1));
  LONGS_EQUAL(k_items, runs_with_two_frozen(2));
}
