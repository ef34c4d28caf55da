#include "gateway/metrics.h"

#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

namespace frostline::gateway {
namespace {

prometheus::Histogram::BucketBoundaries const& boundaries() {
  static prometheus::Histogram::BucketBoundaries const all = {1,   2,   5,   10,   20,   50,  100,
                                                              150, 250, 400, 1000, 2500, 5000};
  return all;
}

/// Collects values as gauges and writes them in the Prometheus text format.
class gauge_page {
 public:
  void set(std::string const& name, std::string const& help, double value,
           prometheus::Labels const& labels = {}) {
    prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(labels).Set(value);
  }
  std::string write() { return prometheus::TextSerializer().Serialize(registry_.Collect()); }

 private:
  prometheus::Registry registry_;
};

void write_pool(gauge_page& page, pool_snapshot const& pool) {
  prometheus::Labels const labels{{"pool", pool.name}};
  auto const set = [&](std::string const& name, std::string const& help, double value) {
    page.set("frostline_pool_" + name, help, value, labels);
  };
  set("owned", "1 while this node owns the pool", pool.owned ? 1 : 0);
  set("jobs", "jobs that this node holds", static_cast<double>(pool.jobs));
  set("runs_open", "runs under way", static_cast<double>(pool.running));
  set("runs_total", "runs started", static_cast<double>(pool.runs.runs));
  set("runs_completed_total", "runs whose text is whole", static_cast<double>(pool.runs.completed));
  set("runs_broken_total", "runs that broke off", static_cast<double>(pool.runs.broken));
  set("runs_moved_total", "runs moved off slow engines", static_cast<double>(pool.runs.moved));
  for (std::size_t index = 0; index < engines::k_run_obstacles; ++index) {
    std::string const reason(to_string(static_cast<engines::run_obstacle>(index)));
    page.set("frostline_pool_long_waits_total", "samples found to wait for an engine for long",
             static_cast<double>(pool.runs.long_waits[index]),
             {{"pool", pool.name}, {"reason", reason}});
  }
  set("scored_total", "samples scored", static_cast<double>(pool.scoring.scored));
  set("dead_total", "samples given up", static_cast<double>(pool.runs.dead + pool.scoring.dead));
  set("orders_total", "orders sent to engines", static_cast<double>(pool.orders));
  set("writes_total", "transactions sent for jobs", static_cast<double>(pool.transactions));
}

void write_sample_order(gauge_page& page, pool_snapshot const& pool) {
  page.set("frostline_pool_started_without_slack_total",
           "runs started with less time left than expected to be needed, while ordered by due time",
           static_cast<double>(pool.runs.started_without_slack), {{"pool", pool.name}});
}

void write_memory(gauge_page& page, pool_snapshot const& pool) {
  prometheus::Labels const labels{{"pool", pool.name}};
  page.set("frostline_pool_runs_over_sum_total",
           "runs started although the final sizes of the engine's runs exceed its memory",
           static_cast<double>(pool.memory.admitted_over_sum), labels);
  page.set("frostline_pool_memory_refusals_total",
           "choices of an engine that failed for lack of memory",
           static_cast<double>(pool.memory.refused), labels);
}

void write_records(gauge_page& page, node_snapshot const& snapshot) {
  for (auto const role :
       {relay::feed_role::standby, relay::feed_role::relay, relay::feed_role::direct}) {
    page.set("frostline_records_role", "1 for how this node learns of records",
             snapshot.role == role ? 1 : 0, {{"role", std::string(relay::to_text(role))}});
  }
  auto const set = [&](std::string const& name, std::string const& help, std::uint64_t value) {
    page.set("frostline_records_" + name, help, static_cast<double>(value));
  };
  set("age_ms", "time since the records were last known to be complete",
      static_cast<std::uint64_t>(snapshot.records_age.count()));
  for (auto const& [topic, age] : snapshot.watch_ages) {
    page.set("frostline_records_watch_age_ms", "time since the store answered this node's watch",
             static_cast<double>(age.count()), {{"topic", topic}});
  }
  set("polls_sent_total", "questions to other nodes", snapshot.records.polls_sent);
  set("polls_failed_total", "questions without an answer", snapshot.records.polls_failed);
  set("polls_not_sure_total", "answers of nodes that were not sure",
      snapshot.records.polls_not_authoritative);
  set("polls_answered_total", "questions of other nodes answered", snapshot.polls_answered);
  set("whole_answers_total", "answers with all wanted records of a topic",
      snapshot.snapshot_answers);
  set("whole_records_total", "records in those answers", snapshot.snapshot_records);
  for (auto const& [topic, count] : snapshot.records_held) {
    page.set("frostline_records_held", "records that this node holds", static_cast<double>(count),
             {{"topic", topic}});
  }
  set("slow_servers_sent_total", "reports of slow servers in answers to other nodes",
      snapshot.slow_servers_sent);
  set("slow_servers_received_total", "valid reports of slow servers in answers of other nodes",
      snapshot.records.slow_servers_received);
  set("claims_total", "claims of the zone's record", snapshot.records.claims);
  set("turns_to_store_total", "times that no relay answered", snapshot.records.store_fallbacks);
}

void write_usage(gauge_page& page, usage_snapshot const& usage) {
  auto const set = [&](std::string const& name, std::string const& help, std::uint64_t value) {
    page.set("frostline_usage_" + name, help, static_cast<double>(value));
  };
  set("holder", "1 while this node reports usage", usage.is_holder ? 1 : 0);
  set("windows_closed_total", "windows whose counts were fixed", usage.counters.windows_closed);
  set("windows_reported_total", "windows whose report was taken", usage.counters.windows_reported);
  set("reports_failed_total", "reports that were not taken", usage.counters.reports_failed);
  set("windows_given_up_total", "windows that were never taken", usage.counters.windows_abandoned);
  set("tells_failed_total", "counts that did not reach the holder", usage.counters.calls_failed);
  set("late_requests_total", "requests told after their window was closed", usage.late);
}

void write_quarantine(gauge_page& page, node_snapshot const& snapshot) {
  auto const set = [&](std::string const& name, std::string const& help, std::uint64_t value) {
    page.set("frostline_quarantine_" + name, help, static_cast<double>(value));
  };
  set("records", "requests that no server gets", snapshot.quarantine_records);
  set("crashes_total", "requests of this node under which a server ended",
      snapshot.quarantine.crashes);
  set("refused_total", "requests kept from servers", snapshot.quarantine.refused);
  set("trials_total", "trials that this node made", snapshot.quarantine.trials);
  set("trial_waits_total", "waits of requests for the outcome of a trial",
      snapshot.quarantine.trial_waits);
  set("written_total", "records that this node wrote", snapshot.quarantine.records_written);
  set("taken_back_total", "records taken back here after an answer", snapshot.quarantine.revoked);
}

void write_attempt_times(gauge_page& page, calls::call_counters const& calls) {
  page.set("frostline_early_timeouts_total",
           "attempts ended early by the usual response times of their service",
           static_cast<double>(calls.early_timeouts));
  page.set("frostline_early_timeouts_denied_total",
           "attempts not ended early for lack of retry budget",
           static_cast<double>(calls.early_timeouts_denied));
}

void write_paces(gauge_page& page, balancing::pace_counters const& paces) {
  auto const set = [&](std::string const& name, std::string const& help, std::uint64_t value) {
    page.set("frostline_" + name, help, static_cast<double>(value));
  };
  set("servers_on_probation", "servers that are used only if no other is free", paces.on_probation);
  set("probations_total", "times that a server was put on probation", paces.probations);
  set("load_reports_total", "load reports of servers that were read", paces.reports_read);
  set("load_reports_ignored_total", "malformed load reports of servers", paces.reports_ignored);
}

}  // namespace

metrics::metrics()
    : durations_(prometheus::BuildHistogram()
                     .Name("frostline_duration_ms")
                     .Help("time from a request's arrival to its answer")
                     .Register(registry_)),
      calls_(durations_.Add({{"kind", "call"}}, boundaries())),
      submissions_(durations_.Add({{"kind", "submission"}}, boundaries())) {}

void metrics::note_call(milliseconds duration) {
  calls_.Observe(static_cast<double>(duration.count()));
}

void metrics::note_submission(milliseconds duration) {
  submissions_.Observe(static_cast<double>(duration.count()));
}

std::string metrics::write(node_snapshot const& snapshot) {
  gauge_page page;
  page.set("frostline_config_version", "configuration in force",
           static_cast<double>(snapshot.config_version));
  page.set("frostline_servers", "servers known", static_cast<double>(snapshot.servers));
  page.set("frostline_server_records_malformed_total", "servers' records that can't be read",
           static_cast<double>(snapshot.malformed_servers));
  page.set("frostline_calls_total", "requests", static_cast<double>(snapshot.calls.requests));
  page.set("frostline_calls_answered_total", "requests with a server's answer",
           static_cast<double>(snapshot.calls.answered));
  page.set("frostline_calls_given_up_total", "requests without a server's answer",
           static_cast<double>(snapshot.calls.unanswered));
  page.set("frostline_retries_total", "attempts after the first",
           static_cast<double>(snapshot.calls.retries));
  page.set("frostline_callers_left_total", "requests whose caller left",
           static_cast<double>(snapshot.calls.callers_left));
  page.set("frostline_streams_truncated_total", "event streams of which clients got only a part",
           static_cast<double>(snapshot.calls.truncated_streams));
  for (std::size_t kind = 0; kind < snapshot.calls.failed_attempts.size(); ++kind) {
    auto const failure = static_cast<calls::exchange_failure>(kind);
    if (failure == calls::exchange_failure::none) continue;
    page.set("frostline_attempts_failed_total", "attempts at servers without an answer",
             static_cast<double>(snapshot.calls.failed_attempts[kind]),
             {{"failure", std::string(calls::to_string(failure))}});
  }
  write_attempt_times(page, snapshot.calls);
  page.set("frostline_connections_opened_total", "connections opened to servers",
           static_cast<double>(snapshot.connections_opened));
  page.set("frostline_log_lines_dropped_total", "log lines dropped",
           static_cast<double>(snapshot.logs_dropped));
  page.set("frostline_unhandled_exceptions_total",
           "exceptions that nothing handled; each ended a request or the process",
           static_cast<double>(snapshot.unhandled_exceptions));
  page.set("frostline_request_memory_bytes", "memory that the bodies of requests take",
           static_cast<double>(snapshot.request_memory_held));
  page.set("frostline_requests_refused_for_memory_total",
           "requests refused because the bodies of others took all memory",
           static_cast<double>(snapshot.refused_for_memory));
  page.set("frostline_job_memory_bytes", "memory that the jobs of this node's pools take",
           static_cast<double>(snapshot.job_memory_held));
  page.set("frostline_connections_evicted_total",
           "connections without a whole request closed to make room for others",
           static_cast<double>(snapshot.connections_evicted));
  page.set("frostline_access_refused_total", "requests refused for their key",
           static_cast<double>(access_refused_));
  page.set("frostline_tenant_requests_total", "requests of tenants that servers began to run",
           static_cast<double>(snapshot.tenants_requests));
  if (snapshot.usage) write_usage(page, *snapshot.usage);
  write_paces(page, snapshot.paces);
  write_quarantine(page, snapshot);
  write_records(page, snapshot);
  for (pool_snapshot const& pool : snapshot.pools) {
    write_pool(page, pool);
    write_sample_order(page, pool);
    write_memory(page, pool);
  }
  return page.write() + prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace frostline::gateway
