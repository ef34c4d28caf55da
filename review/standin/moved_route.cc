/// @file A configuration moves a rollout route to another service. Another client then sends a job
/// again whose 202 is seconds old. Are the results that were read still there, and does the job's
/// end still end it?

#include <map>

#include "cases.h"
#include "configurations.h"
#include "deployment.h"

namespace frostline::review {
namespace {

namespace json = boost::json;

constexpr std::uint32_t k_engines_each = 3;
constexpr std::uint32_t k_slots = 4;
constexpr std::uint32_t k_items = 120;
constexpr std::uint32_t k_group = 4;
constexpr char k_first_service[] = "trainer-serve";
constexpr char k_second_service[] = "bidmind";
constexpr char k_job[] = "job-1";
constexpr std::size_t k_read_before = 5;

std::string target(char const* service) { return std::string(R"("service":")") + service + "\""; }

std::vector<job_item> make_items() {
  std::vector<job_item> items;
  for (std::uint32_t number = 0; number < k_items; ++number) {
    items.push_back(
        {"item-" + std::to_string(number), "group-" + std::to_string(number / k_group)});
  }
  return items;
}

}  // namespace

verdict play_moved_route(case_options const& options, record& log) {
  deployment all({options.repository}, log);
  std::vector<server*> engines;
  for (char const* service : {k_first_service, k_second_service}) {
    for (std::uint32_t index = 0; index < k_engines_each; ++index) {
      server_options one;
      one.id = std::string("i-") + service + "-" + std::to_string(index);
      one.service = service;
      one.model = k_model;
      one.slots = k_slots;
      engines.push_back(&all.add_server(one));
    }
  }
  std::vector<std::string> const services = {model_service(k_first_service, k_slots),
                                             model_service(k_second_service, k_slots)};
  all.put_configuration(
      configuration(1, {rollout_route("/jobs/", target(k_first_service))}, services));
  all.start_gateways();
  auto const items = make_items();
  if (all.submit(0, "/jobs/", k_job, items).status != 202) return verdict::not_run;
  std::map<std::size_t, std::string> read_before;
  auto const read_some = [&] {
    auto const read = all.results(0, k_job, 0);
    if (!read) return false;
    json::array const& results = read->at("results").as_array();
    for (std::size_t place = 0; place < results.size(); ++place) {
      read_before[place] = std::string(results[place].at("id").as_string());
    }
    return read_before.size() >= k_read_before;
  };
  if (!wait_until(milliseconds(8000), read_some)) return verdict::not_run;
  std::int64_t const read_at = log.now();
  if (options.trouble) {
    all.put_configuration(
        configuration(2, {rollout_route("/jobs/", target(k_second_service))}, services));
  }
  pause(k_configuration_time);
  all.submit(1, "/jobs/", k_job, items);
  pause(k_settle_time);
  std::uint32_t broken = 0;
  for (std::uint32_t gateway = 0; gateway < all.gateways(); ++gateway) {
    auto const read = all.results(gateway, k_job, 0);
    if (!read || log.now() < read_at + k_settle_time.count()) continue;
    json::array const& results = read->at("results").as_array();
    for (auto const& [place, id] : read_before) {
      bool const shown = place < results.size();
      bool const same = shown && std::string(results[place].at("id").as_string()) == id;
      if (same) continue;
      ++broken;
      log.write("check", "position " + std::to_string(place) + " held " + id + " and now " +
                             (shown ? "another result" : "nothing") + " at frontend-" +
                             std::to_string(gateway));
      break;
    }
  }
  auto const ended = all.call(0, http::verb::delete_, std::string("/api/lots/") + k_job, "", "",
                              milliseconds(3000));
  if (ended.status != 200) return verdict::not_run;
  std::int64_t const late_from = log.now() + k_cancel_time.count();
  pause(k_cancel_time + seconds(3));
  std::uint32_t late = 0;
  for (server* one : engines) {
    for (run const& done : all.on_platform([one] { return one->runs(); })) {
      if (done.began_ms > late_from) ++late;
    }
  }
  log.write("check", std::to_string(late) +
                         " items reached servers later than cancel_ms after "
                         "the end of their job was acknowledged");
  return broken + late > 0 ? verdict::broken : verdict::held;
}

}  // namespace frostline::review
