/// @file Several nodes keep their views of one store's records in step through relays, while
/// relays, the store and ways to it fail.

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
/// What the strictest deployment allows a change to be in force everywhere.
constexpr milliseconds k_bound{2000};
/// Nothing here takes that long unless it never comes.
constexpr seconds k_patience{20};

/// One node: its way to the store, its server for other nodes, and its feed.
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
    kv::follower_callbacks listener;
    listener.snapshot = [this](kv::range_answer const& all) {
      for (auto const& entry : all.entries) configuration = entry.value;
    };
    listener.event = [this](kv::watch_event const& event) { configuration = event.entry.value; };
    feed->listen(topic::CONFIGURATION, std::move(listener));
    kv::follower_callbacks on_servers;
    on_servers.event = [this](kv::watch_event const& event) { server_value = event.entry.value; };
    feed->listen(topic::SERVERS, std::move(on_servers));
    feed->add_methods(methods);
    failure = server.listen(address);
    feed->start();
  }

  /// From now on it answers no other node, as a process that stands still.
  void fall_silent() { silent = true; }

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
  /// Servers whose value is one of these are wanted by all nodes; nothing: all servers.
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

  /// The first node of all is the seed.
  test_node& add(std::string const& zone) {
    std::size_t const index = nodes.size();
    nodes.push_back(std::make_unique<test_node>(
        context, shared, "node-" + std::to_string(index), zone, addresses.at(index),
        std::vector<endpoint>{addresses.front()}, wanted_groups));
    STRCMP_EQUAL("", nodes.back()->failure.c_str());
    return *nodes.back();
  }

  bool run_until(std::function<bool()> const& condition) {
    time_point const deadline = boot_clock::now() + k_patience;
    while (!condition()) {
      if (boot_clock::now() > deadline) return false;
      context.run_for(milliseconds(2));
    }
    return true;
  }

  bool all_have(std::string const& configuration) {
    return run_until([&] {
      return std::all_of(nodes.begin(), nodes.end(),
                         [&](auto const& one) { return one->configuration == configuration; });
    });
  }

  std::size_t count(feed_role role) {
    return static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(), [&](auto const& one) { return one->feed->role() == role; }));
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

  /// Two zones of three nodes, each with its relay, and nobody else at the store.
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
    // Who has not heard of its zone's relay yet may be about to claim the record, in vain.
    CHECK(run_until([&] {
      return std::all_of(nodes.begin(), nodes.end(),
                         [](auto const& one) { return one->feed->relay_addresses(2).size() == 2; });
    }));
  }

  std::uint64_t calls_of(test_node const& one) {
    return one.store.lists() + one.store.watches() + one.store.transactions();
  }
};

TEST(record_feed_test, one_node_of_each_zone_follows_the_store_and_the_others_hear_of_changes) {
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

TEST(record_feed_test, node_that_starts_later_asks_the_store_for_nothing) {
  start_two_zones();
  test_node& late = add("a");
  CHECK(all_have("1"));
  CHECK(run_until([&] { return late.feed->is_trusted(boot_clock::now()); }));
  LONGS_EQUAL(0, calls_of(late));
}

TEST(record_feed_test, change_is_known_in_time_when_a_relay_is_cut_off_from_the_store) {
  start_two_zones();
  test_node& cut = *relay_of("a");
  cut.store.set_cut(true);
  time_point const begin = boot_clock::now();
  shared.put_now(k_configuration, "2");
  // The relay itself hears of it from the other zone's.
  CHECK(all_have("2"));
  CHECK(boot_clock::now() - begin < k_bound);
  CHECK(run_until([&] { return relay_of("a") != &cut && relay_of("a") != nullptr; }));
  CHECK(run_until([&] { return cut.feed->role() == feed_role::standby; }));
}

TEST(record_feed_test, change_is_known_when_all_relays_are_cut_off_from_the_store) {
  start_two_zones();
  for (std::string const zone : {"a", "b"}) relay_of(zone)->store.set_cut(true);
  shared.put_now(k_configuration, "2");
  time_point const begin = boot_clock::now();
  CHECK(all_have("2"));
  // Relays are not sure after 0.9 s. Others then wait half a second, look twice whether the store
  // serves them, up to 0.9 s apart, and pause up to 0.3 s before each look: 2.9 s, and the calls.
  CHECK(boot_clock::now() - begin < milliseconds(4000));
}

TEST(record_feed_test, relays_that_do_not_know_each_other_are_no_hindrance) {
  start_two_zones();
  // Zone c's relay is claimed while zone a's relay, the seed, hears nothing from the store.
  relay_of("a")->store.set_cut(true);
  add("c");
  CHECK(run_until([&] { return relay_of("c") != nullptr; }));
  shared.put_now(k_configuration, "2");
  CHECK(all_have("2"));
}

TEST(record_feed_test, relay_that_is_gone_is_replaced_and_changes_are_known_in_time) {
  start_two_zones();
  test_node& gone = *relay_of("b");
  gone.fall_silent();
  gone.store.set_cut(true);
  time_point const begin = boot_clock::now();
  shared.put_now(k_configuration, "2");
  CHECK(all_have("2"));
  CHECK(boot_clock::now() - begin < k_bound);
  CHECK(run_until([&] { return relay_of("b") != &gone; }));
}

TEST(record_feed_test, stopped_relay_frees_its_record_and_another_takes_it) {
  start_two_zones();
  test_node& stopped = *relay_of("a");
  spawn(context, stopped.feed->leave());
  CHECK(run_until([&] { return relay_of("a") != nullptr && relay_of("a") != &stopped; }));
  shared.put_now(k_configuration, "2");
  // It serves those who are in, so it has to hear of changes, too.
  CHECK(all_have("2"));
}

TEST(record_feed_test, stopped_relay_names_who_follows_it_before_anybody_claims) {
  start_two_zones();
  std::uint64_t claims = 0;
  for (auto const& node : nodes) claims += node->feed->counters().claims;
  for (int stop = 0; stop < 2; ++stop) {
    test_node& stopped = *relay_of("a");
    // One that was named a moment ago has not been asked by anybody: it frees its record.
    CHECK(run_until([&] { return stopped.feed->has_successor(boot_clock::now()); }));
    spawn(context, stopped.feed->leave());
    CHECK(run_until([&] { return relay_of("a") != nullptr && relay_of("a") != &stopped; }));
    shared.put_now(k_configuration, std::to_string(2 + stop));
    CHECK(all_have(std::to_string(2 + stop)));
  }
  for (auto const& node : nodes) claims -= node->feed->counters().claims;
  LONGS_EQUAL(0, claims);
}

TEST(record_feed_test, outage_of_the_store_sends_no_node_but_the_relays_to_it) {
  start_two_zones();
  std::vector<std::uint64_t> before;
  for (auto const& node : nodes) before.push_back(calls_of(*node));
  shared.set_down(true);
  time_point const end = boot_clock::now() + seconds(5);
  while (boot_clock::now() < end) context.run_for(milliseconds(20));
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    if (nodes[index]->feed->role() == feed_role::relay) continue;
    LONGS_EQUAL(before[index], calls_of(*nodes[index]));
    LONGS_EQUAL(0, nodes[index]->feed->counters().turns_to_store);
  }
  auto const relays = shared.list_now(zone_relays::records_prefix());
  shared.set_down(false);
  shared.put_now(k_configuration, "2");
  CHECK(all_have("2"));
  for (kv::key_value const& one : relays)
    LONGS_EQUAL(one.mod_revision, shared.revision_of(one.key));
  for (auto const& node : nodes) CHECK(node->feed->counters().claims <= 1);
}

TEST(record_feed_test, relay_tells_that_the_store_is_back) {
  start_two_zones();
  int told = 0;
  relay_of("a")->feed->on_store_back([&told] { ++told; });
  relay_of("a")->store.set_cut(true);
  test_node& cut = *relay_of("a");
  CHECK(run_until([&] { return relay_of("a") != &cut; }));
  LONGS_EQUAL(0, told);
  test_node& relay = *relay_of("a");
  relay.feed->on_store_back([&told] { ++told; });
  shared.set_down(true);
  time_point const end = boot_clock::now() + store_source::k_longest_silence + seconds(1);
  while (boot_clock::now() < end) context.run_for(milliseconds(10));
  shared.set_down(false);
  CHECK(run_until([&] { return told > 0; }));
}

TEST(record_feed_test, node_that_starts_in_an_outage_hears_what_was_last_known) {
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
  nodes[0]->fall_silent();
  CHECK(run_until([&] { return relay_of("a") == nodes[1].get(); }));
  test_node& late = add("a");
  CHECK(run_until([&] { return late.configuration == "1"; }));
  CHECK(run_until([&] { return late.feed->role() == feed_role::standby; }));
  CHECK(late.feed->is_trusted(boot_clock::now()));
}

TEST(record_feed_test, node_that_no_relay_answers_follows_the_store_until_one_does) {
  start_two_zones();
  for (std::string const zone : {"a", "b"}) relay_of(zone)->fall_silent();
  shared.put_now(k_configuration, "2");
  CHECK(all_have("2"));
  CHECK(run_until([&] {
    return relay_of("a") != nullptr && relay_of("b") != nullptr && count(feed_role::direct) == 0;
  }));
  shared.put_now(k_configuration, "3");
  CHECK(all_have("3"));
}

TEST(record_feed_test, relays_hear_of_servers_from_a_pools_owner) {
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
                       [](auto const& one) { return one->server_value == "draining"; });
  }));
  // Until they know an owner, relays watch the servers at the store; such a watch ends with the
  // first change.
  CHECK(run_until([&] {
    auto const before = relay_of("a")->store.watches();
    shared.put_now("servers/1", "draining again");
    bool const told = run_until([&] { return relay_of("a")->server_value == "draining again"; });
    shared.put_now("servers/1", "draining");
    bool const back = run_until([&] { return relay_of("a")->server_value == "draining"; });
    return told && back && relay_of("a")->store.watches() == before;
  }));
  owner.fall_silent();
  shared.put_now("servers/1", "gone soon");
  CHECK(run_until([&] {
    return std::all_of(nodes.begin(), nodes.end(),
                       [&](auto const& one) { return one->server_value == "gone soon"; });
  }));
}

TEST(record_feed_test, watch_that_has_not_told_what_others_know_is_begun_anew) {
  test_node& first = add("a");
  test_node& second = add("b");
  CHECK(run_until([&] { return relay_of("a") == &first && relay_of("b") == &second; }));
  CHECK(run_until([&] { return count(feed_role::relay) == 2; }));
  CHECK(all_have("1"));
  // What the others hear of meanwhile comes to it from them; its own watch waits for ten seconds.
  first.store.set_watches_silent(true);
  std::uint64_t const before = first.store.lists();
  time_point const begin = boot_clock::now();
  shared.put_now("owners/1", "news");
  CHECK(run_until([&] { return first.store.lists() > before; }));
  CHECK(boot_clock::now() - begin < k_bound);
  first.store.set_watches_silent(false);
}

TEST(record_feed_test, watches_begin_anew_beside_one_that_was_not_answered) {
  test_node& only = add("a");
  CHECK(run_until([&] { return count(feed_role::relay) == 1; }));
  CHECK(all_have("1"));
  only.store.set_watches_silent(true);
  std::uint64_t const before = only.store.lists();
  shared.put_now(k_configuration, "2");
  // The configuration's, and the other four that may have gone silent with it.
  CHECK(run_until([&] { return only.store.lists() >= before + 5; }));
  only.store.set_watches_silent(false);
  CHECK(all_have("2"));
}

TEST(record_feed_test, node_that_becomes_owner_while_it_waits_for_a_part_holds_everything) {
  // The answer that is under way is of the servers that calls need.
  for (int one = 2; one < 300; ++one) shared.put_now("servers/" + std::to_string(one), "calls");
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
  // More than doubles the group, so that every part is another one.
  for (int one = 1000; one < 1600; ++one) shared.put_now("servers/" + std::to_string(one), "calls");
  shared.put_now("servers/engine-2", "engines");
  CHECK(run_until([&] {
    return owner.feed->view(topic::SERVERS).group_size("engines") == 2 &&
           owner.feed->view(topic::SERVERS).group_size("calls") == 898;
  }));
  owner.feed->set_owner(false);
  CHECK(run_until([&] { return owner.feed->view(topic::SERVERS).group_size("engines") == 0; }));
}

TEST(record_feed_test, nodes_without_a_relay_leave_a_long_list_of_servers_to_the_next_relay) {
  // Thundering herd: all nodes start at once, and nobody who knows the servers answers them.
  for (int one = 2; one < 300; ++one) shared.put_now("servers/" + std::to_string(one), "calls");
  shared.set_page(100);
  wanted_groups = {"calls"};
  test_node& seed = add("a");
  seed.fall_silent();
  seed.store.set_cut(true);
  for (int node = 0; node < 5; ++node) add("a");
  CHECK(run_until([&] { return count(feed_role::relay) == 1; }));
  CHECK(run_until([&] {
    return std::all_of(nodes.begin() + 1, nodes.end(), [](auto const& one) {
      return one->feed->view(topic::SERVERS).group_size("calls") > 60;
    });
  }));
  std::size_t readers = 0;
  for (std::size_t node = 1; node < nodes.size(); ++node) {
    readers += nodes[node]->store.server_lists() > 0 ? 1 : 0;
  }
  LONGS_EQUAL(1, readers);
}

TEST(record_feed_test,
     nodes_that_start_all_at_once_read_from_the_store_who_relays_and_nothing_else) {
  // Thundering herd: all machines are back at once, the seeds last, and the zones' records stand.
  start_two_zones();
  test_node& silent_seed = *nodes.front();
  CHECK(run_until([&] {
    return relay_of("a") != &silent_seed || silent_seed.feed->has_successor(boot_clock::now());
  }));
  spawn(context, silent_seed.feed->leave());
  CHECK(run_until([&] { return relay_of("a") != nullptr && relay_of("a") != &silent_seed; }));
  silent_seed.fall_silent();
  std::vector<test_node*> late;
  for (int node = 0; node < 2; ++node) late.push_back(&add("a"));
  CHECK(run_until([&] {
    return std::all_of(late.begin(), late.end(),
                       [](test_node* one) { return one->configuration == "1"; });
  }));
  for (test_node* one : late) {
    LONGS_EQUAL(1, one->store.lists());
    LONGS_EQUAL(0, one->store.watches());
    LONGS_EQUAL(0, one->feed->counters().turns_to_store);
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
  // A question waits for 0.7 s.
  CHECK(boot_clock::now() - begin < milliseconds(500));
}

TEST(record_feed_test, node_that_becomes_a_relay_reads_what_its_zone_asks_it_for) {
  // There is no owner that could tell it the rest.
  for (int one = 2; one < 300; ++one) shared.put_now("servers/" + std::to_string(one), "calls");
  wanted_groups = {"calls"};
  test_node& seed = add("a");
  seed.fall_silent();
  seed.store.set_cut(true);
  test_node& relay = add("a");
  CHECK(run_until([&] { return relay.feed->role() == feed_role::direct; }));
  CHECK(run_until([&] { return relay.feed->view(topic::SERVERS).is_loaded(); }));
  CHECK(relay.feed->view(topic::SERVERS).group_size("calls") < 298);
  CHECK(run_until([&] { return relay.feed->role() == feed_role::relay; }));
  CHECK(run_until([&] { return relay.feed->view(topic::SERVERS).group_size("calls") == 298; }));
}

TEST(record_feed_test, servers_of_a_service_that_is_called_from_now_on_are_read) {
  shared.put_now("servers/2", "new");
  wanted_groups = {"ready"};
  start_two_zones();
  CHECK(run_until([&] {
    return std::all_of(nodes.begin(), nodes.end(), [](auto const& one) {
      return one->feed->view(topic::SERVERS).group_size("ready") == 1;
    });
  }));
  wanted_groups = {"ready", "new"};
  for (auto const& node : nodes) node->feed->note_wanted_servers();
  CHECK(run_until([&] {
    return std::all_of(nodes.begin(), nodes.end(), [](auto const& one) {
      return one->feed->view(topic::SERVERS).group_size("new") == 1;
    });
  }));
}
