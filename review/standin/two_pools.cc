/// @file A configuration splits a rollout route over a second model service. Do the orders to one
/// model server still come from one holder at a time?

#include "cases.h"
#include "configurations.h"
#include "deployment.h"

namespace frostline::review {
namespace {

constexpr std::uint32_t k_engines_each = 3;
constexpr char k_first_service[] = "bidmind";
constexpr char k_second_service[] = "bidmind-b";
constexpr std::uint64_t k_last_version = 5;
constexpr seconds k_version_interval{6};

/// Returns true if an order breaks the rule: a fence lower than an earlier one, or holders that act
/// in turn (A, B, A) within the lease time.
bool is_broken(std::vector<order> const& orders, std::string const& engine, record& log) {
  bool broken = false;
  for (std::size_t place = 1; place < orders.size(); ++place) {
    order const& earlier = orders[place - 1];
    order const& later = orders[place];
    if (later.fence < earlier.fence) {
      broken = true;
      log.write("check", engine + ": fence " + std::to_string(later.fence) + " of " + later.holder +
                             " after " + std::to_string(earlier.fence) + " of " + earlier.holder);
    }
    if (place < 2) continue;
    order const& first = orders[place - 2];
    bool const turns = first.holder == later.holder && earlier.holder != later.holder &&
                       later.at_ms - first.at_ms < k_lease_time.count();
    if (!turns) continue;
    broken = true;
    log.write("check", engine + ": " + first.holder + ", " + earlier.holder + " and " +
                           later.holder + " give orders in turn");
  }
  return broken;
}

}  // namespace

verdict play_two_pools(case_options const& options, record& log) {
  deployment all({options.repository}, log);
  std::vector<server*> engines;
  for (char const* service : {k_first_service, k_second_service}) {
    for (std::uint32_t index = 0; index < k_engines_each; ++index) {
      server_options one;
      one.id = std::string("i-") + service + "-" + std::to_string(index);
      one.service = service;
      one.model = k_model;
      engines.push_back(&all.add_server(one));
    }
  }
  std::string const whole = std::string(R"("service":")") + k_first_service + "\"";
  std::string const split = std::string(R"("split":[{"service":")") + k_first_service +
                            R"(","weight":50},{"service":")" + k_second_service +
                            R"(","weight":50}])";
  all.put_configuration(
      configuration(1, {rollout_route("/jobs/", whole)}, {model_service(k_first_service)}));
  all.start_gateways();
  all.name_version(2);
  pause(k_version_interval);
  if (options.trouble) {
    all.put_configuration(
        configuration(2, {rollout_route("/jobs/", split)},
                      {model_service(k_first_service), model_service(k_second_service)}));
  }
  pause(k_version_interval);
  for (std::uint64_t version = 3; version <= k_last_version; ++version) {
    all.name_version(version);
    pause(k_version_interval);
  }
  std::size_t given = 0;
  bool broken = false;
  for (server* one : engines) {
    auto const orders = all.on_platform([one] { return one->orders(); });
    given += orders.size();
    broken = is_broken(orders, one->id(), log) || broken;
  }
  if (given == 0) return verdict::not_run;
  return broken ? verdict::broken : verdict::held;
}

}  // namespace frostline::review
