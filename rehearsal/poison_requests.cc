#include "poison_requests.h"

#include <algorithm>

#include "http/json_fields.h"

namespace frostline::testing {
namespace {

constexpr char k_crash_text[] = "deadly";
/// Interval between two requests, short enough that some reach a restarted server.
constexpr milliseconds k_send_interval{40};
constexpr std::size_t k_crashes_allowed = 3;
constexpr std::ptrdiff_t k_retries_allowed = 3;
/// Engines that crash under each unlucky sample: more than put a call under quarantine.
constexpr std::uint32_t k_sample_crashes = 5;
constexpr std::size_t k_sends_per_node = 3;
/// Attempts to submit a job while faults are active.
constexpr std::size_t k_submit_attempts = 5;
/// Time after the third crash within which all nodes must have quarantined the request.
constexpr milliseconds k_propagation_time{3000};
/// Long enough for several retries of a scorer's call that is not quarantined.
constexpr milliseconds k_observation_time{4000};
/// Time in which a job's other samples must complete once the faults have ended.
constexpr milliseconds k_completion_timeout{15'000};

// Each marker ends with a period, so that none is a prefix of another.
std::string call_marker(std::size_t call) {
  return std::string(k_crash_text) + "-call-" + std::to_string(call) + ".";
}

std::string sample_marker(std::size_t job) { return "unlucky-sample-" + std::to_string(job) + "."; }

std::string scorer_marker(std::size_t job) {
  return std::string(k_crash_text) + "-scorer-" + std::to_string(job) + ".";
}

/// Describes each arrival by its server and its time in milliseconds from `origin`.
std::string describe(std::vector<poison_arrival> const& arrivals, time_point origin) {
  std::string text;
  for (poison_arrival const& arrival : arrivals) {
    auto const offset = std::chrono::duration_cast<milliseconds>(arrival.at - origin);
    text += " " + arrival.server + " " + std::to_string(offset.count());
  }
  return text;
}

std::string job_name(std::size_t number) { return "crashing-job-" + std::to_string(number); }

std::string unlucky_item_id(std::size_t number) { return job_name(number) + "-sample"; }

std::string harmless_item_id(std::size_t number) { return "harmless-" + std::to_string(number); }

}  // namespace

poison_requests::poison_requests(platform_cluster& system, std::string key, std::uint64_t seed,
                                 milliseconds call_timeout)
    : system_(system), key_(std::move(key)), call_timeout_(call_timeout) {
  system_.set_crash_text(k_crash_text);
  sender_ = std::thread([this, seed] { send_loop(seed); });
}

poison_requests::~poison_requests() { stop(); }

void poison_requests::start_sending_call() {
  ++calls_;
  sending_ = true;
}

void poison_requests::stop() {
  stopped_ = true;
  if (sender_.joinable()) sender_.join();
}

void poison_requests::send(std::size_t call, std::size_t node) {
  std::string const id = call_marker(call) + std::to_string(next_id_++);
  std::string const path = call % 2 == 0 ? "/calls/x" : "/once/x";
  // The response is ignored: the check counts what reaches the servers.
  static_cast<void>(
      system_.call(node, http::verb::post, path, id, call_marker(call), call_timeout_, key_));
}

void poison_requests::send_loop(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!stopped_) {
    if (sending_) send(calls_, random() % system_.nodes());
    std::this_thread::sleep_for(k_send_interval);
  }
}

bool poison_requests::submit(std::size_t node, std::string const& job, std::size_t number) {
  std::string const name = job_name(number);
  std::vector<test_item> items(3);
  items[0] = {unlucky_item_id(number), "group-a"};
  items[0].prompt = sample_marker(number);
  items[1] = {name + "-scorer", "group-a"};
  items[1].scorer_body = scorer_marker(number);
  items[2] = {harmless_item_id(number), "group-b"};
  for (test_item& item : items) item.scorer_path = "/open/score";
  return system_.submit(node, job, items) == 202;
}

void poison_requests::submit_poison_job() {
  std::size_t const number = jobs_ + 1;
  system_.add_crash_budget(sample_marker(number), k_sample_crashes);
  for (std::size_t attempt = 0; attempt < k_submit_attempts; ++attempt) {
    if (!submit(attempt % system_.nodes(), job_name(number), number)) continue;
    jobs_ = number;
    return;
  }
}

std::vector<poison_arrival> poison_requests::find_arrivals(std::string const& marker) {
  std::vector<poison_arrival> all = system_.on_platform([this, &marker] {
    std::vector<poison_arrival> found;
    auto const take = [&](server_standin const& server) {
      for (arrival const& request : server.arrivals()) {
        if (request.crashed && request.body.find(marker) != std::string::npos)
          found.push_back({request.at, request.server});
      }
    };
    for (std::size_t index = 0; index < system_.apps(); ++index) take(system_.app(index));
    for (std::size_t index = 0; index < system_.engines(); ++index) take(system_.engine(index));
    return found;
  });
  std::sort(all.begin(), all.end(), [](poison_arrival const& left, poison_arrival const& right) {
    return left.at < right.at;
  });
  return all;
}

void poison_requests::check_retries(std::string const& marker, time_point faults_ended_at,
                                    std::vector<violation>& broken) {
  std::vector<poison_arrival> const arrivals = find_arrivals(marker);
  auto const last_allowed_crash = time_of_crash(arrivals, k_crashes_allowed);
  if (!last_allowed_crash) return;
  ++retries_checked_;
  time_point const allowed_until =
      std::max(faults_ended_at, *last_allowed_crash + k_propagation_time);
  auto const is_late = [&](poison_arrival const& arrival) { return arrival.at > allowed_until; };
  auto const more = std::count_if(arrivals.begin(), arrivals.end(), is_late);
  if (more <= k_retries_allowed) return;
  broken.push_back({"few retries after three crashes",
                    marker + " " + std::to_string(arrivals.size()) + " arrivals, " +
                        std::to_string(more) +
                        " of them late:" + describe(arrivals, allowed_until)});
}

void poison_requests::complete_evidence(std::size_t call,
                                        std::function<void()> const& wait_for_service) {
  std::string const marker = call_marker(call);
  auto const find_last = [&] { return time_of_crash(find_arrivals(marker), k_crashes_allowed); };
  std::optional<time_point> last = find_last();
  std::size_t const max_sends = k_crashes_allowed * system_.nodes();
  for (std::size_t number = 0; !last && number < max_sends; ++number) {
    wait_for_service();
    send(call, number % system_.nodes());
    last = find_last();
  }
  while (last && boot_clock::now() < *last + k_propagation_time) wait_for_service();
}

void poison_requests::check_call(std::size_t call, std::function<void()> const& wait_for_service,
                                 std::vector<violation>& broken) {
  if (find_arrivals(call_marker(call)).empty()) return;
  complete_evidence(call, wait_for_service);
  time_point const begin = boot_clock::now();
  for (std::size_t number = 0; number < k_sends_per_node * system_.nodes(); ++number) {
    wait_for_service();
    send(call, number % system_.nodes());
  }
  check_retries(call_marker(call), begin, broken);
}

bool poison_requests::is_completed(std::string const& job, std::size_t number,
                                   std::string const& item) {
  auto const listed = system_.results(number % system_.nodes(), job);
  if (!listed) return false;
  for (auto const& result : listed->at("results").as_array()) {
    bool const completed = json_text(result.as_object(), "state") == "completed";
    if (completed && json_text(result.as_object(), "id") == item) return true;
  }
  return false;
}

void poison_requests::check_job(std::size_t number, std::function<void()> const& wait_for_service,
                                std::vector<violation>& broken) {
  time_point const begin = boot_clock::now();
  std::string const first = job_name(number);
  std::string job = first;
  // Submit the same samples again in further jobs.
  for (std::size_t node = 0; node < system_.nodes(); ++node) {
    wait_for_service();
    std::string const again = first + "-again-" + std::to_string(node);
    if (submit(node, again, number)) job = again;
  }
  time_point const limit = boot_clock::now() + k_completion_timeout;
  for (std::string const& item : {harmless_item_id(number), unlucky_item_id(number)}) {
    while (!is_completed(job, number, item)) {
      if (boot_clock::now() < limit) continue;
      broken.push_back({"sample is completed", item});
      break;
    }
  }
  while (boot_clock::now() < begin + k_observation_time) wait_for_service();
  // The samples submitted again may have ended the third server only now.
  auto const last = time_of_crash(find_arrivals(scorer_marker(number)), k_crashes_allowed);
  while (last && boot_clock::now() < *last + k_observation_time) wait_for_service();
  check_retries(scorer_marker(number), begin, broken);
}

std::vector<violation> poison_requests::check(std::function<void()> const& wait_for_service) {
  std::vector<violation> broken;
  for (std::size_t call = 1; call <= calls_; ++call) check_call(call, wait_for_service, broken);
  for (std::size_t job = 1; job <= jobs_; ++job) check_job(job, wait_for_service, broken);
  return broken;
}

}  // namespace frostline::testing
