#include <CppUTest/TestHarness.h>

#include "base/encoding.h"
#include "kv/codec.h"

using namespace frostline;

TEST_GROUP(kv_codec_test){};

TEST(kv_codec_test, base64_round_trips_every_length) {
  std::string bytes;
  for (int length = 0; length < 300; ++length) {
    CHECK(base64_decode(base64_encode(bytes)) == bytes);
    bytes.push_back(static_cast<char>(length * 7));
  }
  CHECK_FALSE(base64_decode("abc"));
  CHECK_FALSE(base64_decode("****"));
}

TEST(kv_codec_test, prefix_end_follows_all_keys_of_the_prefix) {
  STRCMP_EQUAL("/frostlinf", kv::prefix_end("/frostline").c_str());
  CHECK(kv::prefix_end(std::string("a\xff")) == "b");
  CHECK(kv::prefix_end("\xff") == std::string(1, '\0'));
}

TEST(kv_codec_test, numbers_may_be_encoded_as_strings) {
  auto const object = boost::json::parse(R"({"a":"18446744073709551615","b":7,"c":true})");
  CHECK(kv::read_number(object.as_object(), "a") == 18446744073709551615ULL);
  LONGS_EQUAL(7, kv::read_number(object.as_object(), "b"));
  LONGS_EQUAL(0, kv::read_number(object.as_object(), "c"));
}

TEST(kv_codec_test, answers_without_a_revision_are_malformed) {
  CHECK_FALSE(kv::decode_range("{}"));
  CHECK_FALSE(kv::decode_range("{"));
  CHECK_FALSE(kv::decode_transaction(R"({"succeeded":true})"));
  CHECK(kv::decode_transaction(R"({"header":{"revision":"3"},"succeeded":true})")->succeeded);
}

TEST(kv_codec_test, decodes_watch_events_and_compaction) {
  auto const batch = kv::decode_watch(
      R"({"result":{"header":{"revision":"9"},"events":[{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"9"}},{"kv":{"key":"Yg==","value":"Yw==","mod_revision":"8"}}]}})");
  LONGS_EQUAL(2, batch->events.size());
  CHECK(batch->events[0].deleted);
  STRCMP_EQUAL("c", batch->events[1].entry.value.c_str());
  CHECK(kv::decode_watch(
            R"({"result":{"header":{"revision":"9"},"canceled":true,"compact_revision":"5"}})")
            ->compacted);
}
