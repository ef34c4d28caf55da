/// @file What a node tells others of its views, and when it lets them wait.

#include "relay/poll_service.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <set>

#include "base/encoding.h"
#include "relay/part_codec.h"

using namespace frostline;
using namespace frostline::relay;

TEST_GROUP(poll_service_test) {
  asio::io_context context{1};
  topic_views views{nullptr};
  std::set<topic> unsure;
  poll_service service{context, views, [this](topic one) { return !unsure.contains(one); }};
  std::optional<rpc::PollReplyT> reply;

  void setup() override {
    views.on_change([this] { service.notify(); });
    for (topic const one : k_topics) {
      kv::range_answer all;
      all.store_revision = 5;
      views.take_snapshot(one, all);
    }
  }

  void change_server(kv::revision revision) {
    kv::watch_event event;
    event.entry.key = "servers/1";
    event.entry.value = "value";
    event.entry.mod_revision = revision;
    views.take_event(topic::SERVERS, event);
    views.advance(topic::SERVERS, revision);
  }

  rpc::PollCallT call_of(kv::revision after, std::uint64_t wait_ms) {
    rpc::PollCallT call;
    call.wait_ms = wait_ms;
    for (topic const one : k_topics) {
      call.positions.push_back(std::make_unique<rpc::TopicPositionT>());
      call.positions.back()->topic = one;
      call.positions.back()->after = after;
    }
    return call;
  }

  void ask(rpc::PollCallT call) {
    auto const asking = [](poll_service& from, rpc::PollCallT what,
                           std::optional<rpc::PollReplyT>& into) -> awaitable<void> {
      into = co_await from.answer(std::move(what));
    };
    spawn(context, asking(service, std::move(call), reply));
    context.restart();
    context.poll();
  }

  void run_until_reply() {
    while (!reply && context.run_one() > 0) {
    }
  }

  rpc::TopicChangesT const& told(topic one) { return *reply->topics.at(index_of(one)); }
};

TEST(poll_service_test, tells_a_change_as_soon_as_it_knows_it) {
  ask(call_of(5, 2000));
  CHECK_FALSE(reply.has_value());
  change_server(7);
  run_until_reply();
  LONGS_EQUAL(1, told(topic::SERVERS).changes.size());
  LONGS_EQUAL(7, told(topic::SERVERS).store_revision);
  CHECK(told(topic::SERVERS).sure);
  CHECK_FALSE(told(topic::SERVERS).whole);
  LONGS_EQUAL(0, told(topic::CONFIGURATION).changes.size());
}

TEST(poll_service_test, answers_without_changes_when_the_wait_is_over) {
  ask(call_of(5, 1));
  run_until_reply();
  LONGS_EQUAL(k_topics.size(), reply->topics.size());
  LONGS_EQUAL(0, told(topic::SERVERS).changes.size());
  CHECK(told(topic::SERVERS).sure);
}

TEST(poll_service_test, who_knows_nothing_gets_everything_at_once) {
  change_server(7);
  ask(call_of(0, 2000));
  CHECK(reply.has_value());
  CHECK(told(topic::SERVERS).whole);
  LONGS_EQUAL(1, told(topic::SERVERS).changes.size());
}

TEST(poll_service_test, node_that_is_not_sure_says_so_at_once_and_tells_what_it_knows) {
  unsure.insert(topic::OWNERS);
  change_server(7);
  ask(call_of(5, 2000));
  CHECK(reply.has_value());
  CHECK_FALSE(told(topic::OWNERS).sure);
  CHECK(told(topic::CONFIGURATION).sure);
  LONGS_EQUAL(1, told(topic::SERVERS).changes.size());
}

TEST(poll_service_test, node_that_becomes_unsure_lets_nobody_wait_on) {
  ask(call_of(5, 2000));
  CHECK_FALSE(reply.has_value());
  unsure.insert(topic::SERVERS);
  service.notify();
  run_until_reply();
  CHECK_FALSE(told(topic::SERVERS).sure);
}

TEST(poll_service_test, node_that_is_not_sure_hears_who_knows_more) {
  std::vector<std::string> newer;
  service.on_newer([&](endpoint peer) { newer.push_back(peer.to_string()); });
  auto const ask_ahead = [this] {
    rpc::PollCallT call = call_of(9, 0);
    call.address = "127.0.0.1:7001";
    ask(std::move(call));
  };
  ask_ahead();
  LONGS_EQUAL(0, newer.size());
  unsure.insert(topic::RELAYS);
  ask_ahead();
  LONGS_EQUAL(1, newer.size());
  STRCMP_EQUAL("127.0.0.1:7001", newer.front().c_str());
  ask(call_of(9, 0));
  LONGS_EQUAL(1, newer.size());
}

TEST(poll_service_test, topic_that_it_does_not_know_is_left_out) {
  rpc::PollCallT call = call_of(5, 1);
  call.positions.front()->topic = static_cast<topic>(17);
  ask(std::move(call));
  run_until_reply();
  LONGS_EQUAL(k_topics.size() - 1, reply->topics.size());
}

TEST(poll_service_test, tells_how_long_ago_a_topic_was_known_to_be_complete) {
  views.confirm(topic::OWNERS, boot_clock::now() - seconds(3));
  ask(call_of(5, 0));
  run_until_reply();
  CHECK(told(topic::OWNERS).confirmed_ms_ago >= 3000);
  CHECK(told(topic::OWNERS).confirmed_ms_ago < 60'000);
  CHECK(told(topic::SERVERS).confirmed_ms_ago > 1'000'000);
}

TEST_GROUP(poll_service_selection_test) {
  asio::io_context context{1};
  /// A server's value is its service.
  topic_views views{[](kv::key_value const& record) {
    return record_traits{record.value, hash_bytes(record.key), hash_bytes(record.value)};
  }};
  poll_service service{context, views, [](topic) { return true; }};

  void load(std::size_t servers) {
    kv::range_answer all;
    all.store_revision = 5;
    for (std::size_t one = 0; one < servers; ++one) {
      kv::key_value record;
      record.key = "servers/" + std::to_string(one);
      record.value = one % 4 == 0 ? "calls" : "engines";
      record.mod_revision = 1;
      all.entries.push_back(std::move(record));
    }
    views.take_snapshot(topic::SERVERS, all);
  }

  rpc::PollReplyT ask(std::string const& node, kv::revision after, std::string const& group,
                      std::uint32_t one_in, bool exact = false) {
    auto position = std::make_unique<rpc::TopicPositionT>();
    position->topic = topic::SERVERS;
    position->after = after;
    position->selected = true;
    position->exact = exact;
    position->parts = write_parts({{group, one_in}});
    return ask(node, std::move(position));
  }

  rpc::PollReplyT ask(std::string const& node, std::unique_ptr<rpc::TopicPositionT> position) {
    rpc::PollCallT call;
    call.node = node;
    call.positions.push_back(std::move(position));
    std::optional<rpc::PollReplyT> reply;
    auto const asking = [](poll_service& from, rpc::PollCallT what,
                           std::optional<rpc::PollReplyT>& into) -> awaitable<void> {
      into = co_await from.answer(std::move(what));
    };
    spawn(context, asking(service, std::move(call), reply));
    context.restart();
    context.poll();
    CHECK(reply.has_value());
    return std::move(*reply);
  }
};

TEST(poll_service_selection_test, answer_to_a_node_that_starts_does_not_grow_with_the_servers) {
  load(2800);
  auto const smaller = ask("node-1", 0, "calls", k_unknown_part);
  load(40'000);
  auto const larger = ask("node-1", 0, "calls", k_unknown_part);
  std::size_t const before = smaller.topics.front()->changes.size();
  std::size_t const after = larger.topics.front()->changes.size();
  CHECK(before >= 90 && before <= 330);
  CHECK(after >= 90 && after <= 330);
  CHECK(larger.topics.front()->parts.front()->one_in >
        smaller.topics.front()->parts.front()->one_in);
}

TEST(poll_service_selection_test, relay_gets_the_whole_group_that_it_asks_for) {
  load(2800);
  auto const reply = ask("relay", 0, "calls", k_whole_group, true);
  LONGS_EQUAL(700, reply.topics.front()->changes.size());
  LONGS_EQUAL(k_whole_group, reply.topics.front()->parts.front()->one_in);
}

TEST(poll_service_selection_test, part_that_still_suits_is_asked_for_changes_only) {
  load(2800);
  auto const first = ask("node-1", 0, "calls", k_unknown_part);
  std::uint32_t const part = first.topics.front()->parts.front()->one_in;
  auto const second = ask("node-1", 5, "calls", part);
  CHECK_FALSE(second.topics.front()->whole);
  LONGS_EQUAL(0, second.topics.front()->changes.size());
  CHECK(second.topics.front()->sure);
}

TEST(poll_service_selection_test, node_that_holds_a_part_is_not_sure_of_another_one) {
  load(2800);
  record_selection const calls("relay", {{"calls", k_whole_group}});
  views.narrow(topic::SERVERS, calls);
  auto const reply = ask("node-1", 0, "engines", k_unknown_part);
  CHECK_FALSE(reply.topics.front()->sure);
  LONGS_EQUAL(0, reply.topics.front()->store_revision);
  LONGS_EQUAL(0, reply.topics.front()->changes.size());
}

TEST(poll_service_selection_test, node_that_asks_for_all_is_not_served_by_one_that_holds_a_part) {
  load(400);
  views.narrow(topic::SERVERS, record_selection("relay", {{"calls", k_whole_group}}));
  auto position = std::make_unique<rpc::TopicPositionT>();
  position->topic = topic::SERVERS;
  auto const reply = ask("node-1", std::move(position));
  CHECK_FALSE(reply.topics.front()->sure);
}
