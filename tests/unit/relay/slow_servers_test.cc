/// @file Slow servers that an owner has measured reach the other nodes with their polls.

#include <CppUTest/TestHarness.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "cluster.h"
#include "cut_off_store.h"
#include "http/server.h"
#include "memory_record_store.h"
#include "relay/record_feed.h"

using namespace frostline;
using namespace frostline::relay;
using balancing::slow_server;
using frostline::testing::cut_off_store;
using frostline::testing::memory_record_store;

namespace {

constexpr char k_slow_id[] = "app-1/17";
/// Limit on all waits of these tests.
constexpr seconds k_timeout{20};
/// Age at which entries expire.
constexpr milliseconds k_max_age{4000};
/// Differences of this size are due to ages in whole milliseconds.
constexpr milliseconds k_rounding{2};

/// Stands in for the measurements of a node's selector.
class fake_paces {
 public:
  void measure(std::string const& id, double pace) { known_[id] = {pace, boot_clock::now()}; }

  void receive(std::vector<slow_server> const& servers) {
    for (slow_server const& server : servers) {
      time_point const at = boot_clock::now() - server.age;
      auto const known = known_.find(server.id);
      if (known == known_.end() || known->second.at < at) known_[server.id] = {server.pace, at};
    }
  }

  std::vector<slow_server> list(time_point now) const {
    std::vector<slow_server> servers;
    for (auto const& [id, entry] : known_) {
      auto const age = std::chrono::duration_cast<milliseconds>(now - entry.at);
      if (age <= k_max_age) servers.push_back({id, entry.pace, age});
    }
    return servers;
  }

  bool knows(std::string const& id) const {
    auto const servers = list(boot_clock::now());
    return std::any_of(servers.begin(), servers.end(),
                       [&](slow_server const& server) { return server.id == id; });
  }

  /// When the newest measurement of a known server was made, as far as this node knows.
  time_point measured_at(std::string const& id) const { return known_.at(id).at; }
  double pace(std::string const& id) const { return known_.at(id).pace; }

 private:
  struct measurement {
    double pace = 1;
    time_point at{};
  };

  std::map<std::string, measurement> known_;
};

struct test_node {
  test_node(asio::io_context& context, memory_record_store& shared, std::string name,
            endpoint address, endpoint seed, bool exchanges)
      : store(shared),
        transport(context),
        server(context, http::server_limits(),
               [this](http::request message) { return handle(std::move(message)); }) {
    feed_options options;
    options.node = std::move(name);
    options.zone = "a";
    options.self = address;
    options.seeds = {std::move(seed)};
    options.prefixes = {"op/config", "owners/", zone_relays::records_prefix(), "servers/",
                        "quarantine/"};
    feed = std::make_unique<record_feed>(context, store, transport, std::move(options),
                                         [this] { return owner; });
    if (exchanges) {
      feed->on_slow_servers([this](auto const& servers) { paces.receive(servers); });
      feed->set_slow_servers_source([this](time_point now) { return paces.list(now); });
    }
    feed->add_methods(methods);
    failure = server.listen(address);
    feed->start();
  }

  awaitable<http::response> handle(http::request message) {
    auto answer = co_await methods.handle(std::move(message));
    while (silent) co_await wait_for(milliseconds(20));
    co_return answer;
  }

  /// Answers no other node, like a suspended process.
  bool silent = false;
  cut_off_store store;
  http::client transport;
  rpc::dispatcher methods;
  http::server server;
  /// Address of the pool's owner, as this node knows it.
  std::optional<endpoint> owner;
  fake_paces paces;
  std::string failure;
  std::unique_ptr<record_feed> feed;
};

}  // namespace

TEST_GROUP(slow_servers_test) {
  asio::io_context context{1};
  memory_record_store shared{context};
  std::string address = testing::unique_loopback_address();
  std::deque<endpoint> addresses;
  std::vector<std::unique_ptr<test_node>> nodes;

  void setup() override {
    shared.put_now("op/config", "1");
    shared.put_now("servers/1", "ready");
    for (int node = 0; node < 4; ++node) addresses.push_back(testing::free_endpoint(address));
  }

  void teardown() override {
    shared.set_down(true);
    for (auto const& node : nodes) {
      node->silent = false;
      spawn(context, node->feed->leave());
    }
    context.run_for(milliseconds(50));
  }

  /// Starts a node. The first one is the seed.
  test_node& add(bool exchanges = true) {
    std::size_t const index = nodes.size();
    nodes.push_back(std::make_unique<test_node>(context, shared, "node-" + std::to_string(index),
                                                addresses.at(index), addresses.front(), exchanges));
    STRCMP_EQUAL("", nodes.back()->failure.c_str());
    return *nodes.back();
  }

  bool run_until(std::function<bool()> const& condition) {
    time_point const deadline = boot_clock::now() + k_timeout;
    while (!condition()) {
      if (boot_clock::now() > deadline) return false;
      context.run_for(milliseconds(2));
    }
    return true;
  }

  /// Starts the zone's relay, which polls the owner, and the owner and others, which poll the
  /// relay.
  void start_chain(std::size_t count, bool relay_exchanges = true) {
    test_node& relay = add(relay_exchanges);
    CHECK(run_until([&] { return relay.feed->role() == feed_role::relay; }));
    for (std::size_t node = 1; node < count; ++node) add();
    for (auto const& node : nodes) {
      if (node != nodes[1]) node->owner = addresses[1];
    }
    nodes[1]->feed->set_owner(true);
    CHECK(run_until([&] {
      return std::all_of(nodes.begin(), nodes.end(), [](auto const& node) {
        return node->feed->is_trusted(boot_clock::now()) &&
               node->feed->view(topic::SERVERS).is_loaded();
      });
    }));
  }

  test_node& relay() { return *nodes[0]; }
  test_node& owner() { return *nodes[1]; }
  test_node& standby() { return *nodes[2]; }

  bool all_know(std::string const& id) {
    return std::all_of(nodes.begin(), nodes.end(),
                       [&](auto const& node) { return node->paces.knows(id); });
  }

  bool none_knows(std::string const& id) {
    return std::none_of(nodes.begin(), nodes.end(),
                        [&](auto const& node) { return node->paces.knows(id); });
  }
};

TEST(slow_servers_test, measurement_of_the_owner_reaches_a_standby_node_through_the_relay) {
  start_chain(3);
  owner().paces.measure(k_slow_id, 4);
  CHECK(run_until([&] { return all_know(k_slow_id); }));
  DOUBLES_EQUAL(4, standby().paces.pace(k_slow_id), 0.01);
  // An entry may only get older on its way, or nodes that poll each other would keep it forever.
  CHECK(standby().paces.measured_at(k_slow_id) <=
        owner().paces.measured_at(k_slow_id) + k_rounding);
  CHECK(relay().feed->counters().slow_servers_received > 0);
  CHECK(standby().feed->counters().slow_servers_received > 0);
  CHECK(relay().feed->answers().slow_servers_sent() > 0);
}

// The owner polls the relay and the relay polls the owner, so an entry could circulate.
TEST(slow_servers_test, entry_ends_on_all_nodes_without_new_measurements) {
  start_chain(3);
  owner().paces.measure(k_slow_id, 4);
  CHECK(run_until([&] { return all_know(k_slow_id); }));
  time_point const end = boot_clock::now() + k_max_age;
  CHECK(run_until([&] { return boot_clock::now() > end; }));
  CHECK(none_knows(k_slow_id));
  auto const received = standby().feed->counters().slow_servers_received;
  time_point const later = boot_clock::now() + milliseconds(1500);
  CHECK(run_until([&] { return boot_clock::now() > later; }));
  CHECK(none_knows(k_slow_id));
  LONGS_EQUAL(received, standby().feed->counters().slow_servers_received);
}

TEST(slow_servers_test, measurement_arrives_after_the_relay_between_has_failed) {
  start_chain(4);
  CHECK(run_until([&] { return nodes[3]->feed->relay_addresses(1).size() == 1; }));
  owner().paces.measure(k_slow_id, 4);
  CHECK(run_until([&] { return all_know(k_slow_id); }));
  relay().silent = true;
  relay().store.set_cut(true);
  time_point const end = boot_clock::now() + k_max_age;
  CHECK(run_until([&] {
    return boot_clock::now() > end && !standby().paces.knows(k_slow_id) &&
           !nodes[3]->paces.knows(k_slow_id);
  }));
  CHECK(run_until([&] {
    owner().paces.measure("app-2/18", 3);
    return standby().paces.knows("app-2/18") && nodes[3]->paces.knows("app-2/18");
  }));
  CHECK_FALSE(relay().paces.knows(k_slow_id));
}

// A relay of an earlier version neither sends nor reads the field.
TEST(slow_servers_test, nodes_behind_a_relay_without_the_exchange_get_records_and_no_figures) {
  start_chain(3, false);
  owner().paces.measure(k_slow_id, 4);
  shared.put_now("op/config", "2");
  CHECK(run_until([&] { return standby().feed->view(topic::CONFIGURATION).at() > 2; }));
  time_point const end = boot_clock::now() + milliseconds(1500);
  CHECK(run_until([&] { return boot_clock::now() > end; }));
  CHECK_FALSE(standby().paces.knows(k_slow_id));
  LONGS_EQUAL(0, relay().feed->answers().slow_servers_sent());
}

TEST(slow_servers_test, node_without_a_listener_accepts_replies_with_figures) {
  start_chain(2);
  test_node& other = add(false);
  CHECK(run_until([&] {
    owner().paces.measure(k_slow_id, 4);
    return other.feed->counters().slow_servers_received > 0;
  }));
  CHECK(run_until([&] { return other.feed->view(topic::CONFIGURATION).is_loaded(); }));
}
