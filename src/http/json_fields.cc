#include "http/json_fields.h"

namespace frostline {
namespace {

/// Each value or key, but for the first, follows one of these outside strings.
bool is_separator(char character) {
  return character == ',' || character == ':' || character == '[' || character == '{';
}

}  // namespace

bool has_at_most_values(std::string_view json_text, std::size_t limit) {
  if (json_text.size() < limit) return true;
  std::size_t values = 1;
  bool is_in_string = false;
  for (std::size_t position = 0; position < json_text.size(); ++position) {
    char const next = json_text[position];
    if (next == '"') is_in_string = !is_in_string;
    if (is_in_string && next == '\\') ++position;
    if (!is_in_string && is_separator(next)) ++values;
    if (values > limit) return false;
  }
  return true;
}

}  // namespace frostline
