/// @file Detection of server crashes after a connection broke or a run was abandoned.

#include "quarantine/crash_watch.h"

#include <CppUTest/TestHarness.h>

#include <functional>

#include "cluster.h"

using namespace frostline;
using namespace frostline::quarantine;
using namespace frostline::testing;

namespace {

constexpr milliseconds k_wait_timeout{2000};
/// Longer than the time for which a server with an abandoned run is probed.
constexpr milliseconds k_monitoring_time{900};

}  // namespace

TEST_GROUP(crash_watch_test) {
  asio::io_context context{1};
  std::string address = unique_loopback_address();
  tcp::acceptor listener{context};
  directory::server server;
  directory::server_directory directory;
  std::vector<crash> crashes;
  bool has_open_connection = false;
  std::size_t connections_adopted = 0;
  crash_watch watch{
      context,
      {[this](directory::server const&, time_point) { return has_open_connection; },
       [this](directory::server const&, http::beast::tcp_stream) { ++connections_adopted; },
       &directory},
      [this](std::vector<crash> found) {
        crashes.insert(crashes.end(), found.begin(), found.end());
      }};
  fingerprint const request = fingerprint::of({"", "host", "POST", "/", "body"});

  void setup() override {
    server.id = "one";
    server.address = free_endpoint(address);
    tcp::endpoint const local(asio::ip::make_address(server.address.address), server.address.port);
    listener.open(local.protocol());
    listener.set_option(asio::socket_base::reuse_address(true));
    listener.bind(local);
    listener.listen();
  }

  /// Simulates a restart of the server under the same identifier.
  void replace_server() {
    directory::server next = server;
    next.born = server.born + 1;
    directory.put(next);
    watch.note_directory_change();
  }

  void run_for(milliseconds duration) {
    context.restart();
    context.run_for(duration);
  }

  bool run_until(std::function<bool()> const& condition) {
    time_point const limit = boot_clock::now() + k_wait_timeout;
    while (!condition() && boot_clock::now() < limit) {
      context.restart();
      context.run_one_for(milliseconds(20));
    }
    return condition();
  }
};

TEST(crash_watch_test, end_of_server_after_abandoned_run_is_reported) {
  time_point const sent_at = boot_clock::now();
  watch.note_abandoned_run(server, request, sent_at);
  CHECK(run_until([&] { return connections_adopted == 1; }));
  listener.close();
  CHECK(run_until([&] { return !crashes.empty(); }));
  LONGS_EQUAL(1, crashes.size());
  CHECK(crashes.front().request == request);
  CHECK(crashes.front().sent_at == sent_at);
}

TEST(crash_watch_test, all_abandoned_runs_are_reported_once) {
  listener.close();
  for (int run = 0; run < 3; ++run) watch.note_abandoned_run(server, request, boot_clock::now());
  CHECK(run_until([&] { return !crashes.empty(); }));
  run_for(k_monitoring_time);
  LONGS_EQUAL(3, crashes.size());
}

TEST(crash_watch_test, probing_of_running_server_stops_without_report) {
  watch.note_abandoned_run(server, request, boot_clock::now());
  run_for(k_monitoring_time);
  std::uint64_t const looks = watch.connections_opened();
  listener.close();
  run_for(k_monitoring_time);
  CHECK(crashes.empty());
  LONGS_EQUAL(looks, watch.connections_opened());
}

TEST(crash_watch_test, open_connection_replaces_probe) {
  has_open_connection = true;
  watch.note_abandoned_run(server, request, boot_clock::now());
  run_for(k_monitoring_time);
  CHECK(crashes.empty());
  LONGS_EQUAL(0, watch.connections_opened());
}

TEST(crash_watch_test, later_abandoned_run_restarts_probing) {
  watch.note_abandoned_run(server, request, boot_clock::now());
  run_for(k_monitoring_time);
  listener.close();
  watch.note_abandoned_run(server, request, boot_clock::now());
  CHECK(run_until([&] { return !crashes.empty(); }));
}

TEST(crash_watch_test, restart_before_probe_is_reported_once_directory_lists_it) {
  watch.note_broken(server, request, boot_clock::now());
  CHECK(run_until([&] { return connections_adopted == 1; }));
  CHECK(crashes.empty());
  replace_server();
  LONGS_EQUAL(1, crashes.size());
  replace_server();
  LONGS_EQUAL(1, crashes.size());
}

TEST(crash_watch_test, restart_already_listed_is_reported_after_probe) {
  replace_server();
  watch.note_broken(server, request, boot_clock::now());
  CHECK(run_until([&] { return !crashes.empty(); }));
}

TEST(crash_watch_test, open_connection_rules_out_a_crash) {
  has_open_connection = true;
  watch.note_broken(server, request, boot_clock::now());
  CHECK(run_until([&] { return connections_adopted == 1; }));
  replace_server();
  CHECK(crashes.empty());
}

TEST(crash_watch_test, much_later_restart_is_not_reported) {
  watch.note_broken(server, request, boot_clock::now());
  CHECK(run_until([&] { return connections_adopted == 1; }));
  watch.clean(boot_clock::now() + undecided_runs::k_retention);
  replace_server();
  CHECK(crashes.empty());
}

TEST(crash_watch_test, planned_stop_is_not_reported) {
  watch.note_broken(server, request, boot_clock::now());
  CHECK(run_until([&] { return connections_adopted == 1; }));
  directory::server leaving = server;
  leaving.state = directory::server_state::draining;
  directory.put(leaving);
  watch.note_directory_change();
  replace_server();
  CHECK(crashes.empty());
}
