/// @file Accessors for fields of JSON bodies, with defaults for absent or mistyped fields.
#pragma once

#include <boost/json.hpp>
#include <optional>
#include <string>

#include "http/message.h"

namespace frostline {

inline std::optional<boost::json::object> parse_json_object(std::string_view text) {
  boost::system::error_code failure;
  auto parsed = boost::json::parse(text, failure);
  if (failure || !parsed.is_object()) return std::nullopt;
  return std::move(parsed.as_object());
}

/// Returns false if parsing the text would make more than `limit` values and keys. Does not check
/// the text otherwise.
bool has_at_most_values(std::string_view json_text, std::size_t limit);

inline std::string json_text(boost::json::object const& object, std::string_view key,
                             std::string_view fallback = {}) {
  auto const* found = object.if_contains(key);
  if (found == nullptr || !found->is_string()) return std::string(fallback);
  return std::string(found->as_string());
}

inline std::int64_t json_number(boost::json::object const& object, std::string_view key,
                                std::int64_t fallback = 0) {
  auto const* found = object.if_contains(key);
  if (found == nullptr) return fallback;
  boost::system::error_code failure;
  auto const number = found->to_number<std::int64_t>(failure);
  return failure ? fallback : number;
}

/// Returns null if the field is absent or not an array.
inline boost::json::array const* json_list(boost::json::object const& object,
                                           std::string_view key) {
  auto const* found = object.if_contains(key);
  return found == nullptr ? nullptr : found->if_array();
}

/// Returns the field if it is a nonnegative integer, std::nullopt otherwise.
inline std::optional<std::uint64_t> json_unsigned(boost::json::object const& object,
                                                  std::string_view key) {
  auto const* found = object.if_contains(key);
  if (found == nullptr || !found->is_number()) return std::nullopt;
  boost::system::error_code failure;
  auto const number = found->to_number<std::uint64_t>(failure);
  if (failure) return std::nullopt;
  return number;
}

inline bool json_flag(boost::json::object const& object, std::string_view key,
                      bool fallback = false) {
  auto const* found = object.if_contains(key);
  return found != nullptr && found->is_bool() ? found->as_bool() : fallback;
}

inline http::response json_response(http::status code, boost::json::object const& body) {
  return http::make_response(code, boost::json::serialize(body), http::k_json);
}

}  // namespace frostline
