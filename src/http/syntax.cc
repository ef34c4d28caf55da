#include "http/syntax.h"

#include <algorithm>
#include <boost/url/grammar/alnum_chars.hpp>
#include <boost/url/grammar/lut_chars.hpp>

namespace frostline::http {
namespace {

namespace grammar = boost::urls::grammar;

constexpr auto k_token_chars = grammar::lut_chars(grammar::alnum_chars) + "!#$%&'*+-.^_`|~";
constexpr unsigned char k_delete = 0x7f;

bool is_control(char character) {
  auto const code = static_cast<unsigned char>(character);
  return code < ' ' || code == k_delete;
}

bool is_blank(char character) { return character == ' ' || character == '\t'; }

}  // namespace

bool is_field_name(std::string_view text) {
  return !text.empty() && text.size() <= k_max_field_bytes &&
         std::all_of(text.begin(), text.end(), k_token_chars);
}

bool is_field_value(std::string_view text) {
  return text.size() <= k_max_field_bytes &&
         std::all_of(text.begin(), text.end(),
                     [](char character) { return !is_control(character) || is_blank(character); });
}

bool is_identifier(std::string_view text) {
  return !text.empty() && is_field_value(text) && !is_blank(text.front()) && !is_blank(text.back());
}

bool is_path_target(std::string_view text) {
  return text.starts_with('/') && std::none_of(text.begin(), text.end(), [](char character) {
           return is_control(character) || is_blank(character);
         });
}

}  // namespace frostline::http
