/// @file Text that is almost base64. Guards against bodies that are taken although their text was
/// shortened or altered on the way.

#include "base/encoding.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;

TEST_GROUP(encoding_test){};

TEST(encoding_test, text_of_every_length_is_restored) {
  std::string bytes;
  for (int length = 0; length < 300; ++length) {
    auto const decoded = base64_decode(base64_encode(bytes));
    CHECK(decoded.has_value());
    CHECK(*decoded == bytes);
    bytes += static_cast<char>(length);
  }
}

TEST(encoding_test, text_with_other_characters_is_refused) {
  for (char const* text : {"    AAAA", "AAAA   \n", "AAAA----", "AA=A", "A===", "=AAA", "AAAA====A",
                           "AAA", "AA A", "A\nAA"}) {
    CHECK_FALSE(base64_decode(text).has_value());
  }
}
