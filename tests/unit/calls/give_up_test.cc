/// @file What callers are told of requests that were given up.

#include "calls/give_up.h"

#include <CppUTest/TestHarness.h>

using namespace frostline;
using namespace frostline::calls;

TEST_GROUP(give_up_test){
    static std::string retry_after(call_failure reason,
                                   std::optional<milliseconds> next_try = std::nullopt){
        return std::string(http::header(give_up_answer(reason, next_try), "Retry-After"));
}
}
;

TEST(give_up_test, request_that_will_be_tried_soon_is_told_when) {
  STRCMP_EQUAL("1", retry_after(call_failure::quarantined, milliseconds(0)).c_str());
  STRCMP_EQUAL("1", retry_after(call_failure::quarantined, milliseconds(800)).c_str());
  STRCMP_EQUAL("2", retry_after(call_failure::quarantined, milliseconds(1200)).c_str());
}

TEST(give_up_test, request_that_is_tried_late_or_never_is_told_a_minute) {
  STRCMP_EQUAL("60", retry_after(call_failure::quarantined, milliseconds(290'000)).c_str());
  STRCMP_EQUAL("60", retry_after(call_failure::quarantined).c_str());
}

TEST(give_up_test, only_what_has_not_run_is_told_to_come_back) {
  STRCMP_EQUAL("0.3", retry_after(call_failure::servers_full).c_str());
  STRCMP_EQUAL("", retry_after(call_failure::outcome_unknown).c_str());
  STRCMP_EQUAL("", retry_after(call_failure::deadline_unknown).c_str());
}
