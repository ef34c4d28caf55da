/// @file Checks the gateway's guarantees against what callers, trainers and servers observed. No
/// I/O.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "server_standin.h"

namespace frostline::testing {

/// The outcome of one request as seen by its caller.
struct call_record {
  std::string request;
  /// HTTP status; 0 without an answer.
  unsigned status = 0;
  std::string body;
  bool repeatable = true;
  /// Tenant of the request's API key; empty for an unknown key.
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

/// All observations of one soak run.
struct soak_records {
  std::vector<call_record> calls;
  std::vector<read_record> reads;
  std::vector<job_record> jobs;
  /// Arrivals and orders by server.
  std::map<std::string, std::vector<arrival>> arrivals;
  std::map<std::string, std::vector<order_arrival>> orders;
  std::uint32_t events = 0;
  std::uint64_t newest_version = 1;
  milliseconds order_gap{0};
  /// Number of requests by tenant that are not included in `calls`.
  std::map<std::string, std::uint64_t> other_requests;
  /// Tenant that submitted the jobs; empty if there are no tenants.
  std::string job_tenant;
  /// Violations found by the duty stand-in.
  std::vector<std::string> duty_violations;
  /// Number of accepted usage reports.
  std::size_t reports = 0;
  /// Number of reported requests by tenant.
  std::map<std::string, std::uint64_t> reported;
};

/// A violated invariant and the request, job or server that violated it.
struct violation {
  std::string invariant;
  std::string detail;
};

/// Numbers of checked observations, so that a soak run without any is not mistaken for a pass.
struct soak_counts {
  std::size_t requests = 0;
  std::size_t samples = 0;
  std::size_t positions = 0;
  std::size_t orders = 0;
  /// Requests that reached servers and whose tenant was checked.
  std::size_t tenants = 0;
};

/// @param counts receives the numbers of checked observations. @return all violations.
std::vector<violation> check_soak(soak_records const& seen, soak_counts& counts);

}  // namespace frostline::testing
