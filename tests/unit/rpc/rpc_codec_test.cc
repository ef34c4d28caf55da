#include <CppUTest/TestHarness.h>

#include "operators/service.h"
#include "rpc/blocking.h"
#include "rpc/codec.h"
#include "rpc/dispatcher.h"
#include "rpc/problem.h"
#include "schema/frostline_generated.h"

using namespace frostline;

TEST_GROUP(rpc_codec_test) {
  rpc::json_codec codec;
  std::string error;
};

TEST(rpc_codec_test, json_round_trips_through_binary) {
  auto const binary =
      codec.to_binary("frostline.rpc.PublishVersionRequest", R"({"task":"t","version":7})", error);
  auto const message = rpc::decode<rpc::PublishVersionRequestT>(*binary);
  STRCMP_EQUAL("t", message->task.c_str());
  LONGS_EQUAL(7, message->version);
  std::string const text = codec.to_json("frostline.rpc.PublishVersionRequest", *binary, true);
  CHECK(text.find("\"version\": 7") != std::string::npos ||
        text.find("\"version\":7") != std::string::npos);
}

TEST(rpc_codec_test, ignores_unknown_json_fields_and_reports_malformed_ones) {
  CHECK(
      codec.to_binary("frostline.rpc.PublishVersionRequest", R"({"later":[1],"version":7})", error)
          .has_value());
  CHECK_FALSE(codec.to_binary("frostline.rpc.PublishVersionRequest", R"({"version":"x"})", error));
  CHECK_FALSE(error.empty());
  CHECK_FALSE(codec.to_binary("frostline.rpc.PublishVersionRequest", "{", error));
}

TEST(rpc_codec_test, truncated_or_corrupted_messages_are_decoded_safely) {
  rpc::TaskRecordT task;
  task.name = "name";
  task.engines = {"a", "b"};
  std::string const good = rpc::encode(task);
  for (std::size_t cut = 0; cut < good.size(); ++cut) {
    rpc::decode<rpc::TaskRecordT>(good.substr(0, cut));
    std::string flipped = good;
    flipped[cut] = static_cast<char>(flipped[cut] ^ 0x55);
    rpc::decode<rpc::TaskRecordT>(flipped);
  }
  CHECK_FALSE(rpc::decode<rpc::TaskRecordT>(""));
  CHECK_FALSE(rpc::decode<rpc::TaskRecordT>("garbage that is no table"));
}

TEST(rpc_codec_test, methods_must_be_declared_in_the_schema) {
  CHECK(codec.has_method("OperatorService", "PutTask", "frostline.rpc.PutTaskRequest",
                         "frostline.rpc.ChangeResponse"));
  CHECK_FALSE(codec.has_method("OperatorService", "PutTask", "frostline.rpc.PutRouteRequest",
                               "frostline.rpc.ChangeResponse"));
  CHECK_FALSE(codec.has_method("OperatorService", "DropTask", "", ""));
}

TEST(rpc_codec_test, problems_round_trip_through_responses) {
  auto const sent = rpc::unavailable(rpc::reason::queue_full, "full", milliseconds(1200));
  auto const answer = rpc::to_response(sent);
  STRCMP_EQUAL("2", std::string(http::header(answer, "Retry-After")).c_str());
  auto const read = rpc::from_response(answer);
  CHECK(read.why == rpc::reason::queue_full);
  CHECK(read.state == rpc::run_state::not_run);
  LONGS_EQUAL(1200, read.retry_after.count());
}

// Guards against "not run" where nobody has stated it.
TEST(rpc_codec_test, problem_says_not_run_only_if_told_so) {
  CHECK(rpc::problem().state == rpc::run_state::unknown);
}

TEST(rpc_codec_test, call_of_an_unknown_method_was_not_run) {
  asio::io_context context{1};
  rpc::dispatcher methods;
  auto const state = rpc::run_blocking(context, [&]() -> awaitable<rpc::run_state> {
    auto const answer = co_await methods.handle(http::make_post("/rpc/None/None", "", ""));
    co_return rpc::from_response(answer).state;
  }());
  CHECK(state == rpc::run_state::not_run);
}

TEST(rpc_codec_test, response_without_a_problem_is_an_unknown_outcome) {
  auto const answer = http::make_response(http::status::bad_gateway, "<html>", "text/html");
  CHECK(rpc::from_response(answer).state == rpc::run_state::unknown);
}

TEST(rpc_codec_test, invalid_record_fields_are_named) {
  rpc::TaskRecordT task;
  CHECK(operators::check_task(task, nullptr).starts_with("task.name"));
  task.name = "a";
  task.model = "m/m";
  CHECK(operators::check_task(task, nullptr).starts_with("task.model"));
  task.model = "m";
  task.scorer = "nowhere";
  CHECK(operators::check_task(task, nullptr).starts_with("task.scorer"));
  task.scorer.clear();
  STRCMP_EQUAL("", operators::check_task(task, nullptr).c_str());
  rpc::TaskRecordT const existing = task;
  task.shards = 2;
  CHECK(operators::check_task(task, &existing).starts_with("task.shards"));
  rpc::RouteRecordT route;
  route.name = "r";
  route.path_prefix = "/rpc/v1/x";
  CHECK(operators::check_route(route).starts_with("route.path_prefix"));
}
