/// @file What a collector makes of other nodes' evidence.

#include <CppUTest/TestHarness.h>

#include "cluster.h"
#include "http/server.h"
#include "memory_record_store.h"
#include "quarantine/service.h"

using namespace frostline;
using namespace frostline::quarantine;
using namespace frostline::testing;

namespace {

constexpr milliseconds k_patience{1500};
constexpr milliseconds k_long_ago{601'000};

}  // namespace

TEST_GROUP(quarantine_service_test) {
  asio::io_context context{1};
  memory_record_store store{context};
  http::client transport{context};
  endpoint const self{"127.0.0.1", 1};
  std::vector<endpoint> collectors{self};
  bool records_current = true;
  service collector{{context, store, transport, "node", self, [this] { return collectors; },
                     [this] { return records_current; }}};
  rpc::dispatcher methods;
  std::string address = unique_loopback_address();
  /// Evidence that the other collector was told.
  std::size_t told = 0;
  rpc::dispatcher other_methods;
  http::server other{context, http::server_limits(), [this](http::request message) {
                       return other_methods.handle(std::move(message));
                     }};
  fingerprint const request = fingerprint::of({"", "host", "POST", "/", "body"});

  void setup() override {
    collector.add_methods(methods);
    collector.start();
  }

  /// A server at whose address nobody listens.
  directory::server ended_server(std::string const& id) {
    directory::server server;
    server.id = id;
    server.address = free_endpoint(address);
    return server;
  }

  void see_server_end(std::string const& server, fingerprint const& under) {
    std::size_t const before = collector.crashes_seen(under);
    collector.note_broken(ended_server(server), under, boot_clock::now());
    CHECK(run_until([&] { return collector.crashes_seen(under) > before; }));
  }

  /// One after the other, under this node's own runs.
  void see_three_servers_end() {
    for (char const* server : {"one", "two", "three"}) see_server_end(server, request);
  }

  /// Two servers end, then the request is recorded before its next run.
  void record_suspicion() {
    for (char const* server : {"one", "two"}) see_server_end(server, request);
    CHECK(collector.must_be_recorded(request));
    spawn(context, collector.record_before_next_run(request));
    CHECK(is_recorded_in_time());
  }

  bool is_gone_in_time() {
    return run_until([&] { return store.list_now(quarantine_list::records_prefix()).empty(); });
  }

  bool is_proven_in_store() {
    auto const records = store.list_now(quarantine_list::records_prefix());
    if (records.size() != 1) return false;
    auto const entry = quarantine_list::decode(records.front());
    return entry && !entry->is_suspicion;
  }

  /// Another node records a suspicion and is gone.
  void hear_of_suspicion() {
    store.put_now(quarantine_list::key_of(request),
                  quarantine_list::encode({request, 0, {"one", "two"}, 0, true}, ""));
    auto const records = store.list_now(quarantine_list::records_prefix());
    collector.listener().event({false, records.front()});
  }

  /// Another collector, which takes reports.
  endpoint listening() {
    other_methods.add<rpc::CrashReportCallT, rpc::CrashReportReplyT>(
        "QuarantineService", "Report",
        [this](rpc::CrashReportCallT call) -> awaitable<rpc::reply<rpc::CrashReportReplyT>> {
          told += call.evidence.size();
          rpc::CrashReportReplyT reply;
          reply.incarnation = "other";
          co_return reply;
        });
    endpoint const where = free_endpoint(address);
    STRCMP_EQUAL("", other.listen(where).c_str());
    return where;
  }

  bool run_until(std::function<bool()> const& condition) {
    time_point const limit = boot_clock::now() + k_patience;
    while (!condition() && boot_clock::now() < limit) {
      context.restart();
      context.run_one_for(milliseconds(20));
    }
    return condition();
  }

  void report(std::string const& server) {
    rpc::CrashReportCallT call;
    call.node = "other";
    call.evidence.push_back(std::make_unique<rpc::CrashEvidenceT>());
    call.evidence.back()->fingerprint = request.to_string();
    call.evidence.back()->server = server;
    http::request message(http::verb::post, "/rpc/v1/QuarantineService/Report", 11);
    message.body() = rpc::encode(call);
    unsigned status = 0;
    auto const handle = [&]() -> awaitable<void> {
      http::response const answer = co_await methods.handle(std::move(message));
      status = answer.result_int();
    };
    spawn(context, handle());
    run_until([&] { return status != 0; });
    LONGS_EQUAL(200, status);
  }

  /// The store holds evidence of a process that ran before this node started.
  void find_evidence_at_start(endpoint const& writer, std::string const& incarnation) {
    evidence_record record{writer, incarnation, {{request, {"one", "two"}}}, wall_clock_ms()};
    store.put_now(evidence_record::key_of("former"), record.encode());
    kv::range_answer all;
    all.entries = store.list_now(records_of_quarantine());
    collector.listener().snapshot(all);
  }

  /// Time passes as in the node, which cleans four times a second.
  bool is_recorded_after_cleaning() {
    return run_until([&] {
      collector.clean(boot_clock::now());
      return !store.list_now(quarantine_list::records_prefix()).empty();
    });
  }

  std::size_t evidence_records() {
    return store.list_now(evidence_record::records_prefix()).size();
  }

  bool is_recorded_in_time() {
    return run_until([&] { return !store.list_now(quarantine_list::records_prefix()).empty(); });
  }
};

TEST(quarantine_service_test, three_servers_that_ended_are_enough_for_a_record) {
  report("one");
  report("two");
  CHECK(!is_recorded_in_time());
  report("three");
  CHECK(is_recorded_in_time());
}

TEST(quarantine_service_test, what_ended_long_ago_counts_no_more) {
  report("one");
  report("two");
  collector.clean(boot_clock::now() + k_long_ago);
  report("three");
  CHECK(!is_recorded_in_time());
}

TEST(quarantine_service_test, node_to_which_no_records_come_refuses_alone_unless_it_is_disputed) {
  records_current = false;
  see_three_servers_end();
  time_point const now = boot_clock::now();
  CHECK(collector.check(request, now) == verdict::allowed);
  CHECK(collector.check(request, now + quarantine_list::k_objection_time) == verdict::refused);
  CHECK(collector.check(request, now + milliseconds(6000)) == verdict::allowed);
  collector.note_answer(request);
  CHECK(collector.check(request, now + quarantine_list::k_objection_time) == verdict::allowed);
}

TEST(quarantine_service_test, node_to_which_records_come_waits_for_one) {
  collectors = {listening()};
  see_three_servers_end();
  time_point const now = boot_clock::now();
  CHECK(collector.check(request, now + quarantine_list::k_objection_time) == verdict::allowed);
  CHECK(collector.check(request, now + milliseconds(1500)) == verdict::allowed);
}

TEST(quarantine_service_test, node_that_is_no_collector_leaves_the_record_to_those_who_are) {
  collectors = {listening()};
  for (char const* server : {"one", "two", "three"}) {
    collector.note_broken(ended_server(server), request, boot_clock::now());
  }
  CHECK(run_until([&] { return collector.crashes_seen(request) == 3; }));
  CHECK(run_until([&] { return told == 3; }));
  CHECK(!is_recorded_in_time());
}

TEST(quarantine_service_test, node_whose_collectors_are_silent_writes_the_record_itself) {
  collectors = {free_endpoint(address)};
  for (char const* server : {"one", "two", "three"}) {
    collector.note_broken(ended_server(server), request, boot_clock::now());
  }
  CHECK(is_recorded_in_time());
}

TEST(quarantine_service_test, suspicion_refuses_nothing_and_is_withdrawn) {
  record_suspicion();
  time_point const now = boot_clock::now();
  CHECK(collector.check(request, now + seconds(10)) == verdict::allowed);
  CHECK(is_gone_in_time());
  LONGS_EQUAL(2, collector.crashes_seen(request));
  CHECK(collector.must_be_recorded(request));
}

TEST(quarantine_service_test, third_crash_proves_a_suspicion) {
  record_suspicion();
  see_server_end("three", request);
  CHECK(run_until([&] { return is_proven_in_store(); }));
  time_point const now = boot_clock::now();
  CHECK(collector.check(request, now + quarantine_list::k_objection_time) == verdict::refused);
}

TEST(quarantine_service_test, third_crash_that_another_request_explains_proves_nothing) {
  fingerprint const deadly = fingerprint::of({"", "host", "POST", "/", "deadly"});
  record_suspicion();
  for (char const* server : {"zero", "one", "two", "three"}) see_server_end(server, deadly);
  see_server_end("three", request);
  CHECK(run_until([&] { return collector.counters().written == 2; }));
  CHECK(run_until([&] { return collector.records() == 1; }));
  time_point const later = boot_clock::now() + seconds(1);
  CHECK(collector.check(request, later) == verdict::allowed);
  CHECK(collector.check(deadly, later) != verdict::allowed);
}

TEST(quarantine_service_test, one_more_crash_proves_a_suspicion_whose_writer_is_gone) {
  hear_of_suspicion();
  CHECK(collector.check(request, boot_clock::now() + seconds(10)) == verdict::allowed);
  see_server_end("three", request);
  CHECK(run_until([&] { return is_proven_in_store(); }));
}

TEST(quarantine_service_test, record_that_is_gone_unheard_of_is_not_taken_back_for_ever) {
  quarantine_entry entry;
  entry.request = request;
  kv::watch_event event;
  event.entry.key = quarantine_list::key_of(request);
  event.entry.value = quarantine_list::encode(entry, "");
  event.entry.mod_revision = 7;
  collector.listener().event(event);
  LONGS_EQUAL(1, collector.records());
  collector.note_answer(request);
  CHECK(run_until([&] { return collector.records() == 0; }));
}

TEST(quarantine_service_test, collector_keeps_evidence_of_two_crashes_until_there_is_an_answer) {
  report("one");
  CHECK_FALSE(run_until([&] { return evidence_records() > 0; }));
  report("two");
  CHECK(run_until([&] { return evidence_records() == 1; }));
  collector.note_answer(request);
  collector.clean(boot_clock::now());
  CHECK(run_until([&] { return evidence_records() == 0; }));
}

TEST(quarantine_service_test, evidence_that_nobody_remembers_puts_a_request_under_quarantine) {
  find_evidence_at_start(self, "former life");
  CHECK(collector.should_wait(request, boot_clock::now()));
  CHECK(is_recorded_after_cleaning());
  CHECK(collector.should_wait(request, boot_clock::now()));
  time_point const later = boot_clock::now() + quarantine_list::k_objection_time;
  CHECK(collector.check(request, later) == verdict::refused);
  CHECK_FALSE(collector.should_wait(request, later));
}

TEST(quarantine_service_test, evidence_whose_writer_lives_condemns_nothing) {
  collectors = {self, listening()};
  find_evidence_at_start(collectors.back(), "other");
  CHECK_FALSE(is_recorded_after_cleaning());
  CHECK(collector.check(request, boot_clock::now() + seconds(10)) == verdict::allowed);
  // What it tells counts all the same.
  report("three");
  CHECK(is_recorded_in_time());
}

TEST(quarantine_service_test, record_of_a_writer_that_is_gone_is_removed_once_it_is_judged) {
  collectors = {self};
  find_evidence_at_start(free_endpoint(address), "gone");
  CHECK(is_recorded_after_cleaning());
  CHECK(run_until([&] { return store.revision_of(evidence_record::key_of("former")) == 0; }));
}

TEST(quarantine_service_test, sample_waits_until_what_is_known_of_it_is_stored) {
  see_server_end("one", request);
  CHECK_FALSE(collector.should_wait(request, boot_clock::now()));
  store.set_down(true);
  see_server_end("two", request);
  CHECK(collector.should_wait(request, boot_clock::now()));
  // Not for ever: the store may be out for seconds.
  CHECK_FALSE(collector.should_wait(request, boot_clock::now() + seconds(1)));
  store.set_down(false);
  CHECK(run_until([&] { return !collector.should_wait(request, boot_clock::now()); }));
}

TEST(quarantine_service_test, sample_waits_for_its_record_after_three_crashes) {
  see_three_servers_end();
  CHECK(collector.should_wait(request, boot_clock::now()));
  CHECK_FALSE(collector.should_wait(request, boot_clock::now() + seconds(3)));
  collector.note_answer(request);
  CHECK_FALSE(collector.should_wait(request, boot_clock::now()));
}
