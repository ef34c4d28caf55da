/// @file What the gateway needs from the platform that it stands on. An adapter only translates;
/// the gateway keeps decisions, state and recovery.
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

/// Keys under which the platform itself writes to the record store.
struct platform_keys {
  /// One record for each server.
  std::string servers_prefix;
  /// The newest configuration, whole.
  std::string configuration;
  /// All that operators and trainers write.
  std::string operators_prefix;
};

/// What an operator's or a trainer's record asks for.
struct operator_request {
  enum class request_kind { name_version, empty_machine };
  request_kind kind = request_kind::name_version;
  std::string model;
  std::uint64_t version = 0;
  std::string machine;
};

/// A client's call about a batch job.
struct job_request {
  rpc::JobCallT call;
  /// Longest time that the client waits, if it said so.
  std::optional<milliseconds> deadline;
};

class platform_adapter {
 public:
  virtual ~platform_adapter() = default;

  virtual kv::record_store& store() = 0;
  virtual engines::engine_control& engines() = 0;
  /// Null if the platform has none for this system.
  virtual usage::duty_service* duty_service() = 0;
  virtual calls::header_names const& names() const = 0;
  virtual platform_keys const& keys() const = 0;

  /// @param fault set to what is wrong, without any key of a tenant, if nothing is returned.
  virtual std::optional<calls::configuration> parse_configuration(std::string_view value,
                                                                  std::string& fault) = 0;
  virtual std::optional<directory::server> parse_server(std::string_view key,
                                                        std::string_view value) = 0;
  virtual std::optional<operator_request> parse_request(std::string_view key,
                                                        std::string_view value) = 0;
  /// The record that tells the operator that a machine holds nothing any more.
  virtual kv::operation report_empty(std::string const& machine) = 0;

  /// A call about a job that exists, if the request is one.
  virtual std::optional<job_request> parse_job_request(http::request const& message) = 0;
  /// A job in the body of a request to a job route; nothing if it is malformed.
  virtual std::optional<job_request> parse_submission(http::request const& message) = 0;
  virtual http::response write_job_reply(rpc::JobCallT const& call,
                                         rpc::JobReplyT const& reply) = 0;
};

}  // namespace frostline::gateway
