/// @file The number of values of a JSON text is found before it is parsed.

#include "http/json_fields.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;

TEST_GROUP(json_fields_test){};

// Guards against bodies of legal size that are many times as large once they are parsed.
TEST(json_fields_test, values_are_counted_outside_strings) {
  CHECK_TRUE(has_at_most_values("[1,2,3]", 4));
  CHECK_FALSE(has_at_most_values("[1,2,3]", 3));
  CHECK_TRUE(has_at_most_values(R"({"a,\",[{":1})", 3));
  CHECK_FALSE(has_at_most_values(R"({"a":1,"b":[2]})", 5));
}
