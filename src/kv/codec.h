/// @file The published JSON form of etcd v3's range, txn, lease and watch messages.
#pragma once

#include <boost/json.hpp>
#include <optional>

#include "kv/types.h"

namespace frostline::kv {

/// First key after all keys that begin with `prefix`.
std::string prefix_end(std::string_view prefix);

std::string encode_range(std::string_view key, std::string_view range_end);
std::string encode_transaction(transaction const& change);
std::string encode_watch(std::string_view prefix, revision start);

std::optional<range_answer> decode_range(std::string_view json);
std::optional<transaction_answer> decode_transaction(std::string_view json);
/// One line of a watch stream.
std::optional<watch_batch> decode_watch(std::string_view json);

/// A 64-bit number that may stand as a string, as the JSON mapping of protobuf wants it.
std::uint64_t read_number(boost::json::object const& object, std::string_view key);
/// A base64 field; empty if absent or malformed.
std::string read_bytes(boost::json::object const& object, std::string_view key);
/// The JSON form of an entry, as range and watch answers carry it.
boost::json::object write_entry(key_value const& entry);

}  // namespace frostline::kv
