/// @file Tests for the Retry-After header of the response that a caller gets if no server answered
/// the request.

#include <CppUTest/TestHarness.h>

#include "calls/call_failure.h"

using namespace frostline;
using namespace frostline::calls;

TEST_GROUP(give_up_test){
    static std::string retry_after(call_failure reason,
                                   std::optional<milliseconds> retry_delay = std::nullopt){
        return std::string(http::header(failure_response(reason, retry_delay), "Retry-After"));
}
}
;

TEST(give_up_test, retry_after_is_the_rounded_up_retry_delay) {
  STRCMP_EQUAL("1", retry_after(call_failure::quarantined, milliseconds(0)).c_str());
  STRCMP_EQUAL("1", retry_after(call_failure::quarantined, milliseconds(800)).c_str());
  STRCMP_EQUAL("2", retry_after(call_failure::quarantined, milliseconds(1200)).c_str());
}

TEST(give_up_test, retry_after_is_at_most_a_minute) {
  STRCMP_EQUAL("60", retry_after(call_failure::quarantined, milliseconds(290'000)).c_str());
  STRCMP_EQUAL("60", retry_after(call_failure::quarantined).c_str());
}

// Guards against a status that promises "not run" for a reason that was left out.
TEST(give_up_test, reasons_that_do_not_say_not_run_get_no_status_that_promises_it) {
  for (call_failure const reason : {call_failure::none, call_failure::outcome_unknown,
                                    call_failure::caller_left, call_failure::deadline_unknown}) {
    http::response const answer = failure_response(reason);
    CHECK(answer.result() == http::status::bad_gateway ||
          answer.result() == http::status::gateway_timeout);
    STRCMP_EQUAL("", std::string(http::header(answer, "Retry-After")).c_str());
  }
}

TEST(give_up_test, only_requests_that_have_not_run_get_retry_after) {
  STRCMP_EQUAL("0.3", retry_after(call_failure::servers_full).c_str());
  STRCMP_EQUAL("", retry_after(call_failure::outcome_unknown).c_str());
  STRCMP_EQUAL("", retry_after(call_failure::deadline_unknown).c_str());
}
