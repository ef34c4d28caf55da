/// @file Fuzzes the parsers of engine event streams, engine load reports and the machine list.

#include "engines/engine_client.h"
#include "engines/sse_parser.h"
#include "machines/machine_list.h"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
  std::string const text(reinterpret_cast<char const*>(data), size);
  frostline::engines::sse_parser parser;
  std::size_t const half = size / 2;
  for (std::string const& piece : {text.substr(0, half), text.substr(half)}) {
    for (std::string const& payload : parser.feed(piece)) {
      auto const event = frostline::engines::parse_token_event(payload);
      // The parser must reject tokens without a weight version.
      if (event && event->tokens > 0 && event->version == 0) __builtin_trap();
    }
  }
  frostline::engines::parse_load_report(text);
  frostline::machines::parse_machine_list(text);
  return 0;
}
