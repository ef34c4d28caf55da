/// @file Checks of text from outside before it becomes a part of a request. Beast writes names,
/// values and targets to the connection as they are, so that a line end in one of them would begin
/// another header or another request.
#pragma once

#include <cstddef>
#include <string_view>

namespace frostline::http {

/// Longest field name or value in bytes; Beast throws std::length_error for a longer one.
inline constexpr std::size_t k_max_field_bytes = 65'533;

/// Returns true if `text` is a token (RFC 9110, section 5.6.2) that fits into a field.
bool is_field_name(std::string_view text);

/// Returns true if `text` has no control characters but tabs (RFC 9110, section 5.5) and fits into
/// a field. A recipient may strip spaces and tabs at both ends.
bool is_field_value(std::string_view text);

/// Returns true if `text` is a value that recipients return unchanged: not empty, and without
/// spaces or tabs at its ends.
bool is_identifier(std::string_view text);

/// Returns true if `text` begins with a slash and has no spaces or control characters, so that it
/// is a whole request target.
bool is_path_target(std::string_view text);

}  // namespace frostline::http
