/// @file Which requests count as the same.

#include "quarantine/fingerprint.h"

#include <CppUTest/TestHarness.h>

using namespace frostline::quarantine;

namespace {

constexpr request_parts k_request{"tenant", "host", "POST", "/a/b?c=d", "body"};

}  // namespace

TEST_GROUP(fingerprint_test){};

TEST(fingerprint_test, same_parts_give_the_same_text) {
  STRCMP_EQUAL(fingerprint::of(k_request).to_string().c_str(),
               fingerprint::of(k_request).to_string().c_str());
  LONGS_EQUAL(32, fingerprint::of(k_request).to_string().size());
}

TEST(fingerprint_test, each_part_tells_requests_apart) {
  auto const known = fingerprint::of(k_request);
  CHECK(known != fingerprint::of({"other", "host", "POST", "/a/b?c=d", "body"}));
  CHECK(known != fingerprint::of({"tenant", "other", "POST", "/a/b?c=d", "body"}));
  CHECK(known != fingerprint::of({"tenant", "host", "GET", "/a/b?c=d", "body"}));
  CHECK(known != fingerprint::of({"tenant", "host", "POST", "/a/b?c=e", "body"}));
  CHECK(known != fingerprint::of({"tenant", "host", "POST", "/a/b?c=d", "body2"}));
}

TEST(fingerprint_test, bytes_can_not_be_moved_from_one_part_into_the_next) {
  CHECK(fingerprint::of({"", "h", "POST", "/ab", "c"}) !=
        fingerprint::of({"", "h", "POST", "/a", "bc"}));
  CHECK(fingerprint::of({"t", "h", "POST", "/", ""}) !=
        fingerprint::of({"", "th", "POST", "/", ""}));
}

TEST(fingerprint_test, text_is_read_back_and_other_text_is_refused) {
  auto const known = fingerprint::of(k_request);
  CHECK(fingerprint::parse(known.to_string()) == known);
  CHECK(!fingerprint::parse(""));
  CHECK(!fingerprint::parse("0123"));
  CHECK(!fingerprint::parse("g123456789abcdef0123456789abcdef"));
}
