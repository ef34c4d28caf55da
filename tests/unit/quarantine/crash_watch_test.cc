/// @file Whether a server has ended after a run on it was given up.

#include "quarantine/crash_watch.h"

#include <CppUTest/TestHarness.h>

#include <functional>

#include "cluster.h"

using namespace frostline;
using namespace frostline::quarantine;
using namespace frostline::testing;

namespace {

constexpr milliseconds k_patience{2000};
/// A server may go on for half a second with what was given up; then one last look.
constexpr milliseconds k_followed{900};

}  // namespace

TEST_GROUP(crash_watch_test) {
  asio::io_context context{1};
  std::string address = unique_loopback_address();
  tcp::acceptor listener{context};
  directory::server server;
  directory::server_directory directory;
  std::vector<crash> seen;
  bool has_resting = false;
  std::size_t kept = 0;
  crash_watch watch{
      context,
      {[this](directory::server const&, time_point) { return has_resting; },
       [this](directory::server const&, http::beast::tcp_stream) { ++kept; }, &directory},
      [this](std::vector<crash> found) { seen.insert(seen.end(), found.begin(), found.end()); }};
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

  /// The server starts again under its identifier.
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
    time_point const limit = boot_clock::now() + k_patience;
    while (!condition() && boot_clock::now() < limit) {
      context.restart();
      context.run_one_for(milliseconds(20));
    }
    return condition();
  }
};

TEST(crash_watch_test, server_that_ends_after_the_run_was_given_up_is_evidence) {
  time_point const sent_at = boot_clock::now();
  watch.note_given_up(server, request, sent_at);
  CHECK(run_until([&] { return kept == 1; }));
  listener.close();
  CHECK(run_until([&] { return !seen.empty(); }));
  LONGS_EQUAL(1, seen.size());
  CHECK(seen.front().request == request);
  CHECK(seen.front().sent_at == sent_at);
}

TEST(crash_watch_test, all_runs_that_were_given_up_there_are_told_once) {
  listener.close();
  for (int run = 0; run < 3; ++run) watch.note_given_up(server, request, boot_clock::now());
  CHECK(run_until([&] { return !seen.empty(); }));
  run_for(k_followed);
  LONGS_EQUAL(3, seen.size());
}

TEST(crash_watch_test, server_that_lives_is_no_evidence_and_is_left_alone_after_a_while) {
  watch.note_given_up(server, request, boot_clock::now());
  run_for(k_followed);
  std::uint64_t const looks = watch.connections_opened();
  listener.close();
  run_for(k_followed);
  CHECK(seen.empty());
  LONGS_EQUAL(looks, watch.connections_opened());
}

TEST(crash_watch_test, connection_that_rests_saves_one) {
  has_resting = true;
  watch.note_given_up(server, request, boot_clock::now());
  run_for(k_followed);
  CHECK(seen.empty());
  LONGS_EQUAL(0, watch.connections_opened());
}

TEST(crash_watch_test, server_is_followed_anew_for_a_later_run) {
  watch.note_given_up(server, request, boot_clock::now());
  run_for(k_followed);
  listener.close();
  watch.note_given_up(server, request, boot_clock::now());
  CHECK(run_until([&] { return !seen.empty(); }));
}

TEST(crash_watch_test, server_that_was_back_before_the_look_is_evidence_once_the_directory_tells) {
  watch.note_broken(server, request, boot_clock::now());
  CHECK(run_until([&] { return kept == 1; }));
  CHECK(seen.empty());
  replace_server();
  LONGS_EQUAL(1, seen.size());
  replace_server();
  LONGS_EQUAL(1, seen.size());
}

TEST(crash_watch_test, server_that_the_directory_knew_to_be_replaced_is_evidence_at_the_look) {
  replace_server();
  watch.note_broken(server, request, boot_clock::now());
  CHECK(run_until([&] { return !seen.empty(); }));
}

TEST(crash_watch_test, server_that_a_resting_connection_shows_alive_is_none) {
  has_resting = true;
  watch.note_broken(server, request, boot_clock::now());
  CHECK(run_until([&] { return kept == 1; }));
  replace_server();
  CHECK(seen.empty());
}

TEST(crash_watch_test, server_that_is_replaced_much_later_is_none) {
  watch.note_broken(server, request, boot_clock::now());
  CHECK(run_until([&] { return kept == 1; }));
  watch.clean(boot_clock::now() + undecided_runs::k_memory);
  replace_server();
  CHECK(seen.empty());
}

TEST(crash_watch_test, server_that_left_as_planned_is_none) {
  watch.note_broken(server, request, boot_clock::now());
  CHECK(run_until([&] { return kept == 1; }));
  directory::server leaving = server;
  leaving.state = directory::server_state::draining;
  directory.put(leaving);
  watch.note_directory_change();
  replace_server();
  CHECK(seen.empty());
}
