/// @file Randomized soak of gateway processes on stand-ins of the users' platform. Injects pairs of
/// faults drawn from a seed and checks the gateway's guarantees afterwards.

#include <gflags/gflags.h>
#include <signal.h>

#include <atomic>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "fault_schedule.h"
#include "http/json_fields.h"
#include "odd_entries.h"
#include "platform_cluster.h"
#include "poison_requests.h"
#include "slow_server_faults.h"
#include "soak_checker.h"
#include "soak_faults.h"
#include "start_faults.h"

DEFINE_uint64(seed, 1, "seed of everything random");
DEFINE_double(minutes, 1, "duration of fault injection, minutes");
DEFINE_uint32(nodes, 4, "gateway nodes, 2 to 200");
DEFINE_uint32(engines, 3, "stand-ins of engines, 1 to 64");
DEFINE_uint32(apps, 3, "stand-ins of application servers, 1 to 64");
DEFINE_uint32(zones, 1, "zones of the gateways");
DEFINE_uint32(
    deadly_patience_ms, 800,
    "timeout of callers that send poison requests, milliseconds; below crash_after_ms they "
    "disconnect before the crash");
DEFINE_uint32(crash_after_ms, 20,
              "time from the arrival of a poison request to the crash, milliseconds");
DEFINE_bool(all_faults, true,
            "include the faults that were added after the first seeds of tests/soak-seeds.txt; "
            "false replays those seeds");
DEFINE_bool(slow_server_faults, false,
            "draw one fault of each pair from those of slow, failing and misreporting application "
            "servers; all application servers then report their load");
DEFINE_bool(start_faults, false,
            "draw one fault of each pair from those that strike gateways while they start");

namespace {

using namespace frostline;
using namespace frostline::testing;

constexpr std::uint32_t k_events_per_sample = 5;
constexpr std::size_t k_samples_per_job = 12;
/// Time after its acceptance for which a fully read job must still be listed. Must be below
/// jobs.retention_seconds.
constexpr milliseconds k_min_job_retention{100'000};
/// Maximum number of reads of one job, 0.1 s apart, before the next job is submitted.
constexpr int k_max_reads_under_faults = 12;
constexpr int k_max_reads_after_faults = 100;
constexpr milliseconds k_order_gap{300};
constexpr char k_added_prefix[] = "/added/";
constexpr char k_first_tenant[] = "first";
constexpr char k_second_tenant[] = "second";
constexpr char k_first_key[] = "key-a";
constexpr char k_second_key[] = "key-b";
constexpr char k_unknown_key[] = "key-x";
constexpr char k_tenants[] =
    R"([{"name":"first","api_keys":["key-a"]},{"name":"second","api_keys":["key-b"]}])";
constexpr char k_tenants_with_key_revoked[] =
    R"([{"name":"first","api_keys":["key-a"]},{"name":"second","api_keys":[]}])";
constexpr milliseconds k_fault_duration{1500};
constexpr milliseconds k_pause_between_faults{700};
constexpr milliseconds k_suspension_duration{2200};
/// Time limit for waiting until a job is accepted. None is accepted while a fault stops all nodes.
constexpr milliseconds k_acceptance_timeout{1500};
constexpr milliseconds k_recovery_timeout{12'000};
constexpr milliseconds k_recovery_call_timeout{5000};
/// Time after the last fault or after a change within which all nodes must have received all
/// changes.
constexpr milliseconds k_propagation_time{3000};
/// Long enough that some calls are in flight when an application server crashes.
constexpr milliseconds k_call_service_time{8};
/// Each thread draws from a generator of its own, so that its draws do not depend on the others.
constexpr std::uint64_t k_caller_stream = 1;
constexpr std::uint64_t k_trainer_stream = 2;
constexpr std::uint64_t k_entries_stream = 3;
constexpr std::uint64_t k_jobs_stream = 4;
constexpr std::size_t k_odd_jobs = 12;
/// More than two pages of the store.
constexpr std::size_t k_odd_entries = 120;

class soak {
 public:
  explicit soak(std::uint64_t seed)
      : caller_random_(make_generator(seed, k_caller_stream)),
        trainer_random_(make_generator(seed, k_trainer_stream)),
        system_(options()),
        poison_requests_(system_, k_first_key, seed, milliseconds(FLAGS_deadly_patience_ms)),
        faults_(
            system_, poison_requests_, {k_tenants, k_tenants_with_key_revoked},
            [this] { wait_for_acceptance(); }, FLAGS_all_faults),
        slow_server_faults_(make_slow_server_faults(system_)),
        start_faults_(make_start_faults(system_)),
        schedule_(seed, faults_.all().size()) {
    system_.on_platform([this] {
      for (std::size_t app = 0; app < FLAGS_apps; ++app) {
        system_.app(app).faults().work_time = k_call_service_time;
        if (FLAGS_slow_server_faults) {
          system_.app(app).faults().uneven.reports = load_report_kind::correct;
        }
        system_.app(app).faults().crash_after = milliseconds(FLAGS_crash_after_ms);
      }
      for (std::size_t engine = 0; engine < FLAGS_engines; ++engine) {
        system_.engine(engine).faults().crash_after = milliseconds(FLAGS_crash_after_ms);
      }
      return 0;
    });
    write_odd_entries(system_, make_generator(seed, k_entries_stream), k_odd_entries);
  }

  /// @return true if every guarantee held.
  bool run(double minutes) {
    time_point const end =
        boot_clock::now() + milliseconds(static_cast<std::int64_t>(minutes * 60'000));
    system_.use_key(k_first_key);
    std::size_t const odd_jobs_taken =
        submit_odd_jobs(system_, make_generator(FLAGS_seed, k_jobs_stream), k_odd_jobs);
    std::thread caller([this] { call_loop(); });
    start_training(k_max_reads_under_faults);
    // Every soak has this pair; the others are random.
    cause_pair(faults_.find("deadly_request"), faults_.find("deadly_job"), 0);
    while (boot_clock::now() < end) cause_random_pair();
    poison_requests_.stop();
    bool const recovered = wait_for_recovery();
    // The results are read first, since the checks of many nodes outlast the retention of results.
    finish_training();
    start_training(k_max_reads_after_faults);
    check_poison_requests();
    check_added_route();
    finish_training();
    calling_ = false;
    caller.join();
    if (odd_jobs_taken > 0)
      std::cout << "odd jobs that were not refused: " << odd_jobs_taken << "\n";
    return collect_and_report(recovered) && odd_jobs_taken == 0;
  }

 private:
  static platform_options options() {
    platform_options settings;
    settings.nodes = FLAGS_nodes;
    settings.engines = FLAGS_engines;
    settings.apps = FLAGS_apps;
    settings.zones = FLAGS_zones;
    settings.events = k_events_per_sample;
    settings.event_gap = milliseconds(25);
    settings.proxied_store = true;
    settings.tenants = k_tenants;
    settings.usage_window = milliseconds(500);
    settings.suspendable = true;
    return settings;
  }

  static std::mt19937_64 make_generator(std::uint64_t seed, std::uint64_t stream) {
    std::seed_seq sequence{seed, stream};
    return std::mt19937_64(sequence);
  }

  static std::size_t pick(std::mt19937_64& random, std::size_t count) { return random() % count; }

  void cause_random_pair() {
    // The schedule draws the same numbers whichever faults the first one is taken from.
    fault_pair const pair = schedule_.next();
    std::vector<soak_fault> const& faults = first_faults();
    cause_pair(faults[pair.first % faults.size()], faults_.all()[pair.second], pair.target);
  }

  std::vector<soak_fault> const& first_faults() const {
    if (FLAGS_slow_server_faults) return slow_server_faults_;
    return FLAGS_start_faults ? start_faults_ : faults_.all();
  }

  void cause_pair(soak_fault const& first, soak_fault const& second, std::size_t target) {
    std::cout << "fault " << first.name << " + " << second.name << " on " << target % FLAGS_nodes
              << std::endl;
    bool const distinct = &first != &second;
    first.apply(true, target);
    if (distinct) second.apply(true, target + 1);
    fault_count_ += distinct ? 2 : 1;
    bool const suspended = suspends_process(first.name) || suspends_process(second.name);
    std::this_thread::sleep_for(suspended ? k_suspension_duration : k_fault_duration);
    first.apply(false, target);
    if (distinct) second.apply(false, target + 1);
    std::this_thread::sleep_for(k_pause_between_faults);
  }

  /// Returns right after a job was accepted, or after a timeout.
  void wait_for_acceptance() {
    std::uint64_t const before = accepted_jobs_;
    time_point const limit = boot_clock::now() + k_acceptance_timeout;
    while (accepted_jobs_ == before && boot_clock::now() < limit) std::this_thread::yield();
  }

  static bool suspends_process(std::string const& fault) {
    for (char const* word : {"freeze", "frozen", "suspend"}) {
      if (fault.find(word) != std::string::npos) return true;
    }
    return false;
  }

  /// Checks that requests which crashed three servers crash few more after the last fault.
  void check_poison_requests() {
    time_point const propagated_by = boot_clock::now() + k_propagation_time;
    while (boot_clock::now() < propagated_by) all_nodes_serve();
    retry_violations_ = poison_requests_.check([this] { wait_for_recovery(); });
    records_.other_requests[k_first_tenant] = poison_requests_.sent();
  }

  /// Checks that an acknowledged configuration reaches all nodes in time although all connections
  /// that were open before the change have gone silent.
  void check_added_route() {
    wait_for_recovery();
    system_.silence_connections(connected_part::all);
    time_point const in_force_by = boot_clock::now() + k_propagation_time;
    faults_.add_route(k_added_prefix);
    while (boot_clock::now() < in_force_by) std::this_thread::yield();
    for (std::size_t node = 0; node < FLAGS_nodes; ++node) {
      auto const answer = system_.call(node, http::verb::get, std::string(k_added_prefix) + "x",
                                       next_id("a"), "", k_recovery_call_timeout, "");
      unsigned const status = answer ? answer.value().result_int() : 0;
      if (status == 200) continue;
      route_violations_.push_back(
          {"configuration in force", "node " + std::to_string(node) + " answers " +
                                         std::to_string(status) + " for an added route"});
    }
  }

  bool all_nodes_serve() {
    for (std::size_t node = 0; node < FLAGS_nodes; ++node) {
      // Without an API key the request counts for no tenant.
      auto const answer = system_.call(node, http::verb::get, "/open/recovery", next_id("r"), "",
                                       k_recovery_call_timeout, "");
      if (!answer || answer.value().result_int() != 200) return false;
    }
    return true;
  }

  bool wait_for_recovery() {
    time_point const limit = boot_clock::now() + k_recovery_timeout;
    while (boot_clock::now() < limit) {
      if (all_nodes_serve()) return true;
    }
    return false;
  }

  std::string next_id(std::string const& kind) { return kind + "-" + std::to_string(next_id_++); }

  void call_loop() {
    while (calling_) {
      call_record call;
      call.repeatable = pick(caller_random_, 2) == 0;
      call.request = next_id("call");
      std::string const path = call.repeatable ? "/calls/x" : "/once/x";
      std::size_t const choice = pick(caller_random_, 5);
      std::string const key =
          choice == 0 ? k_unknown_key : (choice < 3 ? k_first_key : k_second_key);
      if (choice > 0) call.tenant = choice < 3 ? k_first_tenant : k_second_tenant;
      auto const answer = system_.call(pick(caller_random_, FLAGS_nodes), http::verb::post, path,
                                       call.request, "b", milliseconds(1500), key);
      if (answer) {
        call.status = answer.value().result_int();
        call.body = answer.value().body();
      }
      records_.calls.push_back(std::move(call));
    }
  }

  /// @param max_reads maximum number of reads of one job before the next job is submitted.
  void start_training(int max_reads) {
    training_ = true;
    trainer_ = std::thread([this, max_reads] { train_loop(max_reads); });
  }

  /// Stops the trainer thread and reads the remaining results.
  void finish_training() {
    training_ = false;
    trainer_.join();
    finish_jobs();
  }

  void train_loop(int max_reads) {
    while (training_) {
      std::uint64_t const version = faults_.newest_version();
      job_record job;
      job.job = next_id("job");
      job.min_version = version > 1 ? version - 1 : 1;
      std::vector<test_item> items;
      for (std::size_t index = 0; index < k_samples_per_job; ++index) {
        job.items.push_back(job.job + "i" + std::to_string(index));
        items.push_back({job.items.back(), "g" + std::to_string(index / 4)});
        items.back().scorer_path = "/open/score";
      }
      while (training_ && !job.accepted) {
        job.accepted = system_.submit(pick(trainer_random_, FLAGS_nodes), job.job, items,
                                      job.min_version) == 202;
      }
      if (job.accepted) {
        ++accepted_jobs_;
        accepted_at_[job.job] = boot_clock::now();
      }
      for (int reads = 0; reads < max_reads && job.accepted; ++reads) {
        if (read_results(job.job) == k_samples_per_job) break;
        std::this_thread::sleep_for(milliseconds(100));
      }
      if (job.accepted && pick(trainer_random_, 3) == 0) end_job(job);
      records_.jobs.push_back(std::move(job));
      faults_.announce_next_version();
    }
    records_.newest_version = faults_.newest_version();
  }

  /// @return number of results in the list.
  std::size_t read_results(std::string const& job) {
    auto const answer = system_.results(pick(trainer_random_, FLAGS_nodes), job);
    if (!answer) return 0;
    read_record record;
    record.job = job;
    record.at = boot_clock::now();
    record.results = answer->at("results").as_array();
    std::size_t const count = record.results.size();
    records_.reads.push_back(std::move(record));
    if (count == k_samples_per_job) fully_read_jobs_.insert(job);
    return count;
  }

  void end_job(job_record& job) {
    job.ended = system_.end_job(pick(trainer_random_, FLAGS_nodes), job.job) == 200;
    job.ended_at = boot_clock::now();
    // Without status 200 the job may or may not have ended, so the checker must not require its
    // results.
    if (!job.ended) job.accepted = false;
  }

  /// Returns true if the job was read fully and its retention may have ended.
  bool may_be_deleted(std::string const& job) const {
    return fully_read_jobs_.contains(job) &&
           boot_clock::now() > accepted_at_.at(job) + k_min_job_retention;
  }

  void finish_jobs() {
    time_point const limit = boot_clock::now() + seconds(25);
    for (job_record const& job : records_.jobs) {
      if (!job.accepted || job.ended || may_be_deleted(job.job)) continue;
      while (boot_clock::now() < limit && read_results(job.job) < job.items.size()) {
        std::this_thread::sleep_for(milliseconds(50));
      }
    }
  }

  bool collect_and_report(bool recovered) {
    system_.on_platform([this] {
      for (std::size_t index = 0; index < FLAGS_engines; ++index) {
        records_.arrivals[system_.engine(index).id()] = system_.engine(index).arrivals();
        records_.orders[system_.engine(index).id()] = system_.engine(index).orders();
      }
      for (std::size_t index = 0; index < FLAGS_apps; ++index) {
        records_.arrivals[system_.app(index).id()] = system_.app(index).arrivals();
      }
      return 0;
    });
    records_.events = k_events_per_sample;
    records_.order_gap = k_order_gap;
    records_.job_tenant = k_first_tenant;
    system_.on_platform([this] {
      records_.duty_violations = system_.duties().violations(k_order_gap);
      for (char const* tenant : {k_first_tenant, k_second_tenant}) {
        records_.reported[tenant] = system_.duties().reported(tenant);
      }
      records_.reports = system_.duties().calls().size();
      return 0;
    });
    soak_counts counts;
    auto broken = check_soak(records_, counts);
    broken.insert(broken.end(), retry_violations_.begin(), retry_violations_.end());
    broken.insert(broken.end(), route_violations_.begin(), route_violations_.end());
    if (!recovered) broken.push_back({"recovery", "not served by all nodes within 12 s"});
    for (violation const& violation : broken) {
      std::cout << "BROKEN " << violation.invariant << ": " << violation.detail << '\n';
    }
    bool const covered = counts.requests > 0 && counts.samples > 0 && counts.positions > 0 &&
                         counts.tenants > 0 && records_.reports > 0;
    std::cout << "seed " << FLAGS_seed << ": " << fault_count_ << " faults, " << counts.requests
              << " requests, " << counts.samples << " samples, " << counts.positions
              << " positions, " << counts.orders << " orders, " << counts.tenants << " tenants, "
              << records_.reports << " reports, " << poison_requests_.retries_checked() << " of "
              << poison_requests_.count() << " poison requests checked; " << broken.size()
              << " violations; logs in " << system_.folder() << std::endl;
    return broken.empty() && covered;
  }

  /// Used by the caller thread.
  std::mt19937_64 caller_random_;
  /// Used by the trainer thread while it runs, by the main thread otherwise.
  std::mt19937_64 trainer_random_;
  platform_cluster system_;
  std::atomic<bool> calling_ = true;
  std::atomic<bool> training_ = false;
  std::thread trainer_;
  /// Used by the trainer thread while it runs, by the main thread otherwise.
  std::map<std::string, time_point> accepted_at_;
  std::set<std::string> fully_read_jobs_;
  std::atomic<std::uint64_t> next_id_ = 0;
  std::atomic<std::uint64_t> accepted_jobs_ = 0;
  std::size_t fault_count_ = 0;
  soak_records records_;
  std::vector<violation> retry_violations_;
  std::vector<violation> route_violations_;
  poison_requests poison_requests_;
  soak_faults faults_;
  std::vector<soak_fault> slow_server_faults_;
  std::vector<soak_fault> start_faults_;
  fault_schedule schedule_;
};

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Injects pairs of faults into gateways on stand-ins of the platform.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bool const fits = FLAGS_nodes >= 2 && FLAGS_nodes <= 200 && FLAGS_engines >= 1 &&
                    FLAGS_engines <= 64 && FLAGS_apps >= 1 && FLAGS_apps <= 64 && FLAGS_zones >= 1;
  if (!fits) {
    std::cerr << "--nodes, --engines, --apps or --zones is out of range\n";
    return 2;
  }
  soak test(FLAGS_seed);
  return test.run(FLAGS_minutes) ? 0 : 1;
}
