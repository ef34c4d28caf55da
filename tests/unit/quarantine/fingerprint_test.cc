/// @file Which requests have the same fingerprint.

#include "quarantine/fingerprint.h"

#include <CppUTest/TestHarness.h>

using namespace frostline::quarantine;

namespace {

constexpr request_parts k_request{"tenant", "host", "POST", "/a/b?c=d", "body"};

}  // namespace

TEST_GROUP(fingerprint_test){};

TEST(fingerprint_test, equal_parts_give_equal_fingerprints) {
  STRCMP_EQUAL(fingerprint::of(k_request).to_string().c_str(),
               fingerprint::of(k_request).to_string().c_str());
  LONGS_EQUAL(32, fingerprint::of(k_request).to_string().size());
}

TEST(fingerprint_test, each_part_changes_the_fingerprint) {
  auto const known = fingerprint::of(k_request);
  CHECK(known != fingerprint::of({"other", "host", "POST", "/a/b?c=d", "body"}));
  CHECK(known != fingerprint::of({"tenant", "other", "POST", "/a/b?c=d", "body"}));
  CHECK(known != fingerprint::of({"tenant", "host", "GET", "/a/b?c=d", "body"}));
  CHECK(known != fingerprint::of({"tenant", "host", "POST", "/a/b?c=e", "body"}));
  CHECK(known != fingerprint::of({"tenant", "host", "POST", "/a/b?c=d", "body2"}));
}

TEST(fingerprint_test, moving_bytes_between_parts_changes_the_fingerprint) {
  CHECK(fingerprint::of({"", "h", "POST", "/ab", "c"}) !=
        fingerprint::of({"", "h", "POST", "/a", "bc"}));
  CHECK(fingerprint::of({"t", "h", "POST", "/", ""}) !=
        fingerprint::of({"", "th", "POST", "/", ""}));
}

TEST(fingerprint_test, valid_text_is_parsed_and_invalid_text_rejected) {
  auto const known = fingerprint::of(k_request);
  CHECK(fingerprint::parse(known.to_string()) == known);
  CHECK(!fingerprint::parse(""));
  CHECK(!fingerprint::parse("0123"));
  CHECK(!fingerprint::parse("g123456789abcdef0123456789abcdef"));
}
