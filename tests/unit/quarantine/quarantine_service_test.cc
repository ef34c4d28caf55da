/// @file What a collector makes of other nodes' evidence.

#include <CppUTest/TestHarness.h>

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
  service collector{
      {context, store, transport, "node", self, [this] { return std::vector<endpoint>{self}; }}};
  rpc::dispatcher methods;
  fingerprint const request = fingerprint::of({"", "host", "POST", "/", "body"});

  void setup() override { collector.add_methods(methods); }

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
