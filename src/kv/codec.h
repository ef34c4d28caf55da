/// @file JSON encoding of the etcd v3 range, txn, lease and watch messages.
#pragma once

#include <boost/json.hpp>
#include <optional>

#include "kv/types.h"

namespace frostline::kv {

/// Returns the exclusive end of the range of all keys that begin with `prefix`.
std::string prefix_end(std::string_view prefix);

std::string encode_range(std::string_view key, std::string_view range_end);
std::string encode_transaction(transaction const& change);
std::string encode_watch(std::string_view prefix, revision start);

std::optional<range_answer> decode_range(std::string_view json);
std::optional<transaction_answer> decode_transaction(std::string_view json);
/// Decodes one line of a watch stream.
std::optional<watch_batch> decode_watch(std::string_view json);

/// Reads an unsigned 64-bit number, which the JSON mapping of protobuf may write as a string.
/// Returns 0 if the field is absent or malformed.
std::uint64_t read_number(boost::json::object const& object, std::string_view key);
/// Decodes a base64 field. Returns an empty string if the field is absent or malformed.
std::string read_bytes(boost::json::object const& object, std::string_view key);
/// Encodes an entry in the form used in range and watch responses.
boost::json::object write_entry(key_value const& entry);

}  // namespace frostline::kv
