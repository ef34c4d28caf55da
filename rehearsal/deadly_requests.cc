#include "deadly_requests.h"

#include <algorithm>

#include "http/json_fields.h"

namespace frostline::testing {
namespace {

constexpr char k_text[] = "deadly";
/// Between two tries: some of them come while servers are back.
constexpr milliseconds k_pause{40};
constexpr std::size_t k_crashes_allowed = 3;
constexpr std::ptrdiff_t k_retries_allowed = 3;
constexpr std::size_t k_tries_a_node = 3;
/// Tries of a job's submission while faults are under way.
constexpr std::size_t k_submissions = 5;
/// From this long after the third crash on, only few retries may reach a server.
constexpr milliseconds k_contact{3000};
/// Samples that are not kept from engines come again some ten times in this.
constexpr milliseconds k_observed{4000};
/// A job's harmless sample is finished that long after calm at the latest.
constexpr milliseconds k_harmless_limit{15'000};

// Each ends in a full stop, so that no mark begins another.
std::string mark_of_call(std::size_t call) {
  return std::string(k_text) + "-call-" + std::to_string(call) + ".";
}

std::string mark_of_sample(std::size_t job) {
  return std::string(k_text) + "-sample-" + std::to_string(job) + ".";
}

std::string mark_of_scorer(std::size_t job) {
  return std::string(k_text) + "-scorer-" + std::to_string(job) + ".";
}

std::string name_of_job(std::size_t number) { return "crashing-job-" + std::to_string(number); }

std::string harmless_item(std::size_t number) { return "harmless-" + std::to_string(number); }

}  // namespace

deadly_requests::deadly_requests(platform_cluster& system, std::string key, std::uint64_t seed,
                                 milliseconds patience)
    : system_(system), key_(std::move(key)), patience_(patience) {
  system_.set_crash_text(k_text);
  sender_ = std::thread([this, seed] { send_loop(seed); });
}

deadly_requests::~deadly_requests() { stop(); }

void deadly_requests::switch_on() {
  ++calls_;
  on_ = true;
}

void deadly_requests::stop() {
  ended_ = true;
  if (sender_.joinable()) sender_.join();
}

void deadly_requests::send(std::size_t call, std::size_t node) {
  std::string const id = mark_of_call(call) + std::to_string(next_id_++);
  std::string const path = call % 2 == 0 ? "/calls/x" : "/once/x";
  // What it is answered is judged by what reaches the servers.
  static_cast<void>(
      system_.call(node, http::verb::post, path, id, mark_of_call(call), patience_, key_));
}

void deadly_requests::send_loop(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!ended_) {
    if (on_) send(calls_, random() % system_.nodes());
    std::this_thread::sleep_for(k_pause);
  }
}

bool deadly_requests::submit(std::size_t node, std::string const& job, std::size_t number) {
  std::string const name = name_of_job(number);
  std::vector<test_item> items(3);
  items[0] = {name + "-sample", "group-a"};
  items[0].prompt = mark_of_sample(number);
  items[1] = {name + "-scorer", "group-a"};
  items[1].scorer_body = mark_of_scorer(number);
  items[2] = {harmless_item(number), "group-b"};
  for (test_item& one : items) one.scorer_path = "/open/score";
  return system_.submit(node, job, items) == 202;
}

void deadly_requests::hand_in_job() {
  std::size_t const number = jobs_ + 1;
  for (std::size_t attempt = 0; attempt < k_submissions; ++attempt) {
    if (!submit(attempt % system_.nodes(), name_of_job(number), number)) continue;
    jobs_ = number;
    return;
  }
}

std::vector<time_point> deadly_requests::crashes(std::string const& mark) {
  std::vector<time_point> times = system_.on_platform([this, &mark] {
    std::vector<time_point> found;
    auto const take = [&](server_standin const& server) {
      for (arrival const& one : server.arrivals()) {
        if (one.crashed && one.body.find(mark) != std::string::npos) found.push_back(one.at);
      }
    };
    for (std::size_t index = 0; index < system_.apps(); ++index) take(system_.app(index));
    for (std::size_t index = 0; index < system_.engines(); ++index) take(system_.engine(index));
    return found;
  });
  std::sort(times.begin(), times.end());
  return times;
}

void deadly_requests::judge(std::string const& mark, time_point calm_since,
                            std::vector<violation>& broken) {
  auto const times = crashes(mark);
  if (times.size() < k_crashes_allowed) return;
  ++judged_;
  time_point const bound = std::max(calm_since, times[k_crashes_allowed - 1] + k_contact);
  auto const more =
      std::count_if(times.begin(), times.end(), [&](time_point at) { return at > bound; });
  if (more <= k_retries_allowed) return;
  broken.push_back({"few retries after three crashes", mark + " " + std::to_string(times.size()) +
                                                           " crashes, " + std::to_string(more) +
                                                           " of them late"});
}

void deadly_requests::check_call(std::size_t call, std::function<void()> const& wait_for_service,
                                 std::vector<violation>& broken) {
  time_point const begin = boot_clock::now();
  if (crashes(mark_of_call(call)).size() < k_crashes_allowed) return;
  for (std::size_t number = 0; number < k_tries_a_node * system_.nodes(); ++number) {
    wait_for_service();
    send(call, number % system_.nodes());
  }
  judge(mark_of_call(call), begin, broken);
}

bool deadly_requests::is_harmless_finished(std::string const& job, std::size_t number) {
  auto const listed = system_.results(number % system_.nodes(), job);
  if (!listed) return false;
  for (auto const& one : listed->at("results").as_array()) {
    bool const completed = json_text(one.as_object(), "state") == "completed";
    if (completed && json_text(one.as_object(), "id") == harmless_item(number)) return true;
  }
  return false;
}

void deadly_requests::check_job(std::size_t number, std::function<void()> const& wait_for_service,
                                std::vector<violation>& broken) {
  time_point const begin = boot_clock::now();
  std::string const first = name_of_job(number);
  std::string job = first;
  // The same samples come again in another job.
  for (std::size_t node = 0; node < system_.nodes(); ++node) {
    wait_for_service();
    std::string const again = first + "-again-" + std::to_string(node);
    if (submit(node, again, number)) job = again;
  }
  time_point const limit = boot_clock::now() + k_harmless_limit;
  while (!is_harmless_finished(job, number)) {
    if (boot_clock::now() < limit) continue;
    broken.push_back({"what ends no server is finished", job});
    break;
  }
  while (boot_clock::now() < begin + k_observed) wait_for_service();
  judge(mark_of_sample(number), begin, broken);
  judge(mark_of_scorer(number), begin, broken);
}

std::vector<violation> deadly_requests::check(std::function<void()> const& wait_for_service) {
  std::vector<violation> broken;
  for (std::size_t call = 1; call <= calls_; ++call) check_call(call, wait_for_service, broken);
  for (std::size_t job = 1; job <= jobs_; ++job) check_job(job, wait_for_service, broken);
  return broken;
}

}  // namespace frostline::testing
