/// @file Answers to polls: their content, and when they wait for changes.

#include "relay/poll_service.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <set>

#include "base/encoding.h"
#include "relay/subset_codec.h"

using namespace frostline;
using namespace frostline::relay;

TEST_GROUP(poll_service_test) {
  asio::io_context context{1};
  topic_views views{nullptr};
  std::set<topic> non_authoritative;
  poll_service service{context, views,
                       [this](topic topic_id) { return !non_authoritative.contains(topic_id); }};
  std::optional<rpc::PollReplyT> reply;

  void setup() override {
    views.on_change([this] { service.notify(); });
    for (topic const topic_id : k_topics) {
      kv::range_answer all;
      all.store_revision = 5;
      views.take_snapshot(topic_id, all);
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
    for (topic const topic_id : k_topics) {
      call.positions.push_back(std::make_unique<rpc::TopicPositionT>());
      call.positions.back()->topic = topic_id;
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

  rpc::TopicChangesT const& changes_of(topic topic_id) {
    return *reply->topics.at(index_of(topic_id));
  }
};

TEST(poll_service_test, answers_as_soon_as_a_change_is_known) {
  ask(call_of(5, 2000));
  CHECK_FALSE(reply.has_value());
  change_server(7);
  run_until_reply();
  LONGS_EQUAL(1, changes_of(topic::SERVERS).changes.size());
  LONGS_EQUAL(7, changes_of(topic::SERVERS).store_revision);
  CHECK(changes_of(topic::SERVERS).sure);
  CHECK_FALSE(changes_of(topic::SERVERS).whole);
  LONGS_EQUAL(0, changes_of(topic::CONFIGURATION).changes.size());
}

TEST(poll_service_test, answers_without_changes_after_the_wait) {
  ask(call_of(5, 1));
  run_until_reply();
  LONGS_EQUAL(k_topics.size(), reply->topics.size());
  LONGS_EQUAL(0, changes_of(topic::SERVERS).changes.size());
  CHECK(changes_of(topic::SERVERS).sure);
}

TEST(poll_service_test, node_without_records_gets_a_snapshot_immediately) {
  change_server(7);
  ask(call_of(0, 2000));
  CHECK(reply.has_value());
  CHECK(changes_of(topic::SERVERS).whole);
  LONGS_EQUAL(1, changes_of(topic::SERVERS).changes.size());
}

TEST(poll_service_test, non_authoritative_node_answers_immediately_with_its_records) {
  non_authoritative.insert(topic::OWNERS);
  change_server(7);
  ask(call_of(5, 2000));
  CHECK(reply.has_value());
  CHECK_FALSE(changes_of(topic::OWNERS).sure);
  CHECK(changes_of(topic::CONFIGURATION).sure);
  LONGS_EQUAL(1, changes_of(topic::SERVERS).changes.size());
}

TEST(poll_service_test, losing_authority_ends_the_wait) {
  ask(call_of(5, 2000));
  CHECK_FALSE(reply.has_value());
  non_authoritative.insert(topic::SERVERS);
  service.notify();
  run_until_reply();
  CHECK_FALSE(changes_of(topic::SERVERS).sure);
}

TEST(poll_service_test, non_authoritative_node_reports_peers_that_are_ahead) {
  std::vector<std::string> newer;
  service.on_peer_ahead([&](endpoint peer) { newer.push_back(peer.to_string()); });
  auto const ask_ahead = [this] {
    rpc::PollCallT call = call_of(9, 0);
    call.address = "127.0.0.1:7001";
    ask(std::move(call));
  };
  ask_ahead();
  LONGS_EQUAL(0, newer.size());
  non_authoritative.insert(topic::RELAYS);
  ask_ahead();
  LONGS_EQUAL(1, newer.size());
  STRCMP_EQUAL("127.0.0.1:7001", newer.front().c_str());
  ask(call_of(9, 0));
  LONGS_EQUAL(1, newer.size());
}

TEST(poll_service_test, unknown_topic_is_omitted) {
  rpc::PollCallT call = call_of(5, 1);
  call.positions.front()->topic = static_cast<topic>(17);
  ask(std::move(call));
  run_until_reply();
  LONGS_EQUAL(k_topics.size() - 1, reply->topics.size());
}

TEST(poll_service_test, reports_the_age_of_a_topic) {
  views.confirm(topic::OWNERS, boot_clock::now() - seconds(3));
  ask(call_of(5, 0));
  run_until_reply();
  CHECK(changes_of(topic::OWNERS).confirmed_ms_ago >= 3000);
  CHECK(changes_of(topic::OWNERS).confirmed_ms_ago < 60'000);
  CHECK(changes_of(topic::SERVERS).confirmed_ms_ago > 1'000'000);
}

TEST_GROUP(poll_service_selection_test) {
  asio::io_context context{1};
  /// The value of a server's record is its group.
  topic_views views{[](kv::key_value const& record) {
    return record_traits{record.value, hash_bytes(record.key), hash_bytes(record.value)};
  }};
  poll_service service{context, views, [](topic) { return true; }};

  void load(std::size_t servers) {
    kv::range_answer all;
    all.store_revision = 5;
    for (std::size_t server = 0; server < servers; ++server) {
      kv::key_value record;
      record.key = "servers/" + std::to_string(server);
      record.value = server % 4 == 0 ? "calls" : "engines";
      record.mod_revision = 1;
      all.entries.push_back(std::move(record));
    }
    views.take_snapshot(topic::SERVERS, all);
  }

  rpc::PollReplyT ask(std::string const& node, kv::revision after, std::string const& group,
                      std::uint32_t divisor, bool exact = false) {
    auto position = std::make_unique<rpc::TopicPositionT>();
    position->topic = topic::SERVERS;
    position->after = after;
    position->selected = true;
    position->exact = exact;
    position->parts = encode_subsets({{group, divisor}});
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

TEST(poll_service_selection_test,
     answer_to_a_starting_node_does_not_grow_with_the_number_of_servers) {
  load(2800);
  auto const smaller = ask("node-1", 0, "calls", k_unknown_subset);
  load(40'000);
  auto const larger = ask("node-1", 0, "calls", k_unknown_subset);
  std::size_t const before = smaller.topics.front()->changes.size();
  std::size_t const after = larger.topics.front()->changes.size();
  CHECK(before >= 90 && before <= 330);
  CHECK(after >= 90 && after <= 330);
  CHECK(larger.topics.front()->parts.front()->one_in >
        smaller.topics.front()->parts.front()->one_in);
}

TEST(poll_service_selection_test, exact_request_for_a_whole_group_is_not_adjusted) {
  load(2800);
  auto const reply = ask("relay", 0, "calls", k_whole_group, true);
  LONGS_EQUAL(700, reply.topics.front()->changes.size());
  LONGS_EQUAL(k_whole_group, reply.topics.front()->parts.front()->one_in);
}

TEST(poll_service_selection_test, suitable_subset_gets_only_changes) {
  load(2800);
  auto const first = ask("node-1", 0, "calls", k_unknown_subset);
  std::uint32_t const divisor = first.topics.front()->parts.front()->one_in;
  auto const second = ask("node-1", 5, "calls", divisor);
  CHECK_FALSE(second.topics.front()->whole);
  LONGS_EQUAL(0, second.topics.front()->changes.size());
  CHECK(second.topics.front()->sure);
}

TEST(poll_service_selection_test, node_with_one_group_is_not_authoritative_for_another) {
  load(2800);
  record_selection const calls("relay", {{"calls", k_whole_group}});
  views.narrow(topic::SERVERS, calls);
  auto const reply = ask("node-1", 0, "engines", k_unknown_subset);
  CHECK_FALSE(reply.topics.front()->sure);
  LONGS_EQUAL(0, reply.topics.front()->store_revision);
  LONGS_EQUAL(0, reply.topics.front()->changes.size());
}

TEST(poll_service_selection_test, request_for_all_groups_is_not_served_by_a_node_with_one) {
  load(400);
  views.narrow(topic::SERVERS, record_selection("relay", {{"calls", k_whole_group}}));
  auto position = std::make_unique<rpc::TopicPositionT>();
  position->topic = topic::SERVERS;
  auto const reply = ask("node-1", std::move(position));
  CHECK_FALSE(reply.topics.front()->sure);
}

// Guards against a relay that knows no other relay, and so misses what its own watch missed.
TEST(poll_service_test, change_that_a_polling_node_read_from_the_store_is_reported) {
  std::map<topic, kv::revision> known;
  service.on_known_change([&](topic topic_id, kv::revision change) { known[topic_id] = change; });
  rpc::PollCallT call = call_of(5, 0);
  call.positions.at(index_of(topic::OWNERS))->newest_change = 6;
  call.positions.at(index_of(topic::CONFIGURATION))->newest_change = 5;
  ask(std::move(call));
  LONGS_EQUAL(1, known.size());
  LONGS_EQUAL(6, known.at(topic::OWNERS));
}
