/// @file A gateway whose addresses are not free when it starts waits for them.

#include <CppUTest/TestHarness.h>
#include <signal.h>

#include "platform_cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr int k_exit_seconds = 20;

/// Holds an address as another process would.
class taken_address {
 public:
  explicit taken_address(endpoint const& where)
      : acceptor_(context_, {asio::ip::make_address(where.address), where.port}) {}

 private:
  asio::io_context context_;
  tcp::acceptor acceptor_;
};

}  // namespace

TEST_GROUP(taken_address_test) {
  platform_options options;
  std::unique_ptr<platform_cluster> system;

  void setup() override {
    options.nodes = 1;
    options.engines = 1;
    options.apps = 1;
    system = std::make_unique<platform_cluster>(options);
    system->node(0).kill();
  }
  void teardown() override { system.reset(); }

  void wait_until_bind_fails() {
    platform_cluster::wait_until("the gateway reports the address or has ended", [&] {
      return !system->node(0).is_running() ||
             system->log(0).find("Address already in use") != std::string::npos;
    });
  }
};

// Guards against gateways that end, again and again, while another process holds their address.
TEST(taken_address_test, gateway_serves_once_its_address_is_free) {
  for (endpoint const& address :
       {system->client_address(0), system->readiness_address(0), system->peers_address(0)}) {
    {
      taken_address const taken(address);
      system->start_node(0);
      wait_until_bind_fails();
      CHECK_TRUE(system->node(0).is_running());
    }
    platform_cluster::wait_until("the gateway is ready or has ended", [&] {
      return !system->node(0).is_running() || system->is_ready(0);
    });
    CHECK_TRUE(system->node(0).is_running());
    auto const answer = system->call(0, http::verb::post, "/calls/x", "taken-1", "b");
    CHECK_TRUE(answer && answer.value().result() == http::status::ok);
    system->node(0).kill();
  }
}

// Guards against a gateway that waits for its address and cannot be stopped.
TEST(taken_address_test, gateway_that_waits_for_its_address_can_be_stopped) {
  taken_address const taken(system->client_address(0));
  system->start_node(0);
  wait_until_bind_fails();
  system->node(0).send_signal(SIGHUP);
  system->node(0).send_signal(SIGTERM);
  LONGS_EQUAL(0, system->node(0).wait(k_exit_seconds));
}
