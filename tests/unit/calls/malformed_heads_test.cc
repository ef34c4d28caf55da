/// @file Servers in trouble whose answers have a head that Beast's parser accepts, or that holds a
/// field with a blank or a control byte. Guards against clients that get such an answer as the
/// server's own.

#include <CppUTest/TestHarness.h>

#include <vector>

#include "forwarder_fixture.h"
#include "http/client.h"
#include "recording_server.h"

using namespace frostline;
using namespace frostline::calls;
using namespace frostline::testing;

namespace {

constexpr char k_sound[] = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 2\r\n\r\nok";
constexpr milliseconds k_timeout{3000};

std::string with_status(std::string const& status) {
  return "HTTP/1.1 " + status + " X\r\nRequest-Id: r-1\r\nContent-Length: 2\r\n\r\nok";
}

std::string with_line(std::string const& line) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 2\r\n" + line + "\r\n\r\nok";
}

/// Heads that are no answer.
std::vector<std::string> malformed_heads() {
  std::vector<std::string> heads;
  for (char const* status : {"000", "001", "099", "600", "999", "00", "1000", "2x0", "-20"}) {
    heads.push_back(with_status(status));
  }
  heads.push_back(with_line("Transfer-Encoding: gzip"));
  heads.push_back(with_line("Transfer-Encoding: gzip, chunked"));
  heads.push_back(with_line("X-Long: a\r\n Content-Length: 9"));
  heads.push_back(with_line("X-Long: a\r\n\tfolded"));
  heads.push_back("HTTP/1.1 200 OK\r\n Content-Length: 9\r\nContent-Length: 2\r\n\r\nok");
  heads.push_back(with_line("Content-Length: 3"));
  heads.push_back(with_line("X Name: a"));
  heads.push_back(with_line("X-Name : a"));
  heads.push_back(with_line("X\tName: a"));
  heads.push_back(with_line(": a"));
  heads.push_back(with_line("no colon"));
  for (int code = 1; code < ' '; ++code) {
    if (code == '\r' || code == '\n') continue;
    heads.push_back(with_line(std::string("X") + static_cast<char>(code) + "Name: a"));
  }
  heads.push_back(with_line("X\x7f-Name: a"));
  return heads;
}

}  // namespace

TEST_GROUP(malformed_heads_test){};

TEST(malformed_heads_test, client_does_not_get_them_as_an_answer) {
  for (std::string const& head : malformed_heads()) {
    for (route_kind kind : {route_kind::unsafe, route_kind::streaming}) {
      forwarder_fixture system{1};
      system.forward(kind, false, {{head, true}});
      LONGS_EQUAL(502, system.client.status());
      LONGS_EQUAL(1, system.servers.arrivals());
    }
  }
}

TEST(malformed_heads_test, repeatable_request_goes_to_another_server) {
  for (std::string const& head : malformed_heads()) {
    forwarder_fixture system{2};
    system.forward(route_kind::safe, false, {{head, true}, {k_sound}});
    LONGS_EQUAL(200, system.client.status());
    STRCMP_EQUAL("ok", system.client.body().c_str());
  }
}

TEST(malformed_heads_test, no_other_reader_takes_them) {
  for (std::string const& head : malformed_heads()) {
    asio::io_context context{1};
    recording_server peer(context, head);
    http::client transport(context);
    std::vector<result<http::response>> answers;
    auto const ask = [&]() -> awaitable<void> {
      answers.push_back(
          co_await transport.exchange(peer.address(), http::make_get("/"), k_timeout));
      answers.push_back(co_await transport.stream(peer.address(), http::make_get("/"), k_timeout,
                                                  [](std::string_view) { return true; }));
    };
    spawn(context, ask());
    CHECK_TRUE(run_until(context, [&] { return answers.size() == 2; }));
    for (auto const& answer : answers) CHECK_TRUE(!answer);
  }
}

TEST(malformed_heads_test, interim_responses_and_unknown_statuses_in_range_are_read) {
  for (char const* status : {"200", "299", "418", "499", "599"}) {
    forwarder_fixture system{1};
    std::string const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    system.forward(route_kind::unsafe, false, {{interim + with_status(status), true}});
    LONGS_EQUAL(std::stoul(status), system.client.status());
  }
}

TEST(malformed_heads_test, chunked_answer_is_read_whatever_the_case_of_its_coding) {
  forwarder_fixture system{1};
  system.forward(route_kind::unsafe, false,
                 {{"HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nTransfer-Encoding: Chunked\r\n\r\n"
                   "2\r\nok\r\n0\r\n\r\n",
                   true}});
  LONGS_EQUAL(200, system.client.status());
  STRCMP_EQUAL("ok", system.client.body().c_str());
}
