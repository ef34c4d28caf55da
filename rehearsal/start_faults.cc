#include "start_faults.h"

#include <signal.h>

#include <cstdlib>
#include <deque>
#include <fstream>
#include <memory>

#include "cluster.h"

namespace frostline::testing {
namespace {

constexpr char k_signals_variable[] = "FROSTLINE_TEST_SIGNALS";
constexpr int k_exit_seconds = 15;

/// Waits until a node has begun to log or has ended. Before, the signal that other faults send for
/// a suspension has no handler and ends the process.
void wait_for_first_line(platform_cluster& system, std::size_t node) {
  platform_cluster::wait_until("the node has begun to log or has ended", [&] {
    return !system.node(node).is_running() || !system.log(node).empty();
  });
}

/// Starts a node to which these signals, numbers separated by commas, are sent as it begins.
void start_with_signals(platform_cluster& system, std::size_t node, std::string const& signals) {
  ::setenv(k_signals_variable, signals.c_str(), 1);
  system.start_node_as_configured(node, program_path("tests/libfrostline-suspension.so") + ":" +
                                            program_path("tests/libfrostline-early-signals.so"));
  ::unsetenv(k_signals_variable);
}

void start_unless_running(platform_cluster& system, std::size_t node) {
  if (!system.node(node).is_running()) system.start_node(node);
}

/// Holds addresses as other processes would.
class taken_addresses {
 public:
  void take(endpoint const& where) {
    boost::system::error_code failure;
    tcp::endpoint const local(asio::ip::make_address(where.address), where.port);
    tcp::acceptor& acceptor = acceptors_.emplace_back(context_);
    acceptor.open(local.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(local, failure);
    if (!failure) acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  void release() { acceptors_.clear(); }

 private:
  asio::io_context context_;
  std::deque<tcp::acceptor> acceptors_;
};

}  // namespace

std::vector<soak_fault> make_start_faults(platform_cluster& system) {
  std::vector<soak_fault> faults;
  std::string const hangups = std::to_string(SIGHUP) + "," + std::to_string(SIGHUP);
  std::string const stop = std::to_string(SIGHUP) + "," + std::to_string(SIGTERM);
  // Nothing starts the nodes again: one that ends by the signals is missed at the end.
  faults.push_back({"all_start_with_hangups", [&system, hangups](bool on, std::size_t) {
                      if (!on) return;
                      for (std::size_t node = 0; node < system.nodes(); ++node) {
                        system.node(node).kill();
                      }
                      for (std::size_t node = 0; node < system.nodes(); ++node) {
                        start_with_signals(system, node, hangups);
                      }
                      for (std::size_t node = 0; node < system.nodes(); ++node) {
                        wait_for_first_line(system, node);
                      }
                    }});
  faults.push_back({"start_with_stop", [&system, stop](bool on, std::size_t target) {
                      std::size_t const node = target % system.nodes();
                      if (on) {
                        system.node(node).kill();
                        start_with_signals(system, node, stop);
                        wait_for_first_line(system, node);
                        return;
                      }
                      system.resume(node);
                      system.node(node).send_signal(SIGCONT);
                      system.node(node).wait(k_exit_seconds);
                      start_unless_running(system, node);
                    }});
  faults.push_back({"start_with_half_settings", [&system, hangups](bool on, std::size_t target) {
                      std::size_t const node = target % system.nodes();
                      std::string const whole = system.settings_text(node);
                      if (on) {
                        system.node(node).kill();
                        std::ofstream(system.settings_path(node))
                            << whole.substr(0, whole.size() / 2);
                        start_with_signals(system, node, hangups);
                        wait_for_first_line(system, node);
                      } else {
                        std::ofstream(system.settings_path(node)) << whole;
                        start_unless_running(system, node);
                      }
                    }});
  auto const taken = std::make_shared<taken_addresses>();
  faults.push_back({"start_on_taken_addresses", [&system, taken](bool on, std::size_t target) {
                      std::size_t const node = target % system.nodes();
                      if (!on) {
                        taken->release();
                        start_unless_running(system, node);
                        return;
                      }
                      system.node(node).kill();
                      taken->take(system.client_address(node));
                      taken->take(system.peers_address(node));
                      taken->take(system.readiness_address(node));
                      system.start_node(node);
                      wait_for_first_line(system, node);
                    }});
  return faults;
}

}  // namespace frostline::testing
