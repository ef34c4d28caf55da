/// @file Base64, random tokens and rendezvous hashing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace frostline {

std::string base64_encode(std::string_view bytes);

/// @return std::nullopt if `text` is not padded base64.
std::optional<std::string> base64_decode(std::string_view text);

/// Returns 128 random bits as 32 hexadecimal digits.
std::string make_unique_token();

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the weight of `candidate` for `key`; the candidate with the highest weight owns the key.
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

}  // namespace frostline
