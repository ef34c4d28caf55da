/// @file The promises of the gateway, judged by what callers, trainers and servers saw. Pure.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "server_standin.h"

namespace frostline::testing {

/// What a caller got for one request.
struct call_record {
  std::string request;
  /// 0: no answer.
  unsigned status = 0;
  std::string body;
  bool repeatable = true;
  /// Tenant whose key it carried; empty: a key that nobody holds.
  std::string tenant;
};

/// One read of a job's results, from position 0.
struct read_record {
  std::string job;
  time_point at{};
  boost::json::array results;
};

struct job_record {
  std::string job;
  std::vector<std::string> items;
  std::uint64_t min_version = 1;
  bool accepted = false;
  bool ended = false;
  time_point ended_at{};
};

/// Everything that was seen in one soak.
struct soak_records {
  std::vector<call_record> calls;
  std::vector<read_record> reads;
  std::vector<job_record> jobs;
  /// By server.
  std::map<std::string, std::vector<arrival>> arrivals;
  std::map<std::string, std::vector<order_arrival>> orders;
  std::uint32_t events = 0;
  std::uint64_t newest_version = 1;
  milliseconds order_gap{0};
  /// Requests of tenants that are not among the calls.
  std::map<std::string, std::uint64_t> other_requests;
  /// Tenant that handed the jobs in; empty: there are no tenants.
  std::string job_tenant;
  /// What the service for duties holds against its callers.
  std::vector<std::string> duty_violations;
  /// Reports that were taken.
  std::size_t reports = 0;
  /// Requests that were reported, by tenant.
  std::map<std::string, std::uint64_t> reported;
};

/// A invariant that was broken, and by what.
struct violation {
  std::string invariant;
  std::string detail;
};

/// What was judged, so that a soak that saw nothing is not taken for a good one.
struct soak_counts {
  std::size_t requests = 0;
  std::size_t samples = 0;
  std::size_t positions = 0;
  std::size_t orders = 0;
  /// Requests at servers whose tenant was judged.
  std::size_t tenants = 0;
};

/// @param counts what was judged. @return every broken invariant.
std::vector<violation> check_soak(soak_records const& seen, soak_counts& counts);

}  // namespace frostline::testing
