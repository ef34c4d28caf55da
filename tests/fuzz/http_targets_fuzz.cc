/// @file Fuzzes text that becomes a part of a request: what passes the checks is parsed as one
/// request with the same parts.

#include "http/message.h"
#include "http/syntax.h"
#include "http/target.h"

using namespace frostline::http;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
  std::string const text(reinterpret_cast<char const*>(data), size);
  std::string const encoded = make_target("/p", {{"a", text}, {"b", "1"}});
  if (!is_path_target(encoded)) __builtin_trap();
  if (percent_decode(encoded.substr(5, encoded.size() - 9)) != text) __builtin_trap();
  std::size_t const half = size / 2;
  std::string const name = text.substr(0, half);
  std::string const value = text.substr(half);
  if (!is_field_name(name) || !is_identifier(value)) return 0;
  std::string const target = "/" + value;
  request message(verb::get, is_path_target(target) ? target : encoded, 11);
  message.set(name, value);
  std::ostringstream written;
  written << message;
  std::string const bytes = written.str();
  bhttp::request_parser<bhttp::string_body> parser;
  parser.eager(true);
  beast::error_code failure;
  std::size_t const used = parser.put(boost::asio::buffer(bytes), failure);
  // Names that frame a message, such as Content-Length, are refused or read anew; the message ends
  // where it was written all the same.
  if (failure) return 0;
  if (used != bytes.size() && !parser.get().has_content_length()) __builtin_trap();
  if (to_string_view(parser.get().target()) != to_string_view(message.target())) __builtin_trap();
  return 0;
}
