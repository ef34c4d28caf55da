#include "routing/metrics.h"

namespace frostline::routing {
namespace {

prometheus::Histogram::BucketBoundaries duration_buckets() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};
}

}  // namespace

metrics::metrics(prometheus::Registry& registry)
    : answers_(prometheus::BuildCounter()
                   .Name("frostline_calls_answered_total")
                   .Help("Ordinary calls answered by a back end")
                   .Register(registry)),
      problems_(prometheus::BuildCounter()
                    .Name("frostline_calls_failed_total")
                    .Help("Ordinary calls refused or failed, by reason")
                    .Register(registry)),
      retries_(prometheus::BuildCounter()
                   .Name("frostline_call_retries_total")
                   .Help("Calls sent to another back end after a failure")
                   .Register(registry)),
      durations_(prometheus::BuildHistogram()
                     .Name("frostline_call_duration_seconds")
                     .Help("Time from request to answer")
                     .Register(registry)) {}

void metrics::count_answer(std::string const& route, milliseconds duration) {
  answers_.Add({{"route", route}}).Increment();
  double const in_seconds = static_cast<double>(duration.count()) / 1000;
  durations_.Add({{"route", route}}, duration_buckets()).Observe(in_seconds);
}

void metrics::count_problem(std::string const& route, rpc::reason reason) {
  problems_.Add({{"route", route}, {"reason", std::string(rpc::to_string(reason))}}).Increment();
}

void metrics::count_retry(std::string const& route) {
  retries_.Add({{"route", route}}).Increment();
}

}  // namespace frostline::routing
