/// @file Malformed and oversized input is rejected with a specific error, and the node keeps
/// serving.

#include <CppUTest/TestHarness.h>

#include "raw_connection.h"
#include "test_trainer.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

cluster_options one_node() {
  cluster_options options;
  options.nodes = 1;
  options.engines = 0;
  options.apps = 1;
  return options;
}

}  // namespace

TEST_GROUP(bad_input_test) {
  cluster system{make_run_folder("bad-input"), one_node()};

  std::string exchange(std::string const& bytes) {
    raw_connection connection(system.node(0));
    connection.send(bytes);
    connection.finish_sending();
    return connection.read();
  }

  void check_refused(std::string const& bytes, std::string const& status) {
    std::string const answer = exchange(bytes);
    CHECK_TRUE_TEXT(answer.starts_with("HTTP/1.1 " + status), answer.c_str());
    check_serving();
  }

  void check_serving() {
    auto const health =
        system.client().exchange(system.node(0), http::make_get("/healthz"), milliseconds(2000));
    LONGS_EQUAL(200, health.value().result_int());
  }

  std::string post(std::string const& method, std::string const& body,
                   std::string const& type = "application/json") {
    auto message = http::make_post("/rpc/v1/" + method, body, type);
    auto const answer =
        system.client().exchange(system.node(0), std::move(message), milliseconds(5000));
    return std::to_string(answer.value().result_int()) + " " + answer.value().body();
  }
};

TEST(bad_input_test, content_length_with_chunked_encoding_is_refused) {
  check_refused(
      "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\n",
      "400");
  check_refused(
      "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
      "0\r\n\r\n",
      "400");
}

TEST(bad_input_test, duplicate_content_length_is_refused) {
  check_refused("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                "400");
}

TEST(bad_input_test, malformed_lines_are_refused) {
  check_refused("GET /x HTTP/1.1\r\nno colon here\r\n\r\n", "400");
  check_refused("GET /x HTTP/1.1\r\nA : b\r\n\r\n", "400");
  check_refused("\x16\x03\x01\x02 not HTTP\r\n\r\n", "400");
  check_refused("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", "400");
  check_refused("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400");
}

TEST(bad_input_test, oversized_headers_and_bodies_are_refused) {
  check_refused("GET /x HTTP/1.1\r\nA: " + std::string(40'000, 'a') + "\r\n\r\n", "431");
  check_refused("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n", "413");
}

TEST(bad_input_test, incomplete_request_does_not_affect_later_ones) {
  exchange("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
  exchange("GET /x HT");
  check_serving();
}

TEST(bad_input_test, errors_name_the_invalid_field) {
  CHECK(post("OperatorService/PutTask", "{").starts_with("400 "));
  CHECK(post("OperatorService/PutTask", R"({"task":{"name":7}})").starts_with("400 "));
  CHECK(post("OperatorService/PutTask", "{}").find("task: is missing") != std::string::npos);
  CHECK(
      post("OperatorService/PutTask", R"({"task":{"name":"a b","model":"m"}})").find("task.name") !=
      std::string::npos);
  CHECK(
      post("OperatorService/PutTask", "garbage", "application/x-flatbuffers").starts_with("400 "));
  CHECK(post("OperatorService/Nothing", "{}").starts_with("404 "));
  CHECK(post("TrainerService/PullBatch", R"({"task":"none"})").starts_with("404 "));
  check_serving();
}

TEST(bad_input_test, json_calls_are_accepted) {
  auto const put = post("OperatorService/PutTask", R"({"task":{"name":"t","model":"m"}})");
  CHECK_TRUE_TEXT(put.starts_with("200 ") && put.find("ACCEPTED") != std::string::npos,
                  put.c_str());
  auto const status = post("OperatorService/GetStatus", "{}");
  CHECK(status.find("\"name\": \"t\"") != std::string::npos);
}

TEST(bad_input_test, deeply_nested_json_is_refused) {
  std::string deep = R"({"task":)";
  for (int level = 0; level < 2000; ++level) deep += R"({"later":)";
  CHECK(post("OperatorService/PutTask", deep).starts_with("400 "));
  check_serving();
}
