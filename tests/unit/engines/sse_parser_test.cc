#include "engines/sse_parser.h"

#include <CppUTest/TestHarness.h>

#include "engines/engine_client.h"
#include "engines/spans.h"

using namespace frostline::engines;

TEST_GROUP(sse_parser_test) {
  sse_parser parser;
  std::string const event =
      R"({"choices":[{"text":"ab ","finish_reason":null}],"frostline":{"version":3,"tokens":2}})";
};

TEST(sse_parser_test, events_may_be_split_anywhere) {
  std::string const stream = "data: " + event + "\n\ndata: [DONE]\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    sse_parser pieces;
    auto payloads = pieces.feed(stream.substr(0, cut));
    for (auto& later : pieces.feed(stream.substr(cut))) payloads.push_back(std::move(later));
    LONGS_EQUAL(2, payloads.size());
    STRCMP_EQUAL("[DONE]", payloads[1].c_str());
    LONGS_EQUAL(0, pieces.pending());
  }
}

TEST(sse_parser_test, unfinished_event_stays_pending) {
  CHECK(parser.feed("data: half").empty());
  CHECK(parser.pending() > 0);
}

TEST(sse_parser_test, event_has_version_and_tokens) {
  auto const parsed = parse_token_event(event);
  LONGS_EQUAL(3, parsed->version);
  LONGS_EQUAL(2, parsed->tokens);
  STRCMP_EQUAL("ab ", parsed->text.c_str());
  CHECK_FALSE(parsed->finished);
}

TEST(sse_parser_test, tokens_without_a_version_are_malformed) {
  CHECK_FALSE(parse_token_event(R"({"choices":[{"text":"x"}],"frostline":{"tokens":1}})"));
  CHECK_FALSE(parse_token_event(R"({"choices":[{"text":"x"}]})"));
  CHECK_FALSE(parse_token_event(R"({"choices":[],"frostline":{"version":1,"tokens":1}})"));
  CHECK_FALSE(parse_token_event("[]"));
  CHECK_FALSE(parse_token_event("{"));
}

TEST(sse_parser_test, spans_of_one_version_are_merged_and_the_oldest_sets_the_bound) {
  span_list spans;
  append_span(spans, 4, 2);
  append_span(spans, 4, 3);
  append_span(spans, 5, 1);
  append_span(spans, 5, 0);
  LONGS_EQUAL(2, spans.size());
  LONGS_EQUAL(6, token_count(spans));
  LONGS_EQUAL(4, oldest_version(spans));
  CHECK(is_within_bound(spans, 5, 1));
  CHECK_FALSE(is_within_bound(spans, 6, 1));
}

TEST(sse_parser_test, load_report_is_parsed_and_invalid_json_rejected) {
  auto const report = parse_load_report(
      R"({"incarnation":9,"slots":4,"leaving":true,"models":[{"model":"m","version":7},3]})");
  LONGS_EQUAL(9, report->incarnation);
  LONGS_EQUAL(7, report->versions.at("m"));
  CHECK(report->leaving);
  CHECK_FALSE(parse_load_report("no JSON"));
}
