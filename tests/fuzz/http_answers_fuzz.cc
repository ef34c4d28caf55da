/// @file Fuzzes the heads of responses: what passes is an answer that may be passed on.

#include "http/response_reader.h"

using namespace frostline::http;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
  beast::flat_buffer received;
  received.commit(
      boost::asio::buffer_copy(received.prepare(size), boost::asio::buffer(data, size)));
  std::string const text(reinterpret_cast<char const*>(data), size);
  head_buffer consumed(received);
  response_parser parser;
  parser.eager(false);
  beast::error_code failure;
  while (!failure && !parser.is_header_done() && consumed.size() > 0) {
    consumed.consume(parser.put(consumed.data(), failure));
  }
  if (failure || !parser.is_header_done()) return 0;
  if (find_head_error(parser.get(), consumed.has_folded_line())) return 0;
  unsigned const status = parser.get().result_int();
  if (status < 100 || status > 599) __builtin_trap();
  std::string const head = text.substr(0, text.size() - consumed.size());
  bool const folded =
      head.find("\n ") != std::string::npos || head.find("\n\t") != std::string::npos;
  if (folded) __builtin_trap();
  for (auto const& line : parser.get()) {
    for (char const character : to_string_view(line.name_string())) {
      if (character <= ' ' || character == 0x7f) __builtin_trap();
    }
  }
  return 0;
}
