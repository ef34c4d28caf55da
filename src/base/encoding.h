/// @file Base64, random tokens and rendezvous hashing, each by a library.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace frostline {

std::string base64_encode(std::string_view bytes);

/// @return nothing if `text` is not padded base64.
std::optional<std::string> base64_decode(std::string_view text);

/// 128 random bits as 32 hexadecimal digits, unique for all purposes here.
std::string make_unique_token();

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

/// Weight of `candidate` for `key`; the highest weight wins the key (rendezvous hashing).
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

}  // namespace frostline
