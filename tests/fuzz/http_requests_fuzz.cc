/// @file Fuzzes HTTP request parsing with header and body limits.

#include "http/message.h"

using namespace frostline::http;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
  bhttp::request_parser<bhttp::string_body> parser;
  parser.eager(true);
  parser.header_limit(4096);
  parser.body_limit(4096);
  beast::error_code failure;
  parser.put(boost::asio::buffer(data, size), failure);
  if (failure || !parser.is_done()) return 0;
  auto const& message = parser.get();
  bool const chunked = message.chunked();
  bool const sized = message.find(field::content_length) != message.end();
  // Accepting both framings would allow request smuggling.
  if (chunked && sized) __builtin_trap();
  return 0;
}
