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
  std::string address = own_loopback_address();
  tcp::acceptor listener{context};
  directory::server server;
  std::vector<crash> seen;
  bool has_resting = false;
  std::size_t kept = 0;
  crash_watch watch{
      context,
      {[this](directory::server const&, time_point) { return has_resting; },
       [this](directory::server const&, http::beast::tcp_stream) { ++kept; }},
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
