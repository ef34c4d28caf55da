/// @file Clients that send more than they may, or much at once, neither end a gateway nor take it
/// over its machine's memory, and ordinary callers are answered beside them.
///
/// The limits are lowered so that small crowds exceed them: a machine of 96 MB, bodies to 8 MiB, 16
/// MiB of bodies at once. The bounds follow from these, not from the speed of the machine.

#include <CppUTest/TestHarness.h>

#include <set>

#include "client_crowd.h"
#include "platform_cluster.h"
#include "process_cost.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr double k_memory_bound_mib = 96;
constexpr std::size_t k_body_bytes = 8 << 20;
constexpr std::size_t k_crowd = 24;
/// Open descriptors of a gateway beside those of its clients: listeners, the store, servers, files.
constexpr std::size_t k_other_descriptors = 100;
constexpr std::size_t k_piece_bytes = 64 * 1024;
constexpr milliseconds k_ordinary_timeout{5000};
constexpr std::size_t k_answer_bytes = 16 << 20;
/// Far over all limits: three times the machine's memory, from eight clients.
constexpr std::size_t k_endless_clients = 8;
constexpr std::size_t k_endless_pieces = 36 * 16;

std::string request_name(std::size_t client) { return "crowd-" + std::to_string(client); }

std::string chunk(std::string const& data) {
  std::ostringstream text;
  text << std::hex << data.size() << "\r\n" << data << "\r\n";
  return text.str();
}

std::string const k_chunked = "Transfer-Encoding: chunked\r\n";

/// Trailer fields without end behind a chunked body.
long_message endless_trailers(std::size_t client) {
  std::string fields;
  while (fields.size() < k_piece_bytes) fields += "T: " + std::string(1000, 't') + "\r\n";
  return {platform_cluster::call_head("/calls/x", request_name(client), k_chunked) + chunk("body") +
              "0\r\n",
          fields, k_endless_pieces, ""};
}

/// An extension without end of the first chunk.
long_message endless_extension(std::size_t client) {
  return {platform_cluster::call_head("/calls/x", request_name(client), k_chunked) + "4;e=",
          std::string(k_piece_bytes, 'e'), k_endless_pieces, ""};
}

/// A chunked body far over the limit.
long_message endless_chunks(std::size_t client) {
  return {platform_cluster::call_head("/calls/x", request_name(client), k_chunked),
          chunk(std::string(k_piece_bytes, 'b')), k_endless_pieces, ""};
}

/// A head without end.
long_message endless_head(std::size_t client) {
  return {"POST /calls/x HTTP/1.1\r\n" + platform_cluster::id_field(request_name(client)),
          "A: " + std::string(k_piece_bytes, 'h') + "\r\n", k_endless_pieces, ""};
}

/// A body over the limit, announced and sent.
long_message announced_over_limit(std::size_t client) {
  std::size_t const bytes = k_endless_pieces * k_piece_bytes;
  return {platform_cluster::call_head("/calls/x", request_name(client),
                                      "Content-Length: " + std::to_string(bytes) + "\r\n"),
          std::string(k_piece_bytes, 'b'), k_endless_pieces, ""};
}

/// An ordinary request whose client does not read the answer, a large one.
long_message unread_answer(std::size_t client) {
  return {
      platform_cluster::call_head("/once/x", request_name(client), "Content-Length: 1\r\n") + "b",
      "", 0, "", false};
}

/// A body of legal size, whole.
long_message whole_body(std::size_t client) {
  return {platform_cluster::call_head("/once/x", request_name(client),
                                      "Content-Length: " + std::to_string(k_body_bytes) + "\r\n"),
          std::string(k_piece_bytes, 'b'), k_body_bytes / k_piece_bytes, ""};
}

/// A body of legal size that stops one byte short of its end.
long_message unfinished_body(std::size_t client) {
  return {platform_cluster::call_head("/once/x", request_name(client),
                                      "Content-Length: " + std::to_string(k_body_bytes) + "\r\n"),
          std::string(k_piece_bytes, 'b'), k_body_bytes / k_piece_bytes - 1,
          std::string(k_piece_bytes - 1, 'b')};
}

/// A chunked body of legal size in small pieces that does not end.
long_message unfinished_chunks(std::size_t client) {
  constexpr std::size_t small = 512;
  std::string pieces;
  for (std::size_t bytes = 0; bytes < k_piece_bytes; bytes += small) {
    pieces += chunk(std::string(small, 'b'));
  }
  return {platform_cluster::call_head("/once/x", request_name(client), k_chunked), pieces,
          k_body_bytes / k_piece_bytes - 1, ""};
}

/// A JSON body of legal size that repeats one element of a list.
long_message repeated_element(std::string const& path, std::size_t client, std::string const& begin,
                              std::string const& element, std::string const& end) {
  std::string values;
  while (values.size() < k_piece_bytes) values += element + ",";
  std::size_t const pieces = k_body_bytes / values.size() - 1;
  std::size_t const bytes = begin.size() + pieces * values.size() + element.size() + end.size();
  return {platform_cluster::call_head(path, request_name(client),
                                      "Content-Type: application/json\r\nContent-Length: " +
                                          std::to_string(bytes) + "\r\n") +
              begin,
          values, pieces, element + end};
}

/// A job of legal size whose body is many times as large once it is parsed.
long_message large_when_parsed(std::size_t client) {
  return repeated_element("/jobs/" + request_name(client), client, "{\"requests\":[", "0", "]}");
}

/// The same with objects.
long_message small_objects(std::size_t client) {
  return repeated_element("/jobs/" + request_name(client), client, "{\"requests\":[", "{\"a\":0}",
                          "]}");
}

/// A job of nearly as many values and keys as one may have, a million: three for each object.
long_message most_values(std::size_t client) {
  constexpr std::size_t objects = 333'000;
  constexpr std::string_view object = "{\"a\":0},";
  std::string body = "{\"requests\":[";
  for (std::size_t count = 0; count < objects; ++count) body += object;
  body.back() = ']';
  body += '}';
  return {platform_cluster::call_head("/jobs/" + request_name(client), request_name(client),
                                      "Content-Type: application/json\r\nContent-Length: " +
                                          std::to_string(body.size()) + "\r\n") +
              body,
          "", 0, ""};
}

/// A call between nodes, in JSON, whose body is many times as large once it is parsed.
long_message json_call(std::size_t client) {
  return repeated_element("/rpc/v1/JobService/Call", client, "{\"record\":{\"items\":[", "{}",
                          "]}}");
}

bool is_promise(unsigned status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

TEST_GROUP(unbounded_clients_test) {
  platform_options options;
  std::unique_ptr<platform_cluster> system;

  void setup() override {
    options.nodes = 1;
    options.engines = 1;
    options.apps = 1;
    options.max_body_bytes = k_body_bytes;
    options.extra_settings = "[limits]\nmemory_mb = 96\nrequest_memory_mb = 16\n";
    system = std::make_unique<platform_cluster>(options);
  }
  void teardown() override { system.reset(); }

  /// Checks that the gateway has kept its bounds, and that an ordinary caller is answered.
  void check_gateway(std::size_t clients) {
    CHECK_TRUE_TEXT(system->node(0).is_running(), "the gateway has ended");
    double const peak = peak_resident_mib(system->node(0).pid());
    CHECK_TRUE_TEXT(peak < k_memory_bound_mib,
                    ("peak of resident memory, MiB: " + std::to_string(peak)).c_str());
    CHECK_TRUE(open_descriptors(system->node(0).pid()) < clients + k_other_descriptors);
    auto const answer =
        system->call(0, http::verb::post, "/calls/x", "ordinary", "b", k_ordinary_timeout);
    CHECK_TRUE_TEXT(answer && answer.value().result() == http::status::ok,
                    "an ordinary caller is not answered");
  }

  /// Checks that no request that was refused with a promise has reached a server, and that such
  /// refusals say when to come back.
  void check_promises(client_crowd & crowd) {
    std::set<std::string> ran;
    system->on_platform([&] {
      for (arrival const& seen : system->app(0).arrivals()) ran.insert(seen.request);
      return 0;
    });
    std::vector<unsigned> const statuses = crowd.statuses();
    for (std::size_t client = 0; client < statuses.size(); ++client) {
      if (!is_promise(statuses[client])) continue;
      CHECK_TRUE_TEXT(!ran.contains(request_name(client)), "a refused request has run");
      bool const has_time = crowd.answer_of(client).find("Retry-After:") != std::string::npos;
      CHECK_TRUE(statuses[client] != 503 || has_time);
    }
  }

  void check_crowd(endpoint const& where, std::size_t clients,
                   std::function<long_message(std::size_t)> const& make_message) {
    {
      client_crowd crowd(where, clients, make_message);
      crowd.wait_until_sent();
      check_gateway(clients);
      crowd.wait_until_answered();
      check_gateway(clients);
      check_promises(crowd);
    }
    check_gateway(clients);
  }

  /// Returns the number of calls that have an answer of a server, or have failed.
  double calls_ended() {
    rpc::blocking_client client;
    auto const page =
        client.exchange(system->peers_address(0), http::make_get("/metrics"), k_ordinary_timeout);
    if (!page) return 0;
    double ended = 0;
    std::istringstream lines(page.value().body());
    for (std::string line; std::getline(lines, line);) {
      bool const counts = line.starts_with("frostline_calls_answered_total ") ||
                          line.starts_with("frostline_calls_given_up_total ");
      if (counts) ended += std::stod(line.substr(line.find(' ')));
    }
    return ended;
  }

  /// Checks that one request of the largest legal size is served once the crowd has left.
  void check_large_request() {
    auto const answer = system->call(0, http::verb::post, "/calls/x", "large",
                                     std::string(k_body_bytes, 'b'), milliseconds(10'000));
    CHECK_TRUE(answer && answer.value().result() == http::status::ok);
    CHECK_TRUE(peak_resident_mib(system->node(0).pid()) < k_memory_bound_mib);
  }
};

// Guards against a gateway that keeps trailer fields without limit.
TEST(unbounded_clients_test, trailers_without_end) {
  check_crowd(system->client_address(0), k_endless_clients, endless_trailers);
  check_large_request();
}

// Guards against a gateway that keeps chunk extensions without limit.
TEST(unbounded_clients_test, chunk_extensions_without_end) {
  check_crowd(system->client_address(0), k_endless_clients, endless_extension);
}

// Guards against a gateway that keeps heads without limit.
TEST(unbounded_clients_test, heads_without_end) {
  check_crowd(system->client_address(0), k_endless_clients, endless_head);
}

// Guards against a gateway that keeps bodies over the limit.
TEST(unbounded_clients_test, chunked_bodies_over_the_limit) {
  check_crowd(system->client_address(0), k_crowd, endless_chunks);
  check_large_request();
}

// Guards against a gateway that reads bodies although their announced size is over the limit.
TEST(unbounded_clients_test, announced_bodies_over_the_limit) {
  check_crowd(system->client_address(0), k_crowd, announced_over_limit);
}

// Guards against a gateway that holds any number of bodies of legal size.
TEST(unbounded_clients_test, many_whole_bodies) {
  check_crowd(system->client_address(0), k_crowd, whole_body);
  check_large_request();
}

// Guards against a gateway that waits for the end of any number of bodies.
TEST(unbounded_clients_test, bodies_that_stop_short_of_their_end) {
  check_crowd(system->client_address(0), k_crowd, unfinished_body);
  check_large_request();
}

// Guards against a gateway that counts only bodies whose size is announced.
TEST(unbounded_clients_test, chunked_bodies_that_stop_short_of_their_end) {
  check_crowd(system->client_address(0), k_crowd, unfinished_chunks);
  check_large_request();
}

// Guards against a gateway that parses jobs of legal size into any amount of memory.
TEST(unbounded_clients_test, jobs_that_are_large_when_parsed) {
  check_crowd(system->client_address(0), k_endless_clients, large_when_parsed);
}

// Guards against a limit that counts the elements of a job and not what they hold.
TEST(unbounded_clients_test, jobs_of_many_small_objects) {
  check_crowd(system->client_address(0), k_endless_clients, small_objects);
}

// Guards against a limit of a job's values that is too high for the machine.
TEST(unbounded_clients_test, jobs_of_as_many_values_as_allowed) {
  check_crowd(system->client_address(0), k_endless_clients, most_values);
}

// Guards against a gateway that parses calls of other nodes into any amount of memory.
TEST(unbounded_clients_test, json_calls_that_are_large_when_parsed) {
  check_crowd(system->peers_address(0), k_endless_clients, json_call);
}

// Guards against a gateway that keeps any number of answers for clients that do not read them.
TEST(unbounded_clients_test, large_answers_that_are_not_read) {
  system->on_platform([&] {
    system->app(0).faults().large_prefix = "crowd-";
    system->app(0).faults().large_bytes = k_answer_bytes;
    return 0;
  });
  {
    client_crowd crowd(system->client_address(0), k_crowd, unread_answer);
    platform_cluster::wait_until("the calls have ended", [&] { return calls_ended() >= k_crowd; });
    check_gateway(k_crowd);
    crowd.start_reading();
    crowd.wait_until_answered();
    check_gateway(k_crowd);
  }
  check_gateway(k_crowd);
}

// Guards against limits that hold for each kind of message, and not for all together.
TEST(unbounded_clients_test, all_kinds_at_once) {
  std::vector<std::function<long_message(std::size_t)>> const kinds = {
      endless_trailers, endless_extension, endless_chunks,    endless_head,
      whole_body,       unfinished_body,   unfinished_chunks, large_when_parsed};
  check_crowd(system->client_address(0), 2 * k_crowd,
              [&](std::size_t client) { return kinds[client % kinds.size()](client); });
  check_large_request();
}

// Guards against other listeners of the gateway that keep what they are sent without limit.
TEST(unbounded_clients_test, other_listeners) {
  std::vector<std::function<long_message(std::size_t)>> const kinds = {
      endless_trailers, endless_extension, endless_chunks, unfinished_body};
  for (endpoint const& where : {system->readiness_address(0), system->peers_address(0)}) {
    check_crowd(where, k_crowd,
                [&](std::size_t client) { return kinds[client % kinds.size()](client); });
  }
}
