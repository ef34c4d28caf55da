#include "jobs/job_check.h"

#include <algorithm>

#include "http/syntax.h"

namespace frostline::jobs {

std::string find_fault(rpc::JobItemT const& item) {
  if (!http::is_identifier(item.id)) return "id can't be sent in a header";
  if (!http::is_path_target(item.path)) return "path is not a request target";
  for (auto const& header : item.headers) {
    if (!http::is_field_name(header->name)) return "a header's name is malformed";
    if (!http::is_field_value(header->value)) return "a header's value can't be sent";
  }
  return item.scorer ? find_fault(*item.scorer) : std::string();
}

std::string find_fault(rpc::ScorerCallT const& call) {
  if (!http::is_identifier(call.id)) return "scorer: id can't be sent in a header";
  if (!http::is_identifier(call.host)) return "scorer: host can't be sent in a header";
  if (!http::is_path_target(call.path)) return "scorer: path is not a request target";
  return {};
}

std::string find_fault(rpc::JobRecordT const& job) {
  if (!http::is_field_value(job.host)) return "host can't be sent in a header";
  if (!http::is_field_value(job.tenant)) return "tenant can't be sent in a header";
  for (std::size_t place = 0; place < job.items.size(); ++place) {
    std::string const fault = find_fault(*job.items[place]);
    if (!fault.empty()) return "item " + std::to_string(place) + ": " + fault;
  }
  return {};
}

}  // namespace frostline::jobs
