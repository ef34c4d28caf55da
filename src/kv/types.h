/// @file Data model of the key-value service, which follows etcd v3.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace frostline::kv {

using revision = std::uint64_t;
using lease_id = std::uint64_t;

struct key_value {
  std::string key;
  std::string value;
  revision create_revision = 0;
  revision mod_revision = 0;
  /// Lease with which the entry expires; 0 if none.
  lease_id lease = 0;
};

struct range_answer {
  revision store_revision = 0;
  std::vector<key_value> entries;
};

/// Holds if the key's modification revision equals `mod_revision`; 0 means that the key is absent.
struct compare {
  std::string key;
  revision mod_revision = 0;
};

enum class operation_kind { put, remove };

struct operation {
  operation_kind kind = operation_kind::put;
  std::string key;
  std::string value;
  /// Lease to bind the entry to; 0 for none.
  lease_id lease = 0;
};

/// Applies `on_success` if all comparisons hold; otherwise reads the keys of `read_on_failure`.
struct transaction {
  std::vector<compare> compares;
  std::vector<operation> on_success;
  std::vector<std::string> read_on_failure;
};

struct transaction_answer {
  bool succeeded = false;
  revision store_revision = 0;
  /// Entries of `read_on_failure`, if a comparison failed.
  std::vector<key_value> read;
};

struct watch_event {
  bool deleted = false;
  key_value entry;
};

struct watch_batch {
  revision store_revision = 0;
  std::vector<watch_event> events;
  /// The requested revision was compacted: the caller has to list the range again.
  bool compacted = false;
};

}  // namespace frostline::kv
