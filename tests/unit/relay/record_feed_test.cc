/// @file Several nodes keep their views current through relays while relays, the store or
/// connections to the store fail.

#include "relay/record_feed.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <memory>
#include <set>

#include "base/encoding.h"
#include "cluster.h"
#include "cut_off_store.h"
#include "http/server.h"
#include "memory_record_store.h"

using namespace frostline;
using namespace frostline::relay;
using frostline::testing::cut_off_store;
using frostline::testing::memory_record_store;

namespace {

constexpr char k_configuration[] = "op/config";
/// Time in which a change must take effect on all nodes.
constexpr milliseconds k_bound{2000};
/// Limit on all waits of these tests.
constexpr seconds k_timeout{20};

/// A node: its connection to the store, its server for other nodes, and its feed.
struct test_node {
  test_node(asio::io_context& context, memory_record_store& shared, std::string name,
            std::string const& zone, endpoint address, std::vector<endpoint> seeds,
            std::optional<std::set<std::string>> const& wanted_groups)
      : store(shared),
        transport(context),
        server(context, http::server_limits(),
               [this](http::request message) { return handle(std::move(message)); }) {
    feed_options options;
    options.node = std::move(name);
    options.zone = zone;
    options.self = address;
    options.seeds = std::move(seeds);
    options.prefixes = {k_configuration, "owners/", zone_relays::records_prefix(), "servers/",
                        "quarantine/"};
    if (wanted_groups) {
      options.servers_traits = [](kv::key_value const& record) {
        return record_traits{record.value, hash_bytes(record.key), hash_bytes(record.value)};
      };
      options.wanted_servers = [&wanted_groups] { return wanted_groups; };
    }
    feed = std::make_unique<record_feed>(context, store, transport, std::move(options),
                                         [this] { return owner; });
    kv::prefix_watcher_callbacks listener;
    listener.snapshot = [this](kv::range_answer const& all) {
      for (auto const& entry : all.entries) configuration = entry.value;
    };
    listener.event = [this](kv::watch_event const& event) { configuration = event.entry.value; };
    feed->listen(topic::CONFIGURATION, std::move(listener));
    kv::prefix_watcher_callbacks on_servers;
    on_servers.event = [this](kv::watch_event const& event) { server_value = event.entry.value; };
    feed->listen(topic::SERVERS, std::move(on_servers));
    feed->add_methods(methods);
    failure = server.listen(address);
    feed->start();
  }

  /// Stops answering other nodes, like a suspended process.
  void stop_answering() { silent = true; }

  awaitable<http::response> handle(http::request message) {
    auto answer = co_await methods.handle(std::move(message));
    while (silent) co_await wait_for(milliseconds(20));
    co_return answer;
  }

  bool silent = false;
  cut_off_store store;
  http::client transport;
  rpc::dispatcher methods;
  http::server server;
  std::optional<endpoint> owner;
  std::string configuration;
  std::string server_value;
  std::string failure;
  std::unique_ptr<record_feed> feed;
};

}  // namespace

TEST_GROUP(record_feed_test) {
  asio::io_context context{1};
  memory_record_store shared{context};
  std::string address = testing::unique_loopback_address();
  std::deque<endpoint> addresses;
  std::vector<std::unique_ptr<test_node>> nodes;
  /// Groups of servers that all nodes want; a server's value is its group. Unset: all servers.
  std::optional<std::set<std::string>> wanted_groups;

  void setup() override {
    shared.put_now(k_configuration, "1");
    shared.put_now("servers/1", "ready");
    for (int node = 0; node < 8; ++node) addresses.push_back(testing::free_endpoint(address));
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
  test_node& add(std::string const& zone) {
    std::size_t const index = nodes.size();
    nodes.push_back(std::make_unique<test_node>(
        context, shared, "node-" + std::to_string(index), zone, addresses.at(index),
        std::vector<endpoint>{addresses.front()}, wanted_groups));
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

  bool all_have(std::string const& configuration) {
    return run_until([&] {
      return std::all_of(nodes.begin(), nodes.end(),
                         [&](auto const& node) { return node->configuration == configuration; });
    });
  }

  std::size_t count(feed_role role) {
    return static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(), [&](auto const& node) { return node->feed->role() == role; }));
  }

  test_node* relay_of(std::string const& zone) {
    for (kv::key_value const& record : shared.list_now(zone_relays::key_of(zone))) {
      for (std::size_t index = 0; index < nodes.size(); ++index) {
        bool const named = record.value.find(addresses.at(index).to_string()) != std::string::npos;
        if (named) return nodes.at(index).get();
      }
    }
    return nullptr;
  }

  /// Starts two zones of three nodes and waits until only the two relays follow the store.
  void start_two_zones() {
    for (int node = 0; node < 3; ++node) {
      add("a");
      add("b");
    }
    CHECK(run_until([&] {
      return relay_of("a") != nullptr && relay_of("b") != nullptr && count(feed_role::relay) == 2 &&
             count(feed_role::standby) == 4;
    }));
    CHECK(all_have("1"));
    // A node that does not know its zone's relay yet might still try to claim the record.
    CHECK(run_until([&] {
      return std::all_of(nodes.begin(), nodes.end(), [](auto const& node) {
        return node->feed->relay_addresses(2).size() == 2;
      });
    }));
  }

  std::uint64_t calls_of(test_node const& node) {
    return node.store.lists() + node.store.watches() + node.store.transactions();
  }
};

TEST(record_feed_test, one_node_of_each_zone_follows_the_store_and_the_others_poll_it) {
  start_two_zones();
  std::vector<std::uint64_t> before;
  for (auto const& node : nodes) before.push_back(calls_of(*node));
  shared.put_now(k_configuration, "2");
  CHECK(all_have("2"));
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    bool const relays = nodes[index]->feed->role() == feed_role::relay;
    if (!relays) LONGS_EQUAL(before[index], calls_of(*nodes[index]));
  }
  CHECK(nodes.front()->feed->age(boot_clock::now()) < k_bound);
}

TEST(record_feed_test, node_that_starts_later_does_not_call_the_store) {
  start_two_zones();
  test_node& late = add("a");
  CHECK(all_have("1"));
  CHECK(run_until([&] { return late.feed->is_trusted(boot_clock::now()); }));
  LONGS_EQUAL(0, calls_of(late));
}

TEST(record_feed_test, change_arrives_in_time_when_a_relay_is_cut_off_from_the_store) {
  start_two_zones();
  test_node& cut = *relay_of("a");
  cut.store.set_cut(true);
  time_point const begin = boot_clock::now();
  shared.put_now(k_configuration, "2");
  // The cut-off relay receives the change by polling zone b's relay.
  CHECK(all_have("2"));
  CHECK(boot_clock::now() - begin < k_bound);
  CHECK(run_until([&] { return relay_of("a") != &cut && relay_of("a") != nullptr; }));
  CHECK(run_until([&] { return cut.feed->role() == feed_role::standby; }));
}

TEST(record_feed_test, change_arrives_when_all_relays_are_cut_off_from_the_store) {
  start_two_zones();
  for (std::string const zone : {"a", "b"}) relay_of(zone)->store.set_cut(true);
  shared.put_now(k_configuration, "2");
  time_point const begin = boot_clock::now();
  CHECK(all_have("2"));
  // Takes longer than k_bound: the relays must first lose authority, and the other nodes then
  // follow the store only after it has answered several probes.
  CHECK(boot_clock::now() - begin < milliseconds(4000));
}

TEST(record_feed_test, change_reaches_a_cut_off_relay_that_does_not_know_a_new_relay) {
  start_two_zones();
  // Zone c gets its relay while zone a's relay, the seed, is cut off from the store.
  relay_of("a")->store.set_cut(true);
  add("c");
  CHECK(run_until([&] { return relay_of("c") != nullptr; }));
  shared.put_now(k_configuration, "2");
  CHECK(all_have("2"));
}

TEST(record_feed_test, failed_relay_is_replaced_and_changes_arrive_in_time) {
  start_two_zones();
  test_node& gone = *relay_of("b");
  gone.stop_answering();
  gone.store.set_cut(true);
  time_point const begin = boot_clock::now();
  shared.put_now(k_configuration, "2");
  CHECK(all_have("2"));
  CHECK(boot_clock::now() - begin < k_bound);
  CHECK(run_until([&] { return relay_of("b") != &gone; }));
}

TEST(record_feed_test, stopping_relay_is_replaced_and_still_receives_changes) {
  start_two_zones();
  test_node& stopped = *relay_of("a");
  spawn(context, stopped.feed->leave());
  CHECK(run_until([&] { return relay_of("a") != nullptr && relay_of("a") != &stopped; }));
  shared.put_now(k_configuration, "2");
  // The stopping node still finishes requests, so it must receive changes, too.
  CHECK(all_have("2"));
}

TEST(record_feed_test, stopping_relay_hands_over_its_record_without_a_claim) {
  start_two_zones();
  std::uint64_t claims = 0;
  for (auto const& node : nodes) claims += node->feed->counters().claims;
  for (int stop = 0; stop < 2; ++stop) {
    test_node& stopped = *relay_of("a");
    // A relay that no node has polled yet would delete its record instead.
    CHECK(run_until([&] { return stopped.feed->has_successor(boot_clock::now()); }));
    spawn(context, stopped.feed->leave());
    CHECK(run_until([&] { return relay_of("a") != nullptr && relay_of("a") != &stopped; }));
    shared.put_now(k_configuration, std::to_string(2 + stop));
    CHECK(all_have(std::to_string(2 + stop)));
  }
  for (auto const& node : nodes) claims -= node->feed->counters().claims;
  LONGS_EQUAL(0, claims);
}

TEST(record_feed_test, during_an_outage_only_relays_call_the_store) {
  start_two_zones();
  std::vector<std::uint64_t> before;
  for (auto const& node : nodes) before.push_back(calls_of(*node));
  shared.set_down(true);
  time_point const end = boot_clock::now() + seconds(5);
  while (boot_clock::now() < end) context.run_for(milliseconds(20));
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    if (nodes[index]->feed->role() == feed_role::relay) continue;
    LONGS_EQUAL(before[index], calls_of(*nodes[index]));
    LONGS_EQUAL(0, nodes[index]->feed->counters().store_fallbacks);
  }
  auto const relays = shared.list_now(zone_relays::records_prefix());
  shared.set_down(false);
  shared.put_now(k_configuration, "2");
  CHECK(all_have("2"));
  for (kv::key_value const& record : relays)
    LONGS_EQUAL(record.mod_revision, shared.revision_of(record.key));
  for (auto const& node : nodes) CHECK(node->feed->counters().claims <= 1);
}

TEST(record_feed_test, relay_reports_the_recovery_of_the_store) {
  start_two_zones();
  int notifications = 0;
  relay_of("a")->feed->on_store_recovered([&notifications] { ++notifications; });
  relay_of("a")->store.set_cut(true);
  test_node& cut = *relay_of("a");
  CHECK(run_until([&] { return relay_of("a") != &cut; }));
  LONGS_EQUAL(0, notifications);
  test_node& relay = *relay_of("a");
  relay.feed->on_store_recovered([&notifications] { ++notifications; });
  shared.set_down(true);
  time_point const end = boot_clock::now() + store_source::k_max_silence + seconds(1);
  while (boot_clock::now() < end) context.run_for(milliseconds(10));
  shared.set_down(false);
  CHECK(run_until([&] { return notifications > 0; }));
}

TEST(record_feed_test, node_that_starts_in_an_outage_gets_the_last_known_records) {
  start_two_zones();
  shared.set_down(true);
  test_node& late = add("b");
  CHECK(run_until([&] { return late.configuration == "1"; }));
  CHECK(run_until([&] { return late.feed->is_trusted(boot_clock::now()); }));
}

TEST(record_feed_test, node_whose_seeds_are_dead_learns_of_relays_from_the_store) {
  add("a");
  add("a");
  CHECK(run_until([&] { return relay_of("a") == nodes[0].get() && all_have("1"); }));
  nodes[0]->stop_answering();
  CHECK(run_until([&] { return relay_of("a") == nodes[1].get(); }));
  test_node& late = add("a");
  CHECK(run_until([&] { return late.configuration == "1"; }));
  CHECK(run_until([&] { return late.feed->role() == feed_role::standby; }));
  CHECK(late.feed->is_trusted(boot_clock::now()));
}

TEST(record_feed_test, node_without_a_relay_follows_the_store_until_one_answers) {
  start_two_zones();
  for (std::string const zone : {"a", "b"}) relay_of(zone)->stop_answering();
  shared.put_now(k_configuration, "2");
  CHECK(all_have("2"));
  CHECK(run_until([&] {
    return relay_of("a") != nullptr && relay_of("b") != nullptr && count(feed_role::direct) == 0;
  }));
  shared.put_now(k_configuration, "3");
  CHECK(all_have("3"));
}

TEST(record_feed_test, relays_receive_servers_from_a_pools_owner) {
  start_two_zones();
  std::size_t index = 0;
  while (nodes.at(index)->feed->role() != feed_role::standby) ++index;
  test_node& owner = *nodes.at(index);
  owner.feed->set_owner(true);
  for (auto const& node : nodes) {
    if (node.get() != &owner) node->owner = addresses.at(index);
  }
  shared.put_now("servers/1", "draining");
  CHECK(run_until([&] {
    return std::all_of(nodes.begin(), nodes.end(),
                       [](auto const& node) { return node->server_value == "draining"; });
  }));
  // A relay that followed the servers at the store until it polled the owner may still have a watch
  // pending there, which returns with the next change.
  CHECK(run_until([&] {
    auto const before = relay_of("a")->store.watches();
    shared.put_now("servers/1", "draining again");
    bool const received =
        run_until([&] { return relay_of("a")->server_value == "draining again"; });
    shared.put_now("servers/1", "draining");
    bool const restored = run_until([&] { return relay_of("a")->server_value == "draining"; });
    return received && restored && relay_of("a")->store.watches() == before;
  }));
  owner.stop_answering();
  shared.put_now("servers/1", "gone soon");
  CHECK(run_until([&] {
    return std::all_of(nodes.begin(), nodes.end(),
                       [&](auto const& node) { return node->server_value == "gone soon"; });
  }));
}

TEST(record_feed_test, watch_that_misses_a_change_known_to_peers_is_restarted) {
  test_node& first = add("a");
  test_node& second = add("b");
  CHECK(run_until([&] { return relay_of("a") == &first && relay_of("b") == &second; }));
  CHECK(run_until([&] { return count(feed_role::relay) == 2; }));
  CHECK(all_have("1"));
  // The first node receives the change from the other relay; its own watch gets no answer.
  first.store.set_watches_silent(true);
  std::uint64_t const before = first.store.lists();
  time_point const begin = boot_clock::now();
  shared.put_now("owners/1", "news");
  CHECK(run_until([&] { return first.store.lists() > before; }));
  CHECK(boot_clock::now() - begin < k_bound);
  first.store.set_watches_silent(false);
}

TEST(record_feed_test, unanswered_watch_restarts_all_watches) {
  test_node& only = add("a");
  CHECK(run_until([&] { return count(feed_role::relay) == 1; }));
  CHECK(all_have("1"));
  only.store.set_watches_silent(true);
  std::uint64_t const before = only.store.lists();
  shared.put_now(k_configuration, "2");
  // Lists all five topics again, since the watches of the other four may be dead as well.
  CHECK(run_until([&] { return only.store.lists() >= before + 5; }));
  only.store.set_watches_silent(false);
  CHECK(all_have("2"));
}

TEST(record_feed_test, node_that_becomes_owner_during_a_poll_for_a_subset_holds_all_servers) {
  // The reply to the poll in progress contains only servers of the wanted group.
  for (int id = 2; id < 300; ++id) shared.put_now("servers/" + std::to_string(id), "calls");
  shared.put_now("servers/engine", "engines");
  wanted_groups = {"calls"};
  start_two_zones();
  std::size_t index = 0;
  while (nodes.at(index)->feed->role() != feed_role::standby) ++index;
  test_node& owner = *nodes.at(index);
  CHECK(run_until([&] { return owner.feed->view(topic::SERVERS).group_size("calls") > 90; }));
  CHECK(owner.feed->view(topic::SERVERS).group_size("calls") < 298);
  LONGS_EQUAL(0, owner.feed->view(topic::SERVERS).group_size("engines"));
  owner.feed->set_owner(true);
  CHECK(run_until([&] { return owner.feed->view(topic::SERVERS).group_size("engines") == 1; }));
  // More than doubles the group, so that all divisors change.
  for (int id = 1000; id < 1600; ++id) shared.put_now("servers/" + std::to_string(id), "calls");
  shared.put_now("servers/engine-2", "engines");
  CHECK(run_until([&] {
    return owner.feed->view(topic::SERVERS).group_size("engines") == 2 &&
           owner.feed->view(topic::SERVERS).group_size("calls") == 898;
  }));
  owner.feed->set_owner(false);
  CHECK(run_until([&] { return owner.feed->view(topic::SERVERS).group_size("engines") == 0; }));
}

TEST(record_feed_test, nodes_without_a_relay_leave_a_long_list_of_servers_to_the_next_relay) {
  // Guards against a thundering herd: all nodes start at once without a peer that knows the
  // servers.
  for (int id = 2; id < 300; ++id) shared.put_now("servers/" + std::to_string(id), "calls");
  shared.set_page(100);
  wanted_groups = {"calls"};
  test_node& seed = add("a");
  seed.stop_answering();
  seed.store.set_cut(true);
  for (int node = 0; node < 5; ++node) add("a");
  CHECK(run_until([&] { return count(feed_role::relay) == 1; }));
  CHECK(run_until([&] {
    return std::all_of(nodes.begin() + 1, nodes.end(), [](auto const& node) {
      return node->feed->view(topic::SERVERS).group_size("calls") > 60;
    });
  }));
  std::size_t readers = 0;
  for (std::size_t node = 1; node < nodes.size(); ++node) {
    readers += nodes[node]->store.server_lists() > 0 ? 1 : 0;
  }
  LONGS_EQUAL(1, readers);
}

TEST(record_feed_test, nodes_that_start_at_once_read_only_the_relay_records_from_the_store) {
  // Guards against a thundering herd: all machines restart at once, the seeds last, and the relay
  // records still exist.
  start_two_zones();
  test_node& silent_seed = *nodes.front();
  CHECK(run_until([&] {
    return relay_of("a") != &silent_seed || silent_seed.feed->has_successor(boot_clock::now());
  }));
  spawn(context, silent_seed.feed->leave());
  CHECK(run_until([&] { return relay_of("a") != nullptr && relay_of("a") != &silent_seed; }));
  silent_seed.stop_answering();
  std::vector<test_node*> late;
  for (int node = 0; node < 2; ++node) late.push_back(&add("a"));
  CHECK(run_until([&] {
    return std::all_of(late.begin(), late.end(),
                       [](test_node* node) { return node->configuration == "1"; });
  }));
  for (test_node* node : late) {
    LONGS_EQUAL(1, node->store.lists());
    LONGS_EQUAL(0, node->store.watches());
    LONGS_EQUAL(0, node->feed->counters().store_fallbacks);
  }
}

TEST(record_feed_test, seeds_that_start_together_do_not_wait_for_each_other) {
  std::vector<endpoint> const seeds{addresses[0], addresses[1]};
  for (std::size_t node = 0; node < seeds.size(); ++node) {
    nodes.push_back(std::make_unique<test_node>(context, shared, "node-" + std::to_string(node),
                                                node == 0 ? "a" : "b", addresses[node], seeds,
                                                wanted_groups));
  }
  time_point const begin = boot_clock::now();
  CHECK(all_have("1"));
  // A poll that waits for a change takes longer.
  CHECK(boot_clock::now() - begin < milliseconds(500));
}

TEST(record_feed_test, node_that_becomes_a_relay_reads_whole_groups) {
  // Without an owner to poll, the relay must read the other records from the store.
  for (int id = 2; id < 300; ++id) shared.put_now("servers/" + std::to_string(id), "calls");
  wanted_groups = {"calls"};
  test_node& seed = add("a");
  seed.stop_answering();
  seed.store.set_cut(true);
  test_node& relay = add("a");
  CHECK(run_until([&] { return relay.feed->role() == feed_role::direct; }));
  CHECK(run_until([&] { return relay.feed->view(topic::SERVERS).is_loaded(); }));
  CHECK(relay.feed->view(topic::SERVERS).group_size("calls") < 298);
  CHECK(run_until([&] { return relay.feed->role() == feed_role::relay; }));
  CHECK(run_until([&] { return relay.feed->view(topic::SERVERS).group_size("calls") == 298; }));
}

TEST(record_feed_test, servers_of_a_newly_wanted_group_are_read) {
  shared.put_now("servers/2", "new");
  wanted_groups = {"ready"};
  start_two_zones();
  CHECK(run_until([&] {
    return std::all_of(nodes.begin(), nodes.end(), [](auto const& node) {
      return node->feed->view(topic::SERVERS).group_size("ready") == 1;
    });
  }));
  wanted_groups = {"ready", "new"};
  for (auto const& node : nodes) node->feed->note_wanted_servers();
  CHECK(run_until([&] {
    return std::all_of(nodes.begin(), nodes.end(), [](auto const& node) {
      return node->feed->view(topic::SERVERS).group_size("new") == 1;
    });
  }));
}
