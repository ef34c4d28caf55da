/// @file Collecting evidence, writing and removing records, and recovery of stored evidence.

#include <CppUTest/TestHarness.h>

#include "cluster.h"
#include "http/server.h"
#include "memory_record_store.h"
#include "quarantine/service.h"

using namespace frostline;
using namespace frostline::quarantine;
using namespace frostline::testing;

namespace {

constexpr milliseconds k_wait_timeout{1500};
constexpr milliseconds k_beyond_retention{601'000};
/// Longer than the examination of a crash and the delay before its provisional record take.
constexpr milliseconds k_answer_delay{100};
constexpr milliseconds k_beyond_query_timeout{3'000};
constexpr milliseconds k_long_wait{10'000};

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
  /// Number of crashes received by the other collector.
  std::size_t reported = 0;
  bool trial_wait_ended = false;
  rpc::dispatcher other_methods;
  http::server other{context, http::server_limits(), [this](http::request message) {
                       return other_methods.handle(std::move(message));
                     }};
  fingerprint const request = fingerprint::of({"", "host", "POST", "/", "body"});

  void setup() override {
    collector.add_methods(methods);
    collector.start();
  }

  /// Returns a crashed server: nothing listens at its address.
  directory::server ended_server(std::string const& id) {
    directory::server server;
    server.id = id;
    server.address = free_endpoint(address);
    return server;
  }

  void observe_crash(std::string const& server, fingerprint const& under) {
    std::size_t const before = collector.crashes_seen(under);
    collector.note_broken(ended_server(server), under, boot_clock::now());
    CHECK(run_until([&] { return collector.crashes_seen(under) > before; }));
  }

  /// Observes three crashes in sequence, in runs of this node.
  void observe_three_crashes() {
    for (char const* server : {"one", "two", "three"}) observe_crash(server, request);
  }

  /// Observes two crashes and records the suspicion.
  void record_suspicion() {
    for (char const* server : {"one", "two"}) observe_crash(server, request);
    CHECK(collector.must_be_recorded(request));
    spawn(context, collector.record_before_next_run(request));
    CHECK(becomes_recorded());
  }

  awaitable<void> claim_trial() {
    // The test reads the service's counter instead of the result.
    static_cast<void>(co_await collector.claim_trial(request));
  }

  /// Records one crash provisionally and claims the trial.
  void start_trial() {
    start_after_previous_run(free_endpoint(address));
    observe_crash("one", request);
    CHECK(becomes_provisional());
    CHECK(run_until([&] { return collector.check(request, boot_clock::now()) == verdict::trial; }));
    spawn(context, claim_trial());
    CHECK(run_until([&] { return collector.counters().trials == 1; }));
  }

  awaitable<void> wait_for_trial(milliseconds limit) {
    co_await collector.wait_for_trial(request, boot_clock::now() + limit);
    trial_wait_ended = true;
  }

  bool becomes_removed() {
    return run_until([&] { return store.list_now(quarantine_list::records_prefix()).empty(); });
  }

  bool is_proven_in_store() {
    auto const records = store.list_now(quarantine_list::records_prefix());
    if (records.size() != 1) return false;
    auto const entry = quarantine_list::decode(records.front());
    return entry && !entry->is_suspicion;
  }

  /// Receives a suspicion recorded by a node that has ended since.
  void receive_suspicion() {
    store.put_now(quarantine_list::key_of(request),
                  quarantine_list::encode({request, 0, {"one", "two"}, 0, true}, ""));
    auto const records = store.list_now(quarantine_list::records_prefix());
    collector.listener().event({false, records.front()});
  }

  /// Starts another collector, which accepts reports.
  /// @param evidence_age how far back its evidence reaches.
  /// @param delay time that it takes to answer.
  endpoint start_other_collector(milliseconds evidence_age = milliseconds(0),
                                 milliseconds delay = milliseconds(0)) {
    other_methods.add<rpc::CrashReportCallT, rpc::CrashReportReplyT>(
        "QuarantineService", "Report",
        [this, evidence_age,
         delay](rpc::CrashReportCallT call) -> awaitable<rpc::reply<rpc::CrashReportReplyT>> {
          co_await wait_for(delay);
          reported += call.evidence.size();
          rpc::CrashReportReplyT reply;
          reply.incarnation = "other";
          reply.evidence_age_ms = static_cast<std::uint64_t>(evidence_age.count());
          co_return reply;
        });
    endpoint const where = free_endpoint(address);
    STRCMP_EQUAL("", other.listen(where).c_str());
    return where;
  }

  bool run_until(std::function<bool()> const& condition) {
    time_point const limit = boot_clock::now() + k_wait_timeout;
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

  /// Delivers a first snapshot with evidence of a process that ran before this node started.
  void load_evidence_at_startup(endpoint const& writer, std::string const& incarnation) {
    evidence_record record{writer, incarnation, {{request, {"one", "two"}}}, wall_clock_ms()};
    store.put_now(evidence_record::key_of("previous"), record.encode());
    kv::range_answer all;
    all.entries = store.list_now(quarantine_records_prefix());
    collector.listener().snapshot(all);
  }

  /// Calls `clean` repeatedly, as the node does.
  bool becomes_recorded_while_cleaning() {
    return run_until([&] {
      collector.clean(boot_clock::now());
      return !store.list_now(quarantine_list::records_prefix()).empty();
    });
  }

  /// Delivers a first snapshot that shows that the system has run before.
  void start_after_previous_run(endpoint const& marker_writer) {
    evidence_record const marker{marker_writer, "previous incarnation", {}, wall_clock_ms()};
    store.put_now(run_marker_key(), marker.encode());
    kv::range_answer all;
    all.entries = store.list_now(quarantine_records_prefix());
    collector.listener().snapshot(all);
  }

  std::optional<quarantine_entry> stored_record() {
    auto const records = store.list_now(quarantine_list::records_prefix());
    return records.size() == 1 ? quarantine_list::decode(records.front()) : std::nullopt;
  }

  bool becomes_provisional() {
    return run_until([&] {
      auto const entry = stored_record();
      return entry && entry->is_provisional;
    });
  }

  std::size_t evidence_records() {
    return store.list_now(evidence_record::records_prefix()).size();
  }

  bool becomes_recorded() {
    return run_until([&] { return !store.list_now(quarantine_list::records_prefix()).empty(); });
  }
};

TEST(quarantine_service_test, three_crashes_create_a_record) {
  report("one");
  report("two");
  CHECK(!becomes_recorded());
  report("three");
  CHECK(becomes_recorded());
}

TEST(quarantine_service_test, expired_crashes_do_not_count) {
  report("one");
  report("two");
  collector.clean(boot_clock::now() + k_beyond_retention);
  report("three");
  CHECK(!becomes_recorded());
}

TEST(quarantine_service_test, node_without_current_records_refuses_by_its_own_evidence) {
  records_current = false;
  observe_three_crashes();
  time_point const now = boot_clock::now();
  CHECK(collector.check(request, now) == verdict::allowed);
  CHECK(collector.check(request, now + quarantine_list::k_effect_delay) == verdict::refused);
  CHECK(collector.check(request, now + milliseconds(6000)) == verdict::allowed);
  collector.note_answer(request);
  CHECK(collector.check(request, now + quarantine_list::k_effect_delay) == verdict::allowed);
}

TEST(quarantine_service_test, node_with_current_records_waits_for_a_record) {
  collectors = {start_other_collector()};
  observe_three_crashes();
  time_point const now = boot_clock::now();
  CHECK(collector.check(request, now + quarantine_list::k_effect_delay) == verdict::allowed);
  CHECK(collector.check(request, now + milliseconds(1500)) == verdict::allowed);
}

TEST(quarantine_service_test, other_nodes_leave_the_record_to_collectors) {
  collectors = {start_other_collector()};
  for (char const* server : {"one", "two", "three"}) {
    collector.note_broken(ended_server(server), request, boot_clock::now());
  }
  CHECK(run_until([&] { return collector.crashes_seen(request) == 3; }));
  CHECK(run_until([&] { return reported == 3; }));
  CHECK(!becomes_recorded());
}

TEST(quarantine_service_test, node_with_unreachable_collectors_writes_the_record) {
  collectors = {free_endpoint(address)};
  for (char const* server : {"one", "two", "three"}) {
    collector.note_broken(ended_server(server), request, boot_clock::now());
  }
  CHECK(becomes_recorded());
}

TEST(quarantine_service_test, suspicion_refuses_nothing_and_is_withdrawn) {
  record_suspicion();
  time_point const now = boot_clock::now();
  CHECK(collector.check(request, now + seconds(10)) == verdict::allowed);
  CHECK(becomes_removed());
  LONGS_EQUAL(2, collector.crashes_seen(request));
  CHECK(collector.must_be_recorded(request));
}

TEST(quarantine_service_test, third_crash_confirms_a_suspicion) {
  record_suspicion();
  observe_crash("three", request);
  CHECK(run_until([&] { return is_proven_in_store(); }));
  time_point const now = boot_clock::now();
  CHECK(collector.check(request, now + quarantine_list::k_effect_delay) == verdict::refused);
}

TEST(quarantine_service_test, third_crash_explained_by_another_request_confirms_nothing) {
  fingerprint const poison = fingerprint::of({"", "host", "POST", "/", "poison"});
  record_suspicion();
  for (char const* server : {"zero", "one", "two", "three"}) observe_crash(server, poison);
  observe_crash("three", request);
  CHECK(run_until([&] { return collector.counters().records_written == 2; }));
  CHECK(run_until([&] { return collector.records() == 1; }));
  time_point const later = boot_clock::now() + seconds(1);
  CHECK(collector.check(request, later) == verdict::allowed);
  CHECK(collector.check(poison, later) != verdict::allowed);
}

TEST(quarantine_service_test, one_crash_confirms_a_suspicion_of_a_previous_node) {
  receive_suspicion();
  CHECK(collector.check(request, boot_clock::now() + seconds(10)) == verdict::allowed);
  observe_crash("three", request);
  CHECK(run_until([&] { return is_proven_in_store(); }));
}

TEST(quarantine_service_test, revocation_of_a_missing_record_ends) {
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

TEST(quarantine_service_test, collector_stores_evidence_of_two_crashes_until_answered) {
  report("one");
  CHECK_FALSE(run_until([&] { return evidence_records() > 0; }));
  report("two");
  CHECK(run_until([&] { return evidence_records() == 1; }));
  collector.note_answer(request);
  collector.clean(boot_clock::now());
  CHECK(run_until([&] { return evidence_records() == 0; }));
}

TEST(quarantine_service_test, evidence_of_ended_writers_quarantines_the_request) {
  load_evidence_at_startup(self, "previous incarnation");
  CHECK(collector.should_wait(request, boot_clock::now()));
  CHECK(becomes_recorded_while_cleaning());
  CHECK(collector.should_wait(request, boot_clock::now()));
  time_point const later = boot_clock::now() + quarantine_list::k_effect_delay;
  CHECK(collector.check(request, later) == verdict::refused);
  CHECK_FALSE(collector.should_wait(request, later));
}

TEST(quarantine_service_test, evidence_of_a_running_writer_does_not_quarantine) {
  collectors = {self, start_other_collector()};
  load_evidence_at_startup(collectors.back(), "other");
  CHECK_FALSE(becomes_recorded_while_cleaning());
  CHECK(collector.check(request, boot_clock::now() + seconds(10)) == verdict::allowed);
  // The evidence of the request still counts towards the threshold.
  report("three");
  CHECK(becomes_recorded());
}

TEST(quarantine_service_test, resolved_record_of_an_ended_writer_is_removed) {
  collectors = {self};
  load_evidence_at_startup(free_endpoint(address), "gone");
  CHECK(becomes_recorded_while_cleaning());
  CHECK(run_until([&] { return store.revision_of(evidence_record::key_of("previous")) == 0; }));
}

TEST(quarantine_service_test, sample_waits_until_its_evidence_is_stored) {
  observe_crash("one", request);
  CHECK_FALSE(collector.should_wait(request, boot_clock::now()));
  store.set_down(true);
  observe_crash("two", request);
  CHECK(collector.should_wait(request, boot_clock::now()));
  // The wait is bounded, since the store may be unavailable for seconds.
  CHECK_FALSE(collector.should_wait(request, boot_clock::now() + seconds(1)));
  store.set_down(false);
  CHECK(run_until([&] { return !collector.should_wait(request, boot_clock::now()); }));
}

TEST(quarantine_service_test, sample_waits_for_its_record_after_three_crashes) {
  observe_three_crashes();
  CHECK(collector.should_wait(request, boot_clock::now()));
  CHECK_FALSE(collector.should_wait(request, boot_clock::now() + seconds(3)));
  collector.note_answer(request);
  CHECK_FALSE(collector.should_wait(request, boot_clock::now()));
}

TEST(quarantine_service_test, first_node_of_the_first_run_stores_the_run_marker) {
  collector.listener().snapshot({});
  CHECK_FALSE(collector.may_lack_evidence());
  CHECK(run_until([&] { return store.revision_of(run_marker_key()) > 0; }));
  observe_crash("one", request);
  CHECK_FALSE(becomes_recorded());
}

// Guards against crashes that all nodes have forgotten together.
TEST(quarantine_service_test, one_crash_is_recorded_if_no_node_has_older_evidence) {
  collectors = {self, start_other_collector()};
  start_after_previous_run(free_endpoint(address));
  CHECK(collector.may_lack_evidence());
  observe_crash("one", request);
  CHECK(becomes_provisional());
  CHECK(run_until([&] { return collector.records() == 1; }));
  CHECK(collector.check(request, boot_clock::now()) == verdict::trial);
}

TEST(quarantine_service_test, one_crash_is_not_recorded_if_a_collector_has_older_evidence) {
  collectors = {self, start_other_collector(k_evidence_retention)};
  start_after_previous_run(free_endpoint(address));
  CHECK(run_until([&] { return !collector.may_lack_evidence(); }));
  observe_crash("one", request);
  CHECK_FALSE(becomes_recorded());
}

TEST(quarantine_service_test, writer_of_the_run_marker_completes_the_first_start) {
  collectors.clear();
  start_after_previous_run(start_other_collector(k_evidence_retention));
  CHECK(run_until([&] { return !collector.may_lack_evidence(); }));
}

// Guards against a node that has just started and takes evidence for lost while another node is
// about to tell that it is complete.
TEST(quarantine_service_test, crash_before_the_age_of_the_evidence_is_known_is_not_recorded) {
  start_after_previous_run(start_other_collector(k_evidence_retention, k_answer_delay));
  CHECK(collector.may_lack_evidence());
  observe_crash("one", request);
  CHECK(collector.may_lack_evidence());
  CHECK_FALSE(becomes_recorded());
  CHECK_FALSE(collector.may_lack_evidence());
}

TEST(quarantine_service_test, one_crash_is_recorded_if_the_age_of_the_evidence_stays_unknown) {
  start_after_previous_run(start_other_collector(k_evidence_retention, k_beyond_query_timeout));
  observe_crash("one", request);
  CHECK(becomes_provisional());
}

// Guards against a next run that ends a server, and the nodes with it, before the first crash is
// recorded.
TEST(quarantine_service_test, next_run_waits_for_the_age_of_the_evidence_and_a_slow_write) {
  start_after_previous_run(start_other_collector(k_evidence_retention, k_beyond_query_timeout));
  store.set_write_time(milliseconds(250));
  observe_crash("one", request);
  bool runs = false;
  auto const wait = [&]() -> awaitable<void> {
    co_await collector.record_before_next_run(request);
    runs = true;
  };
  spawn(context, wait());
  CHECK(run_until([&] { return runs; }));
  CHECK(stored_record().has_value());
}

// Guards against refusing a harmless request that ran on a crashing server.
TEST(quarantine_service_test, answered_request_is_not_recorded_after_one_crash) {
  start_after_previous_run(free_endpoint(address));
  collector.note_answer(request);
  observe_crash("one", request);
  CHECK_FALSE(becomes_recorded());
}

TEST(quarantine_service_test, answered_trial_removes_a_provisional_record) {
  start_after_previous_run(free_endpoint(address));
  observe_crash("one", request);
  CHECK(becomes_provisional());
  CHECK(run_until([&] { return collector.check(request, boot_clock::now()) == verdict::trial; }));
  spawn(context, claim_trial());
  CHECK(run_until([&] { return collector.counters().trials == 1; }));
  CHECK(collector.check(request, boot_clock::now()) == verdict::refused);
  collector.note_answer(request);
  CHECK(becomes_removed());
}

TEST(quarantine_service_test, crash_under_the_trial_is_added_to_a_provisional_record) {
  start_after_previous_run(free_endpoint(address));
  observe_crash("one", request);
  CHECK(becomes_provisional());
  CHECK(run_until([&] { return collector.check(request, boot_clock::now()) == verdict::trial; }));
  spawn(context, claim_trial());
  CHECK(run_until([&] { return collector.counters().trials == 1; }));
  observe_crash("two", request);
  CHECK(run_until([&] {
    auto const entry = stored_record();
    return entry && entry->servers.size() == 2 && entry->trials == 1;
  }));
}

TEST(quarantine_service_test, wait_for_a_trial_ends_with_its_outcome) {
  start_trial();
  CHECK(collector.is_trial_open(request, boot_clock::now()));
  spawn(context, wait_for_trial(k_long_wait));
  CHECK_FALSE(run_until([&] { return trial_wait_ended; }));
  collector.note_answer(request);
  CHECK(run_until([&] { return trial_wait_ended; }));
  CHECK(collector.check(request, boot_clock::now()) == verdict::allowed);
}

TEST(quarantine_service_test, wait_for_a_trial_ends_with_a_crash) {
  start_trial();
  spawn(context, wait_for_trial(k_long_wait));
  observe_crash("two", request);
  CHECK(run_until([&] { return trial_wait_ended; }));
  CHECK(collector.check(request, boot_clock::now()) == verdict::refused);
  CHECK_FALSE(collector.is_trial_open(request, boot_clock::now()));
}

// Guards against callers that wait for a node that ended during the trial.
TEST(quarantine_service_test, wait_for_a_trial_without_outcome_is_bounded) {
  start_trial();
  spawn(context, wait_for_trial(milliseconds(100)));
  CHECK(run_until([&] { return trial_wait_ended; }));
  time_point const overdue = boot_clock::now() + quarantine_list::k_trial_outcome_timeout;
  CHECK_FALSE(collector.is_trial_open(request, overdue));
}

TEST(quarantine_service_test, trial_that_was_not_run_is_returned) {
  start_after_previous_run(free_endpoint(address));
  observe_crash("one", request);
  CHECK(becomes_provisional());
  CHECK(run_until([&] { return collector.check(request, boot_clock::now()) == verdict::trial; }));
  spawn(context, claim_trial());
  CHECK(run_until([&] { return collector.counters().trials == 1; }));
  spawn(context, collector.return_trial(request));
  CHECK(run_until([&] { return collector.check(request, boot_clock::now()) == verdict::trial; }));
}

// Guards against a record for each request that runs when many servers lose power.
TEST(quarantine_service_test, wide_crash_is_not_recorded_provisionally) {
  start_after_previous_run(free_endpoint(address));
  std::vector<fingerprint> requests;
  for (int number = 0; number < 8; ++number) {
    requests.push_back(fingerprint::of({"", "host", "POST", "/", std::to_string(number)}));
    directory::server const server = ended_server("server-" + std::to_string(number));
    collector.note_broken(server, requests.back(), boot_clock::now());
  }
  CHECK(run_until([&] { return collector.counters().crashes == requests.size(); }));
  CHECK_FALSE(becomes_recorded());
}

TEST(quarantine_service_test, sample_waits_while_its_first_crash_is_recorded) {
  start_after_previous_run(free_endpoint(address));
  collector.note_broken(ended_server("one"), request, boot_clock::now());
  CHECK(collector.should_wait(request, boot_clock::now()));
  CHECK(becomes_provisional());
  CHECK(run_until([&] { return !collector.should_wait(request, boot_clock::now()); }));
  CHECK(collector.check(request, boot_clock::now()) == verdict::trial);
}
