/// @file Request targets with values of any content.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace frostline::http {

struct query_parameter {
  std::string_view name;
  std::string_view value;
};

/// Returns `path` with a query. Values are percent-encoded (RFC 3986, section 2.1), except for
/// unreserved characters and slashes, so that no value can end its parameter or the target.
std::string make_target(std::string_view path, std::initializer_list<query_parameter> query);

/// Returns the text that a part of a received target stands for; `encoded` itself if an escape
/// sequence is malformed. A plus sign stands for itself.
std::string percent_decode(std::string_view encoded);

}  // namespace frostline::http
