#include "soak_checker.h"

#include <algorithm>
#include <set>

#include "http/json_fields.h"

namespace frostline::testing {
namespace {

/// Time after an acknowledged end in which its items may still reach a server.
constexpr milliseconds k_cancel_time{3000};

using broken_list = std::vector<violation>;

std::map<std::string, std::uint32_t> count_runs(soak_records const& seen) {
  std::map<std::string, std::uint32_t> runs;
  for (auto const& [server, arrivals] : seen.arrivals) {
    for (arrival const& one : arrivals) {
      if (one.ran) ++runs[one.request];
    }
  }
  return runs;
}

void check_calls(soak_records const& seen, soak_counts& counts, broken_list& broken) {
  auto const runs = count_runs(seen);
  for (call_record const& one : seen.calls) {
    ++counts.requests;
    auto const found = runs.find(one.request);
    std::uint32_t const ran = found == runs.end() ? 0 : found->second;
    bool const refused = one.status == 503 || one.status == 429;
    if (!one.repeatable && ran > 1) broken.push_back({"at most once", one.request});
    if (!one.repeatable && refused && ran > 0) {
      broken.push_back({"refused is not run", one.request});
    }
    // None of these calls ends a server.
    if (one.body.find("\"quarantined\"") != std::string::npos) {
      broken.push_back({"no call refused for another's crashes", one.request});
    }
    bool const own = one.body.starts_with("answer to " + one.request + " of ");
    if (one.status == 200 && !own) broken.push_back({"whole own answer", one.request});
  }
}

std::string whole_text(std::string const& item, std::uint32_t events) {
  std::string text;
  for (std::uint32_t id = 0; id < events; ++id) {
    text += (id == 0 ? "" : "\n") + item + "." + std::to_string(id);
  }
  return text;
}

void check_result(soak_records const& seen, job_record const& job,
                  boost::json::object const& result, soak_counts& counts, broken_list& broken) {
  std::string const id = json_text(result, "id");
  bool const of_job = std::find(job.items.begin(), job.items.end(), id) != job.items.end();
  if (!of_job) broken.push_back({"nothing mixed", job.job + " lists " + id});
  if (json_text(result, "state") != "completed") {
    broken.push_back({"dead only for a reason", job.job + " " + id});
    return;
  }
  ++counts.samples;
  if (json_text(result, "text") != whole_text(id, seen.events)) {
    broken.push_back({"text is whole", job.job + " " + id});
  }
  if (json_text(result, "score") != "stamp-score-" + id) {
    broken.push_back({"score is its own scorer's", job.job + " " + id});
  }
  for (auto const& version : result.at("versions").as_array()) {
    auto const number = version.to_number<std::uint64_t>();
    if (number < job.min_version || number > seen.newest_version) {
      broken.push_back({"versions true", job.job + " " + id + " " + std::to_string(number)});
    }
  }
}

void check_job(soak_records const& seen, job_record const& job, soak_counts& counts,
               broken_list& broken) {
  boost::json::array const* longest = nullptr;
  for (read_record const& read : seen.reads) {
    if (read.job != job.job) continue;
    if (longest == nullptr || read.results.size() > longest->size()) longest = &read.results;
  }
  for (read_record const& read : seen.reads) {
    if (read.job != job.job) continue;
    for (std::size_t place = 0; place < read.results.size(); ++place) {
      ++counts.positions;
      if (read.results[place] != (*longest)[place]) {
        broken.push_back({"positions fixed", job.job + " at " + std::to_string(place)});
        break;
      }
    }
  }
  std::size_t const listed = longest == nullptr ? 0 : longest->size();
  if (job.accepted && !job.ended && listed < job.items.size()) {
    broken.push_back({"nothing acknowledged lost", job.job + " lists " + std::to_string(listed) +
                                                       " of " + std::to_string(job.items.size())});
  }
  if (longest == nullptr) return;
  std::set<std::string> known;
  for (auto const& result : *longest) {
    check_result(seen, job, result.as_object(), counts, broken);
    if (!known.insert(json_text(result.as_object(), "id")).second) {
      broken.push_back({"one position for an item", job.job});
    }
  }
}

void check_ends(soak_records const& seen, broken_list& broken) {
  for (job_record const& job : seen.jobs) {
    if (!job.ended) continue;
    std::set<std::string> const items(job.items.begin(), job.items.end());
    for (auto const& [server, arrivals] : seen.arrivals) {
      for (arrival const& one : arrivals) {
        if (items.contains(one.request) && one.at > job.ended_at + k_cancel_time) {
          broken.push_back({"an ended job sends nothing", job.job + " " + one.request});
        }
      }
    }
  }
}

void check_orders(soak_records const& seen, soak_counts& counts, broken_list& broken) {
  for (auto const& [server, orders] : seen.orders) {
    for (std::size_t place = 0; place < orders.size(); ++place) {
      ++counts.orders;
      if (place == 0) continue;
      order_arrival const& before = orders[place - 1];
      order_arrival const& after = orders[place];
      if (after.fence < before.fence) broken.push_back({"fences rise", server});
      if (after.holder == before.holder) continue;
      if (after.fence == before.fence) broken.push_back({"one holder of a fence", server});
      for (std::size_t earlier = place - 1; earlier-- > 0;) {
        if (after.at - orders[earlier].at >= seen.order_gap) break;
        if (orders[earlier].holder != after.holder) continue;
        broken.push_back({"holders do not take turns",
                          server + ": " + after.holder + ", " + before.holder + ", and again"});
        break;
      }
    }
  }
}

/// What each arrival's tenant must be, by request.
std::map<std::string, std::string> expected_tenants(soak_records const& seen) {
  std::map<std::string, std::string> tenants;
  for (call_record const& one : seen.calls) tenants[one.request] = one.tenant;
  for (job_record const& job : seen.jobs) {
    for (std::string const& item : job.items) tenants[item] = seen.job_tenant;
  }
  return tenants;
}

void check_tenants(soak_records const& seen, soak_counts& counts, broken_list& broken) {
  if (seen.job_tenant.empty()) return;
  auto const tenants = expected_tenants(seen);
  for (auto const& [server, arrivals] : seen.arrivals) {
    for (arrival const& one : arrivals) {
      if (!one.authorization.empty()) broken.push_back({"no key at a server", one.request});
      auto const found = tenants.find(one.request);
      if (found == tenants.end()) continue;
      ++counts.tenants;
      if (found->second.empty()) broken.push_back({"no request of an unknown key", one.request});
      if (found->second != one.tenant) {
        broken.push_back({"tenant is its key's", one.request + " as " + one.tenant});
      }
    }
  }
}

void check_usage(soak_records const& seen, broken_list& broken) {
  for (std::string const& one : seen.duty_violations) broken.push_back({"one reporter", one});
  std::map<std::string, std::uint64_t> asked = seen.other_requests;
  for (call_record const& one : seen.calls) ++asked[one.tenant];
  for (auto const& [tenant, requests] : seen.reported) {
    if (requests <= asked[tenant]) continue;
    broken.push_back({"no more usage than requests", tenant + ": " + std::to_string(requests) +
                                                         " of " + std::to_string(asked[tenant])});
  }
}

}  // namespace

std::vector<violation> check_soak(soak_records const& seen, soak_counts& counts) {
  broken_list broken;
  check_calls(seen, counts, broken);
  for (job_record const& job : seen.jobs) check_job(seen, job, counts, broken);
  check_ends(seen, broken);
  check_orders(seen, counts, broken);
  check_tenants(seen, counts, broken);
  check_usage(seen, broken);
  return broken;
}

}  // namespace frostline::testing
