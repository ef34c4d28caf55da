/// @file Fuzzes the decoders of the key-value service's answers.

#include "base/encoding.h"
#include "kv/codec.h"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
  std::string const text(reinterpret_cast<char const*>(data), size);
  frostline::kv::decode_range(text);
  frostline::kv::decode_transaction(text);
  frostline::kv::decode_watch(text);
  auto const bytes = frostline::base64_decode(text);
  // Decoding and encoding must preserve the length of the text.
  if (bytes && frostline::base64_encode(*bytes).size() != text.size()) __builtin_trap();
  return 0;
}
