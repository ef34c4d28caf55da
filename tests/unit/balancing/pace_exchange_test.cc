/// @file What poll replies tell about slow servers: which figures are sent and accepted, and how
/// many bytes they take.

#include "balancing/pace_exchange.h"

#include <CppUTest/TestHarness.h>

#include <limits>
#include <random>
#include <set>
#include <string>

#include "rpc/codec.h"

using namespace frostline;
using namespace frostline::balancing;

TEST_GROUP(pace_exchange_test){
    static slow_server server(std::string id, double pace, milliseconds age = milliseconds(100)){
        return slow_server{std::move(id), pace, age};
}

static std::vector<slow_server> servers(std::size_t count) {
  std::vector<slow_server> list;
  for (std::size_t index = 0; index < count; ++index) {
    // As long as an identifier with a start time, for example "app-17/1764778800123".
    std::string const id = "app-" + std::to_string(10 + index) + "/1764778800123";
    list.push_back(server(id, 2.0 + static_cast<double>(index) / 10));
  }
  return list;
}

static rpc::SlowServersT message(std::string id, std::uint16_t pace, std::uint16_t age) {
  rpc::SlowServersT sent;
  sent.servers.push_back(std::make_unique<rpc::SlowServerT>());
  sent.servers.back()->id = std::move(id);
  sent.servers.back()->pace_percent = pace;
  sent.servers.back()->age_ms = age;
  return sent;
}

static bool is_accepted(std::string id, std::uint16_t pace, std::uint16_t age) {
  auto const sent = message(std::move(id), pace, age);
  return !decode_slow_servers(&sent, milliseconds(0)).empty();
}

/// Bytes by which a reply grows.
static std::size_t growth(std::vector<slow_server> list) {
  rpc::PollReplyT reply;
  std::size_t const before = rpc::encode(reply).size();
  reply.slow_servers = encode_slow_servers(std::move(list));
  return rpc::encode(reply).size() - before;
}
}
;

TEST(pace_exchange_test, entry_arrives_with_the_time_under_way_added_to_its_age) {
  rpc::PollReplyT reply;
  reply.slow_servers = encode_slow_servers({server("app-1/17", 2.34, milliseconds(250))});
  auto const received = rpc::decode<rpc::PollReplyT>(rpc::encode(reply));
  CHECK(received.has_value());
  auto const list = decode_slow_servers(received->slow_servers.get(), milliseconds(30));
  LONGS_EQUAL(1, list.size());
  STRCMP_EQUAL("app-1/17", list.front().id.c_str());
  DOUBLES_EQUAL(2.34, list.front().pace, 0.001);
  LONGS_EQUAL(280, list.front().age.count());
}

// Guards against figures that would put typical servers on probation at other nodes.
TEST(pace_exchange_test, invalid_figures_of_this_node_are_not_sent) {
  double const infinity = std::numeric_limits<double>::infinity();
  CHECK(encode_slow_servers({server("a", std::numeric_limits<double>::quiet_NaN())}) == nullptr);
  CHECK(encode_slow_servers({server("a", infinity)}) == nullptr);
  CHECK(encode_slow_servers({server("a", -infinity)}) == nullptr);
  CHECK(encode_slow_servers({server("a", -3)}) == nullptr);
  CHECK(encode_slow_servers({server("a", 1.49)}) == nullptr);
  CHECK(encode_slow_servers({server("a", 3, milliseconds(-1))}) == nullptr);
  CHECK(encode_slow_servers({server("a", 3, milliseconds(4001))}) == nullptr);
  CHECK(encode_slow_servers({server("a", 3, milliseconds::max())}) == nullptr);
  CHECK(encode_slow_servers({server("", 3)}) == nullptr);
  CHECK(encode_slow_servers({server(std::string(129, 'a'), 3)}) == nullptr);
  CHECK(encode_slow_servers({}) == nullptr);
}

// Guards against losing the slowest server of all because its figure is out of bounds.
TEST(pace_exchange_test, huge_pace_of_this_node_is_sent_as_the_upper_bound) {
  auto const sent = encode_slow_servers({server("a", 1e300), server("b", 50)});
  LONGS_EQUAL(2, sent->servers.size());
  STRCMP_EQUAL("a", sent->servers.front()->id.c_str());
  LONGS_EQUAL(10'000, sent->servers.front()->pace_percent);
}

TEST(pace_exchange_test, received_figures_out_of_bounds_are_ignored) {
  CHECK(is_accepted("a", 100, 0));
  CHECK(is_accepted("a", 10'000, 4000));
  CHECK_FALSE(is_accepted("a", 99, 0));
  CHECK_FALSE(is_accepted("a", 0, 0));
  CHECK_FALSE(is_accepted("a", 10'001, 0));
  CHECK_FALSE(is_accepted("a", 65'535, 0));
  CHECK_FALSE(is_accepted("a", 200, 4001));
  CHECK_FALSE(is_accepted("a", 200, 65'535));
  CHECK_FALSE(is_accepted("", 200, 0));
  CHECK_FALSE(is_accepted(std::string(129, 'a'), 200, 0));
}

TEST(pace_exchange_test, invalid_entry_does_not_affect_the_others) {
  auto sent = message("a", 20'000, 0);
  sent.servers.push_back(nullptr);
  sent.servers.push_back(std::move(message("b", 300, 0).servers.front()));
  auto const list = decode_slow_servers(&sent, milliseconds(0));
  LONGS_EQUAL(1, list.size());
  STRCMP_EQUAL("b", list.front().id.c_str());
}

// Guards against a list that never ends while two nodes poll each other.
TEST(pace_exchange_test, ages_grow_from_node_to_node_and_entries_end) {
  std::vector<slow_server> known{server("a", 3, milliseconds(0))};
  int polls = 0;
  while (!known.empty()) {
    ++polls;
    CHECK(polls < 10);
    milliseconds const before = known.front().age;
    auto const sent = encode_slow_servers(known);
    known = decode_slow_servers(sent.get(), milliseconds(700));
    if (!known.empty())
      LONGS_EQUAL((before + milliseconds(700)).count(), known.front().age.count());
  }
  LONGS_EQUAL(6, polls);
}

TEST(pace_exchange_test, negative_time_under_way_does_not_make_an_entry_younger) {
  auto const sent = message("a", 200, 50);
  LONGS_EQUAL(50, decode_slow_servers(&sent, milliseconds(-20)).front().age.count());
}

TEST(pace_exchange_test, slowest_32_servers_are_sent_the_slowest_first) {
  auto const sent = encode_slow_servers(servers(40));
  LONGS_EQUAL(32, sent->servers.size());
  LONGS_EQUAL(590, sent->servers.front()->pace_percent);
  LONGS_EQUAL(280, sent->servers.back()->pace_percent);
}

// A node that ignores the limit must not be able to fill the receiver's memory.
TEST(pace_exchange_test, slowest_32_servers_are_accepted) {
  rpc::SlowServersT sent;
  for (std::uint16_t index = 0; index < 1000; ++index) {
    auto entry = std::move(message("app-" + std::to_string(index), 200, 0).servers.front());
    entry->pace_percent = static_cast<std::uint16_t>(entry->pace_percent + index);
    sent.servers.push_back(std::move(entry));
  }
  auto const list = decode_slow_servers(&sent, milliseconds(0));
  LONGS_EQUAL(32, list.size());
  STRCMP_EQUAL("app-999", list.front().id.c_str());
  STRCMP_EQUAL("app-968", list.back().id.c_str());
}

TEST(pace_exchange_test, newest_measurement_of_a_server_is_used) {
  auto const sent = encode_slow_servers(
      {server("a", 9, milliseconds(900)), server("a", 2, milliseconds(20)), server("b", 3)});
  LONGS_EQUAL(2, sent->servers.size());
  STRCMP_EQUAL("b", sent->servers.front()->id.c_str());
  LONGS_EQUAL(200, sent->servers.back()->pace_percent);
}

// Guards against an old measurement of a server that has recovered meanwhile.
TEST(pace_exchange_test, server_whose_newest_measurement_is_typical_is_not_sent) {
  CHECK(encode_slow_servers(
            {server("a", 9, milliseconds(900)), server("a", 1, milliseconds(20))}) == nullptr);
}

TEST(pace_exchange_test, reply_of_an_earlier_version_holds_no_servers) {
  CHECK(decode_slow_servers(nullptr, milliseconds(0)).empty());
}

// Any node may send any figures.
TEST(pace_exchange_test, random_entries_are_accepted_only_within_the_bounds) {
  std::mt19937_64 random(7);
  for (int round = 0; round < 2000; ++round) {
    rpc::SlowServersT sent;
    for (std::size_t count = random() % 80; count > 0; --count) {
      std::string id(random() % 140, static_cast<char>(random() % 256));
      auto const pace = static_cast<std::uint16_t>(random() % 12'000);
      auto const age = static_cast<std::uint16_t>(random() % 6000);
      sent.servers.push_back(std::move(message(std::move(id), pace, age).servers.front()));
    }
    auto const list = decode_slow_servers(&sent, milliseconds(static_cast<int>(random() % 2000)));
    CHECK(list.size() <= 32);
    std::set<std::string> ids;
    for (slow_server const& entry : list) {
      CHECK(ids.insert(entry.id).second);
      CHECK(!entry.id.empty() && entry.id.size() <= 128);
      CHECK(entry.pace >= 1 && entry.pace <= 100);
      CHECK(entry.age >= milliseconds(0) && entry.age <= milliseconds(4000));
    }
  }
}

// The figures are used in docs/design/slow-server-exchange.md.
TEST(pace_exchange_test, bytes_by_which_a_reply_grows) {
  LONGS_EQUAL(0, growth({}));
  LONGS_EQUAL(84, growth(servers(1)));
  LONGS_EQUAL(1444, growth(servers(32)));
}
