/// @file A randomized soak of the gateway on stand-ins of its users' platform: real processes,
/// faults from outside them in pairs, and a checker of the promises. Seeded.

#include <gflags/gflags.h>
#include <signal.h>

#include <atomic>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "deadly_requests.h"
#include "http/json_fields.h"
#include "platform_cluster.h"
#include "soak_checker.h"
#include "soak_faults.h"

DEFINE_uint64(seed, 1, "seed of everything random");
DEFINE_double(minutes, 1, "how long faults are caused");
DEFINE_uint32(nodes, 4, "gateways, 2 to 200");
DEFINE_uint32(engines, 3, "stand-ins of engines, 1 to 64");
DEFINE_uint32(apps, 3, "stand-ins of application servers, 1 to 64");
DEFINE_uint32(zones, 1, "zones of the gateways");
DEFINE_uint32(
    deadly_patience_ms, 800,
    "how long callers wait whose calls end servers; below crash_after_ms they leave first");
DEFINE_uint32(crash_after_ms, 20, "from the arrival of a request that ends its server to that end");
DEFINE_bool(all_faults, true,
            "with the faults that came after the first seeds of tests/soak-seeds.txt were kept; "
            "without them a seed plays what it played then");

namespace {

using namespace frostline;
using namespace frostline::testing;

constexpr std::uint32_t k_events = 5;
constexpr std::size_t k_items = 12;
/// Shorter than jobs.retention_seconds: until then a job that was read whole must be listed again.
constexpr milliseconds k_kept{100'000};
/// Reads of one job, 0.1 s apart, before the next one is handed in: under faults, and in calm.
constexpr int k_reads = 12;
constexpr int k_calm_reads = 100;
constexpr milliseconds k_order_gap{300};
constexpr char k_added[] = "/added/";
constexpr char k_first[] = "first";
constexpr char k_second[] = "second";
constexpr char k_first_key[] = "key-a";
constexpr char k_second_key[] = "key-b";
constexpr char k_nobodys_key[] = "key-x";
constexpr char k_tenants[] =
    R"([{"name":"first","api_keys":["key-a"]},{"name":"second","api_keys":["key-b"]}])";
constexpr char k_without_second_key[] =
    R"([{"name":"first","api_keys":["key-a"]},{"name":"second","api_keys":[]}])";
constexpr milliseconds k_fault_time{1500};
constexpr milliseconds k_quiet_time{700};
constexpr milliseconds k_frozen_time{2200};
/// An acceptance is waited for no longer: there is none while faults stop all.
constexpr milliseconds k_acceptance_limit{1500};
constexpr milliseconds k_recovery_limit{12'000};
constexpr milliseconds k_recovery_patience{5000};
/// A node has heard of everything that long after the last fault.
constexpr milliseconds k_contact{3000};
/// How long an application server works on a call: some are under way when it ends.
constexpr milliseconds k_work_time{8};

class soak {
 public:
  explicit soak(std::uint64_t seed)
      : random_(seed),
        system_(options()),
        deadly_(system_, k_first_key, seed, milliseconds(FLAGS_deadly_patience_ms)),
        faults_(
            system_, deadly_, {k_tenants, k_without_second_key}, [this] { wait_for_acceptance(); },
            FLAGS_all_faults) {
    system_.on_platform([this] {
      for (std::size_t app = 0; app < FLAGS_apps; ++app) {
        system_.app(app).faults().work_time = k_work_time;
        system_.app(app).faults().crash_after = milliseconds(FLAGS_crash_after_ms);
      }
      for (std::size_t engine = 0; engine < FLAGS_engines; ++engine) {
        system_.engine(engine).faults().crash_after = milliseconds(FLAGS_crash_after_ms);
      }
      return 0;
    });
  }

  /// @return whether every invariant was kept.
  bool run(double minutes) {
    time_point const end =
        boot_clock::now() + milliseconds(static_cast<std::int64_t>(minutes * 60'000));
    system_.use_key(k_first_key);
    std::thread caller([this] { call_loop(); });
    start_training(k_reads);
    // Of the others any may come, these in each soak.
    cause_pair(faults_.find("deadly_request"), faults_.find("deadly_job"), 0);
    while (boot_clock::now() < end) cause_random_pair();
    deadly_.stop();
    bool const recovered = wait_for_recovery();
    // With many nodes the judgement takes longer than results are kept.
    finish_training();
    start_training(k_calm_reads);
    check_deadly_requests();
    check_added_route();
    finish_training();
    working_ = false;
    caller.join();
    return judge(recovered);
  }

 private:
  static platform_options options() {
    platform_options all;
    all.nodes = FLAGS_nodes;
    all.engines = FLAGS_engines;
    all.apps = FLAGS_apps;
    all.zones = FLAGS_zones;
    all.events = k_events;
    all.event_gap = milliseconds(25);
    all.proxied_store = true;
    all.tenants = k_tenants;
    all.usage_window = milliseconds(500);
    all.suspendable = true;
    return all;
  }

  std::size_t pick(std::size_t count) {
    std::lock_guard const lock(random_mutex_);
    return random_() % count;
  }

  void cause_random_pair() {
    std::vector<soak_fault> const& faults = faults_.all();
    std::size_t const first = pick(faults.size());
    std::size_t const second = pick(faults.size());
    std::size_t const target = pick(1000);
    cause_pair(faults[first], faults[second], target);
  }

  void cause_pair(soak_fault const& first, soak_fault const& second, std::size_t target) {
    std::cout << "fault " << first.name << " + " << second.name << " on " << target % FLAGS_nodes
              << std::endl;
    bool const two = &first != &second;
    first.apply(true, target);
    if (two) second.apply(true, target + 1);
    caused_ += two ? 2 : 1;
    bool const frozen = stands_still(first.name) || stands_still(second.name);
    std::this_thread::sleep_for(frozen ? k_frozen_time : k_fault_time);
    first.apply(false, target);
    if (two) second.apply(false, target + 1);
    std::this_thread::sleep_for(k_quiet_time);
  }

  /// Returns right after a job was accepted, or after a while.
  void wait_for_acceptance() {
    std::uint64_t const before = accepted_;
    time_point const limit = boot_clock::now() + k_acceptance_limit;
    while (accepted_ == before && boot_clock::now() < limit) std::this_thread::yield();
  }

  static bool stands_still(std::string const& fault) {
    for (char const* word : {"freeze", "frozen", "suspend"}) {
      if (fault.find(word) != std::string::npos) return true;
    }
    return false;
  }

  /// Once all nodes are calm, what has ended three servers reaches few more.
  void check_deadly_requests() {
    time_point const calm = boot_clock::now() + k_contact;
    while (boot_clock::now() < calm) is_served();
    budget_broken_ = deadly_.check([this] { wait_for_recovery(); });
    seen_.other_requests[k_first] = deadly_.sent();
  }

  /// An acknowledged configuration is in force at all nodes in time, though all connections that
  /// were open when it was acknowledged have gone silent.
  void check_added_route() {
    wait_for_recovery();
    system_.silence_connections(connected_part::all);
    time_point const in_force = boot_clock::now() + k_contact;
    faults_.add_route(k_added);
    while (boot_clock::now() < in_force) std::this_thread::yield();
    for (std::size_t node = 0; node < FLAGS_nodes; ++node) {
      auto const answer = system_.call(node, http::verb::get, std::string(k_added) + "x",
                                       next_id("a"), "", k_recovery_patience, "");
      unsigned const status = answer ? answer.value().result_int() : 0;
      if (status == 200) continue;
      added_route_broken_.push_back(
          {"configuration in force", "node " + std::to_string(node) + " answers " +
                                         std::to_string(status) + " for an added route"});
    }
  }

  bool is_served() {
    for (std::size_t node = 0; node < FLAGS_nodes; ++node) {
      // Without a key, so that they count as no tenant's requests.
      auto const answer = system_.call(node, http::verb::get, "/open/recovery", next_id("r"), "",
                                       k_recovery_patience, "");
      if (!answer || answer.value().result_int() != 200) return false;
    }
    return true;
  }

  bool wait_for_recovery() {
    time_point const limit = boot_clock::now() + k_recovery_limit;
    while (boot_clock::now() < limit) {
      if (is_served()) return true;
    }
    return false;
  }

  std::string next_id(std::string const& kind) { return kind + "-" + std::to_string(next_id_++); }

  void call_loop() {
    while (working_) {
      call_record one;
      one.repeatable = pick(2) == 0;
      one.request = next_id("call");
      std::string const path = one.repeatable ? "/calls/x" : "/once/x";
      std::size_t const choice = pick(5);
      std::string const key =
          choice == 0 ? k_nobodys_key : (choice < 3 ? k_first_key : k_second_key);
      if (choice > 0) one.tenant = choice < 3 ? k_first : k_second;
      auto const answer = system_.call(pick(FLAGS_nodes), http::verb::post, path, one.request, "b",
                                       milliseconds(1500), key);
      if (answer) {
        one.status = answer.value().result_int();
        one.body = answer.value().body();
      }
      seen_.calls.push_back(std::move(one));
    }
  }

  /// @param most_reads of one job before the next one is handed in.
  void start_training(int most_reads) {
    training_ = true;
    trainer_ = std::thread([this, most_reads] { train_loop(most_reads); });
  }

  /// Ends the training and reads what has not been read yet.
  void finish_training() {
    training_ = false;
    trainer_.join();
    finish_jobs();
  }

  void train_loop(int most_reads) {
    while (training_) {
      std::uint64_t const version = faults_.newest_version();
      job_record job;
      job.job = next_id("job");
      job.min_version = version > 1 ? version - 1 : 1;
      std::vector<test_item> items;
      for (std::size_t index = 0; index < k_items; ++index) {
        job.items.push_back(job.job + "i" + std::to_string(index));
        items.push_back({job.items.back(), "g" + std::to_string(index / 4)});
        items.back().scorer_path = "/open/score";
      }
      while (training_ && !job.accepted) {
        job.accepted = system_.submit(pick(FLAGS_nodes), job.job, items, job.min_version) == 202;
      }
      if (job.accepted) {
        ++accepted_;
        accepted_at_[job.job] = boot_clock::now();
      }
      for (int reads = 0; reads < most_reads && job.accepted; ++reads) {
        if (read(job.job) == k_items) break;
        std::this_thread::sleep_for(milliseconds(100));
      }
      if (job.accepted && pick(3) == 0) end(job);
      seen_.jobs.push_back(std::move(job));
      faults_.name_next();
    }
    seen_.newest_version = faults_.newest_version();
  }

  /// @return results listed.
  std::size_t read(std::string const& job) {
    auto const answer = system_.results(pick(FLAGS_nodes), job);
    if (!answer) return 0;
    read_record one;
    one.job = job;
    one.at = boot_clock::now();
    one.results = answer->at("results").as_array();
    std::size_t const count = one.results.size();
    seen_.reads.push_back(std::move(one));
    if (count == k_items) whole_jobs_.insert(job);
    return count;
  }

  void end(job_record& job) {
    job.ended = system_.end_job(pick(FLAGS_nodes), job.job) == 200;
    job.ended_at = boot_clock::now();
    // An end without an answer may have been stored: whether the job goes on is open.
    if (!job.ended) job.accepted = false;
  }

  /// Whether a job was read whole, so long after its acceptance that it is kept no more.
  bool may_be_forgotten(std::string const& job) const {
    return whole_jobs_.contains(job) && boot_clock::now() > accepted_at_.at(job) + k_kept;
  }

  void finish_jobs() {
    time_point const limit = boot_clock::now() + seconds(25);
    for (job_record const& job : seen_.jobs) {
      if (!job.accepted || job.ended || may_be_forgotten(job.job)) continue;
      while (boot_clock::now() < limit && read(job.job) < job.items.size()) {
        std::this_thread::sleep_for(milliseconds(50));
      }
    }
  }

  bool judge(bool recovered) {
    system_.on_platform([this] {
      for (std::size_t index = 0; index < FLAGS_engines; ++index) {
        seen_.arrivals[system_.engine(index).id()] = system_.engine(index).arrivals();
        seen_.orders[system_.engine(index).id()] = system_.engine(index).orders();
      }
      for (std::size_t index = 0; index < FLAGS_apps; ++index) {
        seen_.arrivals[system_.app(index).id()] = system_.app(index).arrivals();
      }
      return 0;
    });
    seen_.events = k_events;
    seen_.order_gap = k_order_gap;
    seen_.job_tenant = k_first;
    system_.on_platform([this] {
      seen_.duty_violations = system_.duties().violations(k_order_gap);
      for (char const* tenant : {k_first, k_second}) {
        seen_.reported[tenant] = system_.duties().reported(tenant);
      }
      seen_.reports = system_.duties().calls().size();
      return 0;
    });
    soak_counts counts;
    auto broken = check_soak(seen_, counts);
    broken.insert(broken.end(), budget_broken_.begin(), budget_broken_.end());
    broken.insert(broken.end(), added_route_broken_.begin(), added_route_broken_.end());
    if (!recovered) broken.push_back({"recovery", "not served by all nodes within 12 s"});
    for (violation const& one : broken) {
      std::cout << "BROKEN " << one.invariant << ": " << one.detail << '\n';
    }
    bool const judged = counts.requests > 0 && counts.samples > 0 && counts.positions > 0 &&
                        counts.tenants > 0 && seen_.reports > 0;
    std::cout << "seed " << FLAGS_seed << ": " << caused_ << " faults, " << counts.requests
              << " requests, " << counts.samples << " samples, " << counts.positions
              << " positions, " << counts.orders << " orders, " << counts.tenants << " tenants, "
              << seen_.reports << " reports, " << deadly_.judged() << " of " << deadly_.count()
              << " deadly requests judged; " << broken.size() << " promises broken; logs in "
              << system_.folder() << std::endl;
    return broken.empty() && judged;
  }

  std::mt19937_64 random_;
  std::mutex random_mutex_;
  platform_cluster system_;
  std::atomic<bool> working_ = true;
  std::atomic<bool> training_ = false;
  std::thread trainer_;
  /// When jobs were accepted, and those of which all results were read; of the thread that trains,
  /// else of the main one.
  std::map<std::string, time_point> accepted_at_;
  std::set<std::string> whole_jobs_;
  std::atomic<std::uint64_t> next_id_ = 0;
  /// Jobs that were accepted.
  std::atomic<std::uint64_t> accepted_ = 0;
  std::size_t caused_ = 0;
  soak_records seen_;
  std::vector<violation> budget_broken_;
  std::vector<violation> added_route_broken_;
  deadly_requests deadly_;
  soak_faults faults_;
};

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Faults in pairs around gateways on stand-ins of the platform.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bool const fits = FLAGS_nodes >= 2 && FLAGS_nodes <= 200 && FLAGS_engines >= 1 &&
                    FLAGS_engines <= 64 && FLAGS_apps >= 1 && FLAGS_apps <= 64 && FLAGS_zones >= 1;
  if (!fits) {
    std::cerr << "The numbers of nodes, engines, apps and zones are out of their bounds.\n";
    return 2;
  }
  soak one(FLAGS_seed);
  return one.run(FLAGS_minutes) ? 0 : 1;
}
