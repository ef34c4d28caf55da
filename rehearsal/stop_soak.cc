/// @file Randomized soak of planned stops: gateways are stopped, stalled, reloaded and started
/// again in turns that overlap, while clients use each connection until it ends. Checks that every
/// request sent gets a whole answer, and that none runs that was said not to.

#include <gflags/gflags.h>
#include <signal.h>

#include <atomic>
#include <boost/asio/write.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <thread>

#include "platform_cluster.h"

DEFINE_uint64(seed, 1, "seed of everything random");
DEFINE_double(minutes, 0.3, "duration of the stops, minutes");
DEFINE_uint32(nodes, 4, "gateway nodes, 2 to 100");
DEFINE_uint32(clients, 12, "clients, each with one connection at a time, 1 to 200");

namespace {

using namespace frostline;
using namespace frostline::testing;
namespace bhttp = http::bhttp;

constexpr milliseconds k_turn{5};
constexpr milliseconds k_readiness_interval{100};
constexpr milliseconds k_max_running{1500};
constexpr milliseconds k_max_stall{80};
constexpr milliseconds k_max_turn_between_stalls{20};
constexpr milliseconds k_max_client_pause{60};
constexpr milliseconds k_client_retry_delay{20};
/// Longer than the deadline of a request, so that it passes only if a connection went silent.
constexpr seconds k_answer_timeout{12};
/// Time limit for a planned stop and for a start. The settings allow a stop 8 s; stalls stretch it.
constexpr seconds k_exit_timeout{40};
constexpr double k_second_signal_share = 0.3;
constexpr double k_stalled_share = 0.7;
constexpr std::uint64_t k_client_stream = 1000;

milliseconds draw_time(std::mt19937_64& random, milliseconds longest) {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(1, longest.count())(random));
}

bool draw(std::mt19937_64& random, double share) {
  return std::bernoulli_distribution(share)(random);
}

/// Statuses that promise that the request has not run and never will.
bool is_promise(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// What one client has seen.
struct client_report {
  std::uint64_t answered = 0;
  std::uint64_t refused_connections = 0;
  /// Requests that ended without a whole answer.
  std::vector<std::string> cut;
  std::set<std::string> promised_not_run;
};

/// Sends requests on one connection until it ends, then opens the next one.
class persistent_client {
 public:
  persistent_client(platform_cluster& system, std::size_t number)
      : system_(system),
        number_(number),
        random_(FLAGS_seed * k_client_stream + number),
        socket_(context_) {}

  void run(std::atomic<bool> const& stop) {
    while (!stop) {
      if (!is_open_ && !open()) continue;
      std::this_thread::sleep_for(draw_time(random_, k_max_client_pause));
      send_request();
    }
  }

  client_report const& report() const { return report_; }

 private:
  bool open() {
    std::size_t const node = random_() % FLAGS_nodes;
    endpoint const where = system_.client_address(node);
    boost::system::error_code failure;
    socket_ = tcp::socket(context_);
    buffer_.clear();
    socket_.connect({asio::ip::make_address(where.address), where.port}, failure);
    is_open_ = !failure;
    if (failure) {
      ++report_.refused_connections;
      std::this_thread::sleep_for(k_client_retry_delay);
      return false;
    }
    return true;
  }

  void send_request() {
    std::string const id = std::to_string(number_) + "-" + std::to_string(requests_++);
    boost::system::error_code failure;
    asio::write(socket_, asio::buffer(system_.call_text(http::verb::post, "/once/x", id, "b")),
                failure);
    // The notice of a close may have arrived before a write that fails.
    http::response answer;
    failure = read_answer(answer);
    if (failure) {
      report_.cut.push_back(id + ": " + failure.message());
      is_open_ = false;
      return;
    }
    ++report_.answered;
    if (is_promise(answer.result_int())) report_.promised_not_run.insert(id);
    is_open_ = answer.keep_alive();
  }

  /// Reads one answer; fails with `timed_out` after k_answer_timeout.
  boost::system::error_code read_answer(http::response& answer) {
    boost::system::error_code outcome = asio::error::timed_out;
    auto on_read = [&outcome](boost::system::error_code failure, std::size_t) {
      if (failure != asio::error::operation_aborted) outcome = failure;
    };
    bhttp::async_read(socket_, buffer_, answer, on_read);
    context_.restart();
    context_.run_for(k_answer_timeout);
    socket_.cancel();
    context_.run();
    return outcome;
  }

  platform_cluster& system_;
  std::size_t number_;
  std::mt19937_64 random_;
  asio::io_context context_{1};
  tcp::socket socket_;
  http::beast::flat_buffer buffer_;
  bool is_open_ = false;
  std::uint64_t requests_ = 0;
  client_report report_;
};

/// Stops one node again and again, each time in a way drawn from the seed.
class node_stopper {
 public:
  node_stopper(platform_cluster& system, std::size_t node) : system_(system), node_(node) {
    plan_run();
  }

  /// Does what is due. @return false if a planned stop has failed.
  bool step(time_point now, bool begin_stops) {
    if (state_ == state::starting) check_ready(now);
    if (state_ == state::running && begin_stops && now >= next_at_) begin_stop(now);
    if (state_ != state::stopping) return true;
    if (!system_.node(node_).is_running()) return end_stop();
    if (now > stop_began_at_ + k_exit_timeout) {
      system_.node(node_).kill();
      return end_stop();
    }
    if (is_stalled_stop_ && now >= next_at_) toggle_stall(now);
    return true;
  }

  bool is_stopping() const { return state_ == state::stopping; }
  std::uint64_t stops() const { return stops_; }

 private:
  enum class state { starting, running, stopping };

  /// Each stop draws from a generator of its own, so that the number of draws of one stop, which
  /// depends on its length, does not change the next.
  void plan_run() {
    std::seed_seq stream{FLAGS_seed, static_cast<std::uint64_t>(node_), stops_};
    random_.seed(stream);
    state_ = state::starting;
    next_at_ = boot_clock::now();
  }

  /// A process that has not installed its signal handlers yet would be ended by a signal.
  void check_ready(time_point now) {
    if (now < next_at_) return;
    next_at_ = now + k_readiness_interval;
    if (!system_.is_ready(node_)) return;
    state_ = state::running;
    next_at_ = now + draw_time(random_, k_max_running);
    if (draw(random_, k_second_signal_share)) system_.node(node_).send_signal(SIGHUP);
  }

  void begin_stop(time_point now) {
    state_ = state::stopping;
    stop_began_at_ = now;
    is_stalled_stop_ = draw(random_, k_stalled_share);
    is_stalled_ = false;
    next_at_ = now;
    system_.node(node_).send_signal(SIGTERM);
    if (draw(random_, k_second_signal_share)) system_.node(node_).send_signal(SIGTERM);
    if (draw(random_, k_second_signal_share)) system_.node(node_).send_signal(SIGHUP);
  }

  void toggle_stall(time_point now) {
    is_stalled_ = !is_stalled_;
    system_.node(node_).send_signal(is_stalled_ ? SIGSTOP : SIGCONT);
    next_at_ = now + draw_time(random_, is_stalled_ ? k_max_stall : k_max_turn_between_stalls);
  }

  bool end_stop() {
    bool const is_good = system_.node(node_).wait(0) == 0;
    ++stops_;
    system_.start_node(node_);
    plan_run();
    return is_good;
  }

  platform_cluster& system_;
  std::size_t node_;
  std::mt19937_64 random_;
  state state_ = state::starting;
  time_point next_at_{};
  time_point stop_began_at_{};
  bool is_stalled_stop_ = false;
  bool is_stalled_ = false;
  std::uint64_t stops_ = 0;
};

/// Number of requests that ran more than once, or although their client was told otherwise.
std::uint64_t count_wrong_runs(platform_cluster& system,
                               std::set<std::string> const& promised_not_run) {
  std::map<std::string, int> runs;
  for (std::size_t index = 0; index < system.apps(); ++index) {
    auto const arrivals = system.on_platform([&] { return system.app(index).arrivals(); });
    for (arrival const& entry : arrivals) runs[entry.request] += entry.ran ? 1 : 0;
  }
  std::uint64_t wrong = 0;
  for (auto const& [request, count] : runs) {
    int const allowed = promised_not_run.contains(request) ? 0 : 1;
    if (count <= allowed) continue;
    std::cout << "ran " << count << " times, allowed " << allowed << ": " << request << '\n';
    ++wrong;
  }
  return wrong;
}

/// Stops nodes until the time is over, then waits for the stops under way.
/// @return number of planned stops that did not end with exit code 0 in time.
std::uint64_t stop_nodes(std::vector<node_stopper>& stoppers, time_point end) {
  std::uint64_t failed = 0;
  bool is_busy = true;
  while (is_busy) {
    time_point const now = boot_clock::now();
    is_busy = now < end;
    for (node_stopper& stopper : stoppers) {
      if (!stopper.step(now, now < end)) ++failed;
      is_busy = is_busy || stopper.is_stopping();
    }
    std::this_thread::sleep_for(k_turn);
  }
  return failed;
}

int run() {
  platform_options options;
  options.nodes = FLAGS_nodes;
  platform_cluster system(options);
  std::deque<persistent_client> clients;
  std::vector<std::thread> threads;
  std::atomic<bool> stop = false;
  for (std::size_t number = 0; number < FLAGS_clients; ++number) {
    persistent_client& client = clients.emplace_back(system, number);
    threads.emplace_back([&client, &stop] { client.run(stop); });
  }
  std::vector<node_stopper> stoppers;
  for (std::size_t node = 0; node < FLAGS_nodes; ++node) stoppers.emplace_back(system, node);
  auto const duration = std::chrono::duration_cast<boot_clock::duration>(
      std::chrono::duration<double, std::ratio<60>>(FLAGS_minutes));
  std::uint64_t const failed_stops = stop_nodes(stoppers, boot_clock::now() + duration);
  stop = true;
  for (std::thread& thread : threads) thread.join();

  std::uint64_t stops = 0;
  for (node_stopper const& stopper : stoppers) stops += stopper.stops();
  client_report total;
  for (persistent_client const& client : clients) {
    client_report const& seen = client.report();
    total.answered += seen.answered;
    total.refused_connections += seen.refused_connections;
    total.cut.insert(total.cut.end(), seen.cut.begin(), seen.cut.end());
    total.promised_not_run.insert(seen.promised_not_run.begin(), seen.promised_not_run.end());
  }
  for (std::string const& request : total.cut) std::cout << "cut " << request << '\n';
  std::uint64_t const wrong_runs = count_wrong_runs(system, total.promised_not_run);
  bool const is_good = total.cut.empty() && wrong_runs == 0 && failed_stops == 0;
  std::cout << (is_good ? "every promise held" : "A PROMISE WAS BROKEN") << ": seed " << FLAGS_seed
            << ", stops " << stops << ", failed stops " << failed_stops << ", answered "
            << total.answered << ", not run " << total.promised_not_run.size() << ", refused "
            << total.refused_connections << ", cut " << total.cut.size() << ", wrong runs "
            << wrong_runs << ", logs in " << system.folder() << '\n';
  return is_good ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Stops gateways in turns that overlap while clients keep connections.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bool const sensible = FLAGS_nodes >= 2 && FLAGS_nodes <= 100 && FLAGS_clients >= 1 &&
                        FLAGS_clients <= 200 && FLAGS_minutes > 0;
  if (!sensible) {
    std::cerr << "frostline-stop-soak: a flag is out of range; see --help\n";
    return 2;
  }
  return run();
}
