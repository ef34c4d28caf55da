#include "soak_checker.h"

#include <algorithm>
#include <set>

#include "http/json_fields.h"

namespace frostline::testing {
namespace {

/// Time after the acknowledged end of a job in which its items may still reach a server.
constexpr milliseconds k_cancel_time{3000};

using violation_list = std::vector<violation>;

std::map<std::string, std::uint32_t> count_runs(soak_records const& seen) {
  std::map<std::string, std::uint32_t> runs;
  for (auto const& [server, arrivals] : seen.arrivals) {
    for (arrival const& entry : arrivals) {
      if (entry.ran) ++runs[entry.request];
    }
  }
  return runs;
}

void check_calls(soak_records const& seen, soak_counts& counts, violation_list& violations) {
  auto const runs = count_runs(seen);
  for (call_record const& call : seen.calls) {
    ++counts.requests;
    auto const found = runs.find(call.request);
    std::uint32_t const ran = found == runs.end() ? 0 : found->second;
    bool const refused = call.status == 503 || call.status == 429;
    if (!call.repeatable && ran > 1) violations.push_back({"at most once", call.request});
    if (!call.repeatable && refused && ran > 0) {
      violations.push_back({"refused is not run", call.request});
    }
    // None of these calls crashes a server, so none may be quarantined.
    if (call.body.find("\"quarantined\"") != std::string::npos) {
      violations.push_back({"no call refused for another's crashes", call.request});
    }
    bool const own = call.body.starts_with("answer to " + call.request + " of ");
    if (call.status == 200 && !own) violations.push_back({"whole own answer", call.request});
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
                  boost::json::object const& result, soak_counts& counts,
                  violation_list& violations) {
  std::string const id = json_text(result, "id");
  bool const of_job = std::find(job.items.begin(), job.items.end(), id) != job.items.end();
  if (!of_job) violations.push_back({"nothing mixed", job.job + " lists " + id});
  if (json_text(result, "state") != "completed") {
    violations.push_back({"dead only for a reason", job.job + " " + id});
    return;
  }
  ++counts.samples;
  if (json_text(result, "text") != whole_text(id, seen.events)) {
    violations.push_back({"text is whole", job.job + " " + id});
  }
  if (json_text(result, "score") != "stamp-score-" + id) {
    violations.push_back({"score is its own scorer's", job.job + " " + id});
  }
  for (auto const& version : result.at("versions").as_array()) {
    auto const number = version.to_number<std::uint64_t>();
    if (number < job.min_version || number > seen.newest_version) {
      violations.push_back({"versions true", job.job + " " + id + " " + std::to_string(number)});
    }
  }
}

void check_job(soak_records const& seen, job_record const& job, soak_counts& counts,
               violation_list& violations) {
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
        violations.push_back({"positions fixed", job.job + " at " + std::to_string(place)});
        break;
      }
    }
  }
  std::size_t const listed = longest == nullptr ? 0 : longest->size();
  if (job.accepted && !job.ended && listed < job.items.size()) {
    violations.push_back(
        {"nothing acknowledged lost",
         job.job + " lists " + std::to_string(listed) + " of " + std::to_string(job.items.size())});
  }
  if (longest == nullptr) return;
  std::set<std::string> known;
  for (auto const& result : *longest) {
    check_result(seen, job, result.as_object(), counts, violations);
    if (!known.insert(json_text(result.as_object(), "id")).second) {
      violations.push_back({"one position for an item", job.job});
    }
  }
}

void check_ends(soak_records const& seen, violation_list& violations) {
  for (job_record const& job : seen.jobs) {
    if (!job.ended) continue;
    std::set<std::string> const items(job.items.begin(), job.items.end());
    for (auto const& [server, arrivals] : seen.arrivals) {
      for (arrival const& entry : arrivals) {
        if (items.contains(entry.request) && entry.at > job.ended_at + k_cancel_time) {
          violations.push_back({"an ended job sends nothing", job.job + " " + entry.request});
        }
      }
    }
  }
}

void check_orders(soak_records const& seen, soak_counts& counts, violation_list& violations) {
  for (auto const& [server, orders] : seen.orders) {
    for (std::size_t place = 0; place < orders.size(); ++place) {
      ++counts.orders;
      if (place == 0) continue;
      order_arrival const& before = orders[place - 1];
      order_arrival const& after = orders[place];
      if (after.fence < before.fence) violations.push_back({"fences rise", server});
      if (after.holder == before.holder) continue;
      if (after.fence == before.fence) violations.push_back({"one holder of a fence", server});
      for (std::size_t earlier = place - 1; earlier-- > 0;) {
        if (after.at - orders[earlier].at >= seen.order_gap) break;
        if (orders[earlier].holder != after.holder) continue;
        violations.push_back({"holders do not take turns",
                              server + ": " + after.holder + ", " + before.holder + ", and again"});
        break;
      }
    }
  }
}

/// Returns the expected tenant by request.
std::map<std::string, std::string> expected_tenants(soak_records const& seen) {
  std::map<std::string, std::string> tenants;
  for (call_record const& call : seen.calls) tenants[call.request] = call.tenant;
  for (job_record const& job : seen.jobs) {
    for (std::string const& item : job.items) tenants[item] = seen.job_tenant;
  }
  return tenants;
}

void check_tenants(soak_records const& seen, soak_counts& counts, violation_list& violations) {
  if (seen.job_tenant.empty()) return;
  auto const tenants = expected_tenants(seen);
  for (auto const& [server, arrivals] : seen.arrivals) {
    for (arrival const& entry : arrivals) {
      if (!entry.authorization.empty()) violations.push_back({"no key at a server", entry.request});
      auto const found = tenants.find(entry.request);
      if (found == tenants.end()) continue;
      ++counts.tenants;
      if (found->second.empty())
        violations.push_back({"no request of an unknown key", entry.request});
      if (found->second != entry.tenant) {
        violations.push_back({"tenant is its key's", entry.request + " as " + entry.tenant});
      }
    }
  }
}

void check_usage(soak_records const& seen, violation_list& violations) {
  for (std::string const& detail : seen.duty_violations)
    violations.push_back({"one reporter", detail});
  std::map<std::string, std::uint64_t> asked = seen.other_requests;
  for (call_record const& call : seen.calls) ++asked[call.tenant];
  for (auto const& [tenant, requests] : seen.reported) {
    if (requests <= asked[tenant]) continue;
    violations.push_back(
        {"no more usage than requests",
         tenant + ": " + std::to_string(requests) + " of " + std::to_string(asked[tenant])});
  }
}

}  // namespace

std::vector<violation> check_soak(soak_records const& seen, soak_counts& counts) {
  violation_list violations;
  check_calls(seen, counts, violations);
  for (job_record const& job : seen.jobs) check_job(seen, job, counts, violations);
  check_ends(seen, violations);
  check_orders(seen, counts, violations);
  check_tenants(seen, counts, violations);
  check_usage(seen, violations);
  return violations;
}

}  // namespace frostline::testing
