/// @file Metrics of proxied calls: answers, durations and retries by route, and problems by route
/// and reason.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "rpc/problem.h"

namespace frostline::routing {

class metrics {
 public:
  explicit metrics(prometheus::Registry& registry);

  void count_answer(std::string const& route, milliseconds duration);
  void count_problem(std::string const& route, rpc::reason reason);
  void count_retry(std::string const& route);

 private:
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Counter>& problems_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Histogram>& durations_;
};

}  // namespace frostline::routing
