/// @file Non-repeatable requests run at most once, and a request reported as `not_run` has not run,
/// across connection resets, retries through other nodes, node crashes and store outages.

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <thread>

#include "fault_proxy.h"
#include "http/json_fields.h"
#include "test_trainer.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

struct call_outcome {
  int status = 0;
  std::string reason;
  std::string run_state;
  bool retry_after = false;
};

}  // namespace

TEST_GROUP(at_most_once_test) {
  cluster system{make_run_folder("at-most-once"), cluster_options()};

  void setup() override {
    system.put_route("bid", "/bid/", false);
    system.put_route("lookup", "/lookup/", true);
    for (std::uint32_t node = 0; node < 3; ++node) {
      cluster::wait_until("the routes are in effect",
                          [&] { return system.status(node, true).routes.size() == 2; });
    }
    cluster::wait_until("all nodes serve bids", [&] {
      bool all = true;
      for (std::uint32_t node = 0; node < 3; ++node) {
        all = all && bid(node, "warm-up-" + std::to_string(node)).status == 200;
      }
      return all;
    });
  }

  call_outcome send(std::uint32_t node, http::request message) {
    auto const answer =
        system.client().exchange(system.node(node), std::move(message), milliseconds(10'000));
    call_outcome outcome;
    if (!answer) return outcome;
    outcome.status = static_cast<int>(answer.value().result_int());
    auto const body = parse_json_object(answer.value().body());
    if (body) outcome.reason = json_text(*body, "title");
    if (body) outcome.run_state = json_text(*body, "run_state");
    outcome.retry_after = !http::header(answer.value(), "Retry-After").empty();
    return outcome;
  }

  call_outcome bid(std::uint32_t node, std::string const& key) {
    auto message = http::make_post("/bid/lot", "amount=1", "text/plain");
    message.set("Idempotency-Key", key);
    return send(node, std::move(message));
  }

  std::size_t runs(std::string const& key) {
    std::size_t count = 0;
    for (std::uint32_t app = 0; app < 2; ++app) {
      std::ifstream file(system.journal_folder() + "/" + cluster::app_name(app) + ".jsonl");
      std::string line;
      while (std::getline(file, line)) {
        auto const event = parse_json_object(line);
        if (event && json_text(*event, "event") == "request" && json_text(*event, "key") == key) {
          ++count;
        }
      }
    }
    return count;
  }
};

TEST(at_most_once_test, second_request_with_the_same_key_is_not_sent) {
  LONGS_EQUAL(200, bid(0, "k").status);
  for (std::uint32_t node = 0; node < 3; ++node) {
    auto const again = bid(node, "k");
    LONGS_EQUAL(409, again.status);
    STRCMP_EQUAL("claim_taken", again.reason.c_str());
    STRCMP_EQUAL("unknown", again.run_state.c_str());
  }
  LONGS_EQUAL(1, runs("k"));
}

TEST(at_most_once_test, requests_reset_at_each_byte_run_at_most_once) {
  fault_proxy proxy(system.app(0));
  std::string const name = cluster::app_name(0);
  system.relocate(name, proxy.listen());
  system.put_route_to("bid", "/bid/", false, {name});
  int number = 0;
  for (std::uint32_t node = 0; node < 2; ++node) {
    cluster::wait_until("calls go through the proxy", [&] {
      auto const before = proxy.connections();
      bid(node, "probe-" + std::to_string(number++));
      return proxy.connections() > before;
    });
  }
  bool const directions[] = {true, false};
  for (bool cut_request : directions) {
    for (std::int64_t bytes = 0; bytes < 260; bytes += 4) {
      proxy_faults faults;
      (cut_request ? faults.reset_after_request_bytes : faults.reset_after_answer_bytes) = bytes;
      proxy.set(faults);
      std::string const key = "cut-" + std::to_string(number++);
      auto const first = bid(0, key);
      proxy.set({});
      auto const again = bid(1, key);
      std::size_t const count = runs(key);
      CHECK(count <= 1);
      if (first.run_state == "not_run") LONGS_EQUAL(0, count);
      if (first.status == 200) LONGS_EQUAL(1, count);
      std::string const outcome = key + (cut_request ? " request cut at " : " answer cut at ") +
                                  std::to_string(bytes) + ": " + std::to_string(first.status) +
                                  " " + first.reason + " " + first.run_state;
      // A reset before the first byte can make the connection attempt itself fail. The request has
      // then not run, and the answer must say so.
      bool const refused = bytes == 0 && first.status == 503 && first.reason == "no_back_end" &&
                           first.run_state == "not_run" && count == 0;
      CHECK_TEXT(first.status == 200 || first.status == 502 || refused, outcome.c_str());
      LONGS_EQUAL_TEXT(409, again.status, outcome.c_str());
    }
  }
}

TEST(at_most_once_test, request_that_may_have_run_is_not_sent_to_another_back_end) {
  // Both servers serve the route. The proxy truncates the answers of one of them, so each request
  // sent to that server may have run.
  fault_proxy proxy(system.app(0));
  system.relocate(cluster::app_name(0), proxy.listen());
  int number = 0;
  cluster::wait_until("calls go through the proxy", [&] {
    bid(0, "probe-" + std::to_string(number++));
    return proxy.connections() > 0;
  });
  proxy_faults faults;
  // One byte of the answer proves that the request reached the server. A reset before any byte can
  // also hit the connection attempt, in which case the request has not run.
  faults.reset_after_answer_bytes = 1;
  proxy.set(faults);
  int unknown = 0;
  for (int call = 0; call < 40; ++call) {
    std::string const key = "either-" + std::to_string(call);
    auto const outcome = bid(0, key);
    if (outcome.run_state == "unknown") ++unknown;
    CHECK(runs(key) <= 1);
  }
  CHECK(unknown > 0);
}

// Guards against "not run" by the last of several back ends, after another one may have run it.
TEST(at_most_once_test, refusal_after_an_attempt_that_may_have_run_is_reported_as_unknown) {
  int ran = 0;
  for (int call = 0; call < 40; ++call) {
    system.set_faults(system.app(0), {{"truncate_answers", 1}});
    system.set_faults(system.app(1), {{"refuse", 1}});
    std::string const key = "refused-" + std::to_string(call);
    auto message = http::make_post("/lookup/lot", "", "text/plain");
    message.set("Idempotency-Key", key);
    auto const outcome = send(0, std::move(message));
    if (runs(key) == 0) continue;
    ++ran;
    if (outcome.status != 200) STRCMP_EQUAL("unknown", outcome.run_state.c_str());
  }
  CHECK(ran > 0);
}

TEST(at_most_once_test, node_killed_after_sending) {
  system.set_faults(system.app(0), {{"delay_ms", 1000}});
  system.set_faults(system.app(1), {{"delay_ms", 1000}});
  std::thread caller([&] {
    rpc::blocking_client client;
    auto message = http::make_post("/bid/lot", "amount=1", "text/plain");
    message.set("Idempotency-Key", "lost");
    auto const answer = client.exchange(system.node(1), std::move(message), milliseconds(5000));
    CHECK_FALSE(answer.has_value());
  });
  cluster::wait_until("the request has been sent", [&] { return runs("lost") == 1; });
  system.process("node-1").kill();
  caller.join();
  auto const again = bid(0, "lost");
  LONGS_EQUAL(409, again.status);
  STRCMP_EQUAL("unknown", again.run_state.c_str());
  LONGS_EQUAL(1, runs("lost"));
}

TEST(at_most_once_test, nothing_is_sent_if_the_claim_can_not_be_written) {
  system.set_faults(system.kv(), {{"outage_ms", 60'000}});
  auto const refused = bid(0, "outage");
  LONGS_EQUAL(503, refused.status);
  STRCMP_EQUAL("claim_unreadable", refused.reason.c_str());
  CHECK(refused.retry_after);
  LONGS_EQUAL(0, runs("outage"));
  LONGS_EQUAL(200, send(0, http::make_get("/lookup/price")).status);
  system.set_faults(system.kv(), {{"outage_ms", 0}});
  cluster::wait_until("bids are accepted again", [&] { return bid(0, "outage").status == 200; });
  LONGS_EQUAL(1, runs("outage"));
}

TEST(at_most_once_test, lost_answer_to_a_claim_write_is_resolved) {
  system.set_faults(system.kv(), {{"lose_answers", 1}});
  LONGS_EQUAL(200, bid(0, "resolved").status);
  LONGS_EQUAL(1, runs("resolved"));
  LONGS_EQUAL(409, bid(1, "resolved").status);
}

TEST(at_most_once_test, request_refused_by_all_back_ends_is_not_run) {
  system.set_faults(system.app(0), {{"refuse", 1}});
  system.set_faults(system.app(1), {{"refuse", 1}});
  auto const refused = bid(0, "refused");
  LONGS_EQUAL(503, refused.status);
  STRCMP_EQUAL("not_run", refused.run_state.c_str());
  LONGS_EQUAL(0, runs("refused"));
}
