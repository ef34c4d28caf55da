/// @file Keeps what a node knows of crashes in the record store, so that it outlasts the node.
///
/// Only requests under which two servers or more have ended are kept: one server that ends has up
/// to eight requests with it, and a record for each would cost the store 4,800 writes when 600
/// servers end together. All that a node keeps is one record, written when it changes.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "kv/record_store.h"
#include "quarantine/evidence_record.h"

namespace frostline::quarantine {

/// References outlive the keeper.
struct keeper_dependencies {
  asio::io_context& context;
  kv::record_store& store;
  std::string node;
  /// Where this node takes reports.
  endpoint self;
  std::string incarnation;
  /// What is to be kept now.
  std::function<std::vector<kept_evidence>()> select;
};

class evidence_keeper {
 public:
  explicit evidence_keeper(keeper_dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  /// Writes what is to be kept now, if the record differs; again until that has succeeded.
  void keep();
  /// As `keep`, but only if there is a record: something in it may be over.
  void refresh();
  /// Whether the record holds this many lives of servers of a request.
  bool holds(fingerprint const& request, std::size_t servers) const;
  std::uint64_t writes() const { return writes_; }

 private:
  bool is_current() const { return written_ && *written_ == dependencies_.select(); }
  awaitable<void> write_loop();
  awaitable<bool> write(std::vector<kept_evidence> requests);

  keeper_dependencies dependencies_;
  /// What the store has taken; nothing before the first write.
  std::optional<std::vector<kept_evidence>> written_;
  bool writing_ = false;
  std::uint64_t writes_ = 0;
};

}  // namespace frostline::quarantine
