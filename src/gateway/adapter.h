/// @file Interface to the platform that the gateway runs on. An adapter only translates; decisions,
/// state and recovery belong to the gateway.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/asio.h"
#include "calls/caller.h"
#include "calls/header_names.h"
#include "calls/route_table.h"
#include "directory/server_directory.h"
#include "engines/engine_control.h"
#include "http/message.h"
#include "kv/record_store.h"
#include "schema/frostline_generated.h"
#include "usage/duty_service.h"

namespace frostline::gateway {

/// Record store keys that the platform writes.
struct platform_keys {
  /// Prefix of the servers' records, one per server.
  std::string servers_prefix;
  /// Key of the current configuration.
  std::string configuration;
  /// Prefix of all records that operators and trainers write.
  std::string operators_prefix;
};

/// Request of an operator or a trainer, parsed from its record.
struct operator_request {
  enum class request_kind { name_version, empty_machine };
  request_kind kind = request_kind::name_version;
  std::string model;
  std::uint64_t version = 0;
  std::string machine;
};

/// Call of a client about a batch job.
struct job_request {
  rpc::JobCallT call;
  /// How long the client waits for the answer; nullopt if the request does not say.
  std::optional<milliseconds> deadline;
};

class platform_adapter {
 public:
  virtual ~platform_adapter() = default;

  virtual kv::record_store& store() = 0;
  virtual engines::engine_control& engines() = 0;
  /// Null if the platform has no duty service.
  virtual usage::duty_service* duty_service() = 0;
  virtual calls::header_names const& names() const = 0;
  virtual platform_keys const& keys() const = 0;

  /// @param fault set to the reason if nullopt is returned. Never contains a tenant's key.
  virtual std::optional<calls::configuration> parse_configuration(std::string_view value,
                                                                  std::string& fault) = 0;
  /// @return nullopt if the record is malformed.
  virtual std::optional<directory::server> parse_server(std::string_view key,
                                                        std::string_view value) = 0;
  /// @return nullopt if the record holds no valid request.
  virtual std::optional<operator_request> parse_request(std::string_view key,
                                                        std::string_view value) = 0;
  /// Returns the write that reports a machine as empty to the operator.
  virtual kv::operation report_empty(std::string const& machine) = 0;

  /// Returns a call about an existing job, or nullopt if the request is not such a call.
  virtual std::optional<job_request> parse_job_request(http::request const& message) = 0;
  /// Parses the job in the body of a request to a job route. @return nullopt if it is malformed.
  virtual std::optional<job_request> parse_submission(http::request const& message) = 0;
  virtual http::response write_job_reply(rpc::JobCallT const& call,
                                         rpc::JobReplyT const& reply) = 0;
};

}  // namespace frostline::gateway
