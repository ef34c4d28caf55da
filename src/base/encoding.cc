#include "base/encoding.h"

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <cstdio>

namespace frostline {

std::string base64_encode(std::string_view bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  auto const* input = reinterpret_cast<const unsigned char*>(bytes.data());
  auto* output = reinterpret_cast<unsigned char*>(text.data());
  int const length = EVP_EncodeBlock(output, input, static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::optional<std::string> base64_decode(std::string_view text) {
  if (text.empty()) return std::string();
  if (text.size() % 4 != 0) return std::nullopt;
  std::string bytes(text.size() / 4 * 3, '\0');
  auto const* input = reinterpret_cast<const unsigned char*>(text.data());
  auto* output = reinterpret_cast<unsigned char*>(bytes.data());
  int const length = EVP_DecodeBlock(output, input, static_cast<int>(text.size()));
  // OpenSSL skips spaces and line ends around the text.
  if (length < 0 || static_cast<std::size_t>(length) != bytes.size()) return std::nullopt;
  std::size_t const content_end = text.find('=');
  if (content_end < text.size() - 2) return std::nullopt;
  if (content_end == text.size() - 2 && !text.ends_with('=')) return std::nullopt;
  std::size_t padding = 0;
  if (text.ends_with("==")) {
    padding = 2;
  } else if (text.ends_with('=')) {
    padding = 1;
  }
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return bytes;
}

std::string make_unique_token() {
  std::array<unsigned char, 16> bits{};
  RAND_bytes(bits.data(), static_cast<int>(bits.size()));
  constexpr char k_digits[] = "0123456789abcdef";
  std::string token;
  token.reserve(bits.size() * 2);
  for (unsigned char byte : bits) {
    token.push_back(k_digits[byte >> 4]);
    token.push_back(k_digits[byte & 15]);
  }
  return token;
}

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
  return hash_bytes(candidate, hash_bytes(key));
}

}  // namespace frostline
