#include "quarantine/fingerprint.h"

#include <openssl/evp.h>

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <memory>

namespace frostline::quarantine {
namespace {

struct context_deleter {
  void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};
using digest_context = std::unique_ptr<EVP_MD_CTX, context_deleter>;

/// Hashes the length first, so that bytes can't move from one part to the next.
void add_part(EVP_MD_CTX* digest, std::string_view part) {
  std::uint64_t const length = part.size();
  EVP_DigestUpdate(digest, &length, sizeof(length));
  EVP_DigestUpdate(digest, part.data(), part.size());
}

}  // namespace

fingerprint fingerprint::of(request_parts const& parts) {
  digest_context const digest(EVP_MD_CTX_new());
  EVP_DigestInit_ex(digest.get(), EVP_sha256(), nullptr);
  for (std::string_view const part :
       {parts.caller, parts.host, parts.method, parts.target, parts.body}) {
    add_part(digest.get(), part);
  }
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> whole{};
  EVP_DigestFinal_ex(digest.get(), whole.data(), nullptr);
  fingerprint result;
  std::copy_n(whole.begin(), k_bytes, result.bytes_.begin());
  return result;
}

std::string fingerprint::to_string() const {
  std::string text;
  boost::algorithm::hex_lower(bytes_.begin(), bytes_.end(), std::back_inserter(text));
  return text;
}

std::optional<fingerprint> fingerprint::parse(std::string_view text) {
  if (text.size() != 2 * k_bytes) return std::nullopt;
  fingerprint result;
  try {
    boost::algorithm::unhex(text.begin(), text.end(), result.bytes_.begin());
  } catch (boost::algorithm::hex_decode_error const&) {
    return std::nullopt;
  }
  return result;
}

}  // namespace frostline::quarantine
