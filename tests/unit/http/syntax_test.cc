/// @file Text that would begin another header or request, or that Beast can't hold in a field.

#include "http/syntax.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "http/target.h"

using namespace frostline::http;

TEST_GROUP(syntax_test){};

TEST(syntax_test, line_ends_and_control_characters_are_in_no_part_of_a_message) {
  for (int code = 0; code < 128; ++code) {
    if (code >= ' ' && code != 0x7f) continue;
    std::string const text = std::string("a") + static_cast<char>(code) + "b";
    CHECK_FALSE(is_field_name(text));
    CHECK_EQUAL(code == '\t', is_field_value(text));
    CHECK_FALSE(is_path_target("/" + text));
  }
}

TEST(syntax_test, names_are_tokens) {
  CHECK(is_field_name("X-Frostline_Hint.1"));
  for (char const* text : {"", "a b", "a:", "a\"", "a/b", "\xc3\xbc"}) {
    CHECK_FALSE(is_field_name(text));
  }
}

TEST(syntax_test, identifiers_have_no_spaces_at_their_ends) {
  CHECK(is_identifier("a b"));
  for (char const* text : {"", " a", "a ", "\ta", "a\t"}) CHECK_FALSE(is_identifier(text));
}

TEST(syntax_test, targets_begin_with_a_slash) {
  CHECK(is_path_target("/a/b?c=%20#d"));
  for (char const* text : {"", "a", "http://h/a", "/a b", "*"}) CHECK_FALSE(is_path_target(text));
}

TEST(syntax_test, fields_have_a_longest_size) {
  CHECK(is_field_value(std::string(k_max_field_bytes, 'v')));
  CHECK_FALSE(is_field_value(std::string(k_max_field_bytes + 1, 'v')));
  CHECK_FALSE(is_field_name(std::string(k_max_field_bytes + 1, 'n')));
  CHECK_FALSE(is_identifier(std::string(k_max_field_bytes + 1, 'i')));
}

TEST(syntax_test, encoded_query_values_are_decoded_to_themselves) {
  std::string every_byte;
  for (int code = 0; code < 256; ++code) every_byte += static_cast<char>(code);
  std::string const target = make_target("/p", {{"a", every_byte}, {"b", "1"}});
  CHECK(is_path_target(target));
  std::string const value = target.substr(5, target.size() - 5 - 4);
  CHECK(value.find_first_of("&+#= ") == std::string::npos);
  CHECK(percent_decode(value) == every_byte);
  STRCMP_EQUAL("100%", percent_decode("100%").c_str());
}
