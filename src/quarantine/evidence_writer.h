/// @file Stores a node's crash evidence in the record store, so that it survives the node.
///
/// All evidence of a node is one record, written when it changes. With one record per request, many
/// writes would be needed when several servers crash together.
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

/// References must outlive the writer.
struct evidence_writer_dependencies {
  asio::io_context& context;
  kv::record_store& store;
  std::string node;
  /// Address at which this node accepts crash reports.
  endpoint self;
  std::string incarnation;
  /// Returns the evidence that should be stored now.
  std::function<std::vector<stored_evidence>()> select;
};

class evidence_writer {
 public:
  explicit evidence_writer(evidence_writer_dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  /// Writes the selected evidence if it differs from the stored record, and retries until the write
  /// succeeds.
  void update();
  /// Like `update`, but only if a record is stored, to remove evidence that no longer applies.
  void update_existing();
  /// Returns true if the stored record has at least `servers` server incarnations for the request.
  bool has_stored(fingerprint const& request, std::size_t servers) const;
  std::uint64_t writes() const { return writes_; }

 private:
  bool is_current() const { return written_ && *written_ == dependencies_.select(); }
  awaitable<void> write_loop();
  awaitable<bool> write(std::vector<stored_evidence> requests);

  evidence_writer_dependencies dependencies_;
  /// Content of the last successful write; empty before the first.
  std::optional<std::vector<stored_evidence>> written_;
  bool writing_ = false;
  std::uint64_t writes_ = 0;
};

}  // namespace frostline::quarantine
