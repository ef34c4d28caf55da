/// @file Tests for the parser of servers' load reports.

#include "balancing/load_report.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace frostline::balancing;

TEST_GROUP(load_report_test){};

TEST(load_report_test, three_values_are_running_waiting_and_slots) {
  auto const report = parse_load_report("3,1,8");
  CHECK(report.has_value());
  LONGS_EQUAL(3, report->running);
  LONGS_EQUAL(1, report->waiting);
  LONGS_EQUAL(8, report->slots);
  CHECK(!report->percentage);
}

TEST(load_report_test, spaces_around_values_are_allowed) {
  auto const report = parse_load_report(" 3, 0 ,8,\t250 ");
  CHECK(report.has_value());
  LONGS_EQUAL(250, *report->percentage);
}

TEST(load_report_test, percentage_is_clamped) {
  LONGS_EQUAL(25, *parse_load_report("0,0,1,0")->percentage);
  LONGS_EQUAL(1000, *parse_load_report("0,0,1,999999")->percentage);
}

TEST(load_report_test, malformed_texts_are_rejected) {
  for (char const* text :
       {"", ",", "3", "3,0", "3,0,", ",0,8", "3,0,8,", "3,0,8,100,1", "a,0,8", "3,0,8x", "3;0;8",
        "0x3,0,8", "3.5,0,8", "+3,0,8", "3 1,0,8", "3,0,8,fast"}) {
    CHECK_TEXT(!parse_load_report(text), text);
  }
}

TEST(load_report_test, values_out_of_bounds_are_rejected) {
  for (char const* text :
       {"-1,0,8", "0,-1,8", "0,0,-8", "0,0,0", "0,0,0,100", "0,0,8,-100", "1000001,0,8",
        "0,1000001,8", "0,0,1000001", "0,0,8,1000001", "99999999999999999999,0,8"}) {
    CHECK_TEXT(!parse_load_report(text), text);
  }
  CHECK(parse_load_report("1000000,1000000,1000000,1000000").has_value());
}

TEST(load_report_test, huge_texts_are_rejected) {
  CHECK(!parse_load_report("3,0," + std::string(100, '0') + "8"));
  CHECK(!parse_load_report(std::string(1'000'000, ',')));
}

TEST(load_report_test, bytes_that_are_not_text_are_rejected) {
  CHECK(!parse_load_report(std::string_view("3,0,8\0", 6)));
  CHECK(!parse_load_report("\xff\xfe,0,8"));
}
