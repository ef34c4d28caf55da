/// @file The part of the service that sends evidence to the collectors.

#include <algorithm>

#include "base/log.h"
#include "quarantine/service.h"
#include "rpc/client.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_part = "quarantine";
/// Delay before a report, so that crashes at about the same time go into one report.
constexpr milliseconds k_report_batch_delay{30};
constexpr milliseconds k_report_timeout{250};
constexpr milliseconds k_report_retry_interval{200};
constexpr milliseconds k_idle_poll_interval{1000};

}  // namespace

awaitable<void> service::report_loop() {
  while (true) {
    if (outbox_.empty()) {
      co_await evidence_added_.wait();
      co_await wait_for(k_report_batch_delay);
    }
    auto const collectors = dependencies_.find_collectors();
    outbox_.retain_collectors(collectors);
    for (endpoint const& collector : collectors) {
      bool const due = collector != dependencies_.self && outbox_.has_pending(collector);
      if (due && reporting_to_.insert(collector).second) {
        spawn(dependencies_.context, report_to(collector));
      }
    }
    bool const waiting =
        std::any_of(collectors.begin(), collectors.end(), [this](auto const& collector) {
          return collector != dependencies_.self && outbox_.has_pending(collector);
        });
    // New collectors also receive the existing evidence.
    co_await evidence_added_.wait_until(boot_clock::now() +
                                        (waiting ? k_report_retry_interval : k_idle_poll_interval));
  }
}

awaitable<void> service::report_to(endpoint collector) {
  crash_report const report = outbox_.next_report(collector);
  rpc::CrashReportCallT call;
  call.node = dependencies_.node;
  for (crash const& event : report.evidence) {
    auto evidence = std::make_unique<rpc::CrashEvidenceT>();
    evidence->fingerprint = event.request.to_string();
    evidence->server = event.server;
    call.evidence.push_back(std::move(evidence));
  }
  auto const reply = co_await rpc::call<rpc::CrashReportCallT, rpc::CrashReportReplyT>(
      dependencies_.transport, collector, "QuarantineService", "Report", call, k_report_timeout);
  reporting_to_.erase(collector);
  if (reply) {
    take_evidence_age(reply.value());
    outbox_.note_reported(collector, reply.value().incarnation, report.last_number);
    co_return;
  }
  log_line(log_level::info, k_part, "Failed to report evidence to a collector.",
           {{"collector", collector.to_string()},
            {"evidence", report.evidence.size()},
            {"error", reply.error().detail}});
}

rpc::CrashReportReplyT service::handle_report(rpc::CrashReportCallT const& call) {
  time_point const now = boot_clock::now();
  for (auto const& evidence : call.evidence) {
    auto const request = fingerprint::parse(evidence->fingerprint);
    if (request) collect({*request, evidence->server, now, now});
  }
  rpc::CrashReportReplyT reply;
  reply.incarnation = incarnation_;
  reply.evidence_age_ms = static_cast<std::uint64_t>(horizon_.age(now).count());
  return reply;
}

void service::add_methods(rpc::dispatcher& methods) {
  methods.add<rpc::CrashReportCallT, rpc::CrashReportReplyT>(
      "QuarantineService", "Report",
      [this](rpc::CrashReportCallT call) -> awaitable<rpc::reply<rpc::CrashReportReplyT>> {
        co_return handle_report(call);
      });
}

}  // namespace frostline::quarantine
