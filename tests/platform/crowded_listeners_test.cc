/// @file Clients that take as many connections as they can get neither take a gateway over its
/// machine's memory nor keep its connections and descriptors from ordinary callers.
///
/// The limits are lowered so that small crowds exceed them: a machine of 96 MB, 16 MiB of requests
/// at once, and few connections. The bounds follow from these, not from the speed of the machine.

#include <CppUTest/TestHarness.h>

#include <set>

#include "client_crowd.h"
#include "platform_cluster.h"
#include "process_cost.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

constexpr double k_memory_bound_mib = 96;
constexpr char k_memory_settings[] = "[limits]\nmemory_mb = 96\nrequest_memory_mb = 16\n";
constexpr char k_connection_settings[] =
    "[limits]\nmemory_mb = 96\nconnections = 50\npeer_connections = 50\n";
/// With a full buffer each, they take more memory than the machine has.
constexpr std::size_t k_many_clients = 1600;
constexpr std::size_t k_trailer_bytes = 60'000;
/// Less than the configuration's limit of a head.
constexpr std::size_t k_head_bytes = 15'000;
/// Size of the body of a large job's item, in Base64.
constexpr std::size_t k_job_bytes = 4 << 20;
constexpr std::size_t k_job_clients = 32;
/// More than a listener of k_connection_settings admits.
constexpr std::size_t k_crowd = 200;
/// Open descriptors of a gateway beside those of `k_crowd`: the admitted connections, and those of
/// listeners, the store, servers and files.
constexpr std::size_t k_descriptors = 180;
constexpr milliseconds k_ordinary_timeout{5000};

std::string request_name(std::size_t client) { return "crowd-" + std::to_string(client); }

/// A chunked body with a trailer that does not end.
long_message unfinished_trailer(std::size_t client) {
  std::string const head = platform_cluster::call_head("/calls/x", request_name(client),
                                                       "Transfer-Encoding: chunked\r\n");
  std::string fields;
  while (fields.size() < k_trailer_bytes) fields += "T: " + std::string(1000, 't') + "\r\n";
  return {head + "4\r\nbody\r\n0\r\n" + fields, "", 0, ""};
}

/// A head of very short fields that does not end.
long_message short_fields(std::size_t client) {
  std::string head =
      "POST /calls/x HTTP/1.1\r\n" + platform_cluster::id_field(request_name(client));
  while (head.size() < k_head_bytes) head += "a:\r\n";
  return {head, "", 0, ""};
}

/// A body that is not sent, behind a whole head of very short fields.
long_message short_fields_before_a_body(std::size_t client) {
  std::string head = platform_cluster::call_head("/calls/x", request_name(client), "");
  head.resize(head.size() - 2);
  while (head.size() < k_head_bytes) head += "a:\r\n";
  return {head + "Content-Length: 1\r\n\r\n", "", 0, ""};
}

long_message nothing(std::size_t) { return {}; }

long_message half_a_head(std::size_t client) {
  return {"POST /calls/x HTTP/1.1\r\n" + platform_cluster::id_field(request_name(client)), "", 0,
          ""};
}

/// A job of one item with a large body.
long_message large_job(std::size_t client) {
  std::string const item = request_name(client);
  std::string const begin = "{\"step\":0,\"model\":\"" + std::string(platform_cluster::k_model) +
                            "\",\"min_version\":1,\"desired\":1,\"requests\":[{\"id\":\"" + item +
                            "\",\"path\":\"/jobs/run/" + item +
                            "\",\"group\":\"g\",\"tokens\":100,\"headers\":{"
                            "\"X-Frostline-Model\":\"model\"},\"body\":\"";
  std::string const end = "\"}]}";
  std::size_t const bytes = begin.size() + k_job_bytes + end.size();
  return {platform_cluster::call_head("/jobs/" + item, item,
                                      "Content-Type: application/json\r\nContent-Length: " +
                                          std::to_string(bytes) + "\r\n") +
              begin,
          std::string(k_job_bytes, 'b'), 1, end};
}

}  // namespace

TEST_GROUP(crowded_listeners_test) {
  platform_options options;
  std::unique_ptr<platform_cluster> system;

  void start(char const* settings) {
    options.nodes = 1;
    options.engines = 1;
    options.apps = 1;
    options.extra_settings = settings;
    system = std::make_unique<platform_cluster>(options);
  }
  void teardown() override { system.reset(); }

  void check_memory() {
    CHECK_TRUE_TEXT(system->node(0).is_running(), "the gateway has ended");
    double const peak = peak_resident_mib(system->node(0).pid());
    CHECK_TRUE_TEXT(peak < k_memory_bound_mib,
                    ("peak of resident memory, MiB: " + std::to_string(peak)).c_str());
  }

  void check_ordinary_caller() {
    auto const answer =
        system->call(0, http::verb::post, "/calls/x", "ordinary", "b", k_ordinary_timeout);
    CHECK_TRUE_TEXT(answer && answer.value().result() == http::status::ok,
                    "an ordinary caller is not answered");
  }

  void check_buffers(endpoint const& where,
                     std::function<long_message(std::size_t)> const& message) {
    {
      client_crowd crowd(where, k_many_clients, message);
      crowd.wait_until_sent();
      check_memory();
      check_ordinary_caller();
      crowd.wait_until_answered();
    }
    check_memory();
    check_ordinary_caller();
  }

  void set_store_silent(bool is_silent) {
    system->on_platform([&] {
      system->store().faults().silent = is_silent;
      return 0;
    });
  }

  /// Checks that some jobs are accepted, and that no item of a refused one has reached an engine.
  void check_refused_jobs(client_crowd & crowd) {
    std::set<std::string> ran;
    system->on_platform([&] {
      for (arrival const& seen : system->engine(0).arrivals()) ran.insert(seen.request);
      return 0;
    });
    std::size_t accepted = 0;
    std::vector<unsigned> const statuses = crowd.statuses();
    for (std::size_t client = 0; client < statuses.size(); ++client) {
      if (statuses[client] == 202) ++accepted;
      if (statuses[client] == 503) CHECK_FALSE(ran.contains(request_name(client)));
    }
    CHECK_TRUE(accepted > 0);
  }

  void check_jobs() {
    {
      client_crowd crowd(system->client_address(0), k_job_clients, large_job);
      crowd.wait_until_sent();
      check_memory();
      check_ordinary_caller();
      set_store_silent(false);
      crowd.wait_until_answered();
      check_refused_jobs(crowd);
    }
    check_memory();
    check_ordinary_caller();
  }

  /// Checks that ordinary callers are served, and descriptors bounded, while a crowd stays
  /// connected.
  void check_places(endpoint const& where,
                    std::function<long_message(std::size_t)> const& message) {
    client_crowd crowd(where, k_crowd, message);
    crowd.wait_until_sent();
    platform_cluster::wait_until("the connections over the limit are closed", [&] {
      return open_descriptors(system->node(0).pid()) < k_descriptors;
    });
    check_ordinary_caller();
    CHECK_TRUE(system->is_ready(0));
    rpc::blocking_client peer;
    auto const page =
        peer.exchange(system->peers_address(0), http::make_get("/metrics"), k_ordinary_timeout);
    CHECK_TRUE_TEXT(page && page.value().result() == http::status::ok,
                    "another node is not answered");
    CHECK_TRUE(system->node(0).is_running());
  }
};

// Guards against buffers of connections that are not counted with the memory of requests.
TEST(crowded_listeners_test, trailers_of_many_clients) {
  start(k_memory_settings);
  check_buffers(system->client_address(0), unfinished_trailer);
}

TEST(crowded_listeners_test, trailers_of_many_peers) {
  start(k_memory_settings);
  check_buffers(system->peers_address(0), unfinished_trailer);
}

// Guards against heads whose fields take many times as much memory as they have bytes.
TEST(crowded_listeners_test, short_fields_of_many_clients) {
  start(k_memory_settings);
  check_buffers(system->client_address(0), short_fields);
  check_buffers(system->client_address(0), short_fields_before_a_body);
}

TEST(crowded_listeners_test, short_fields_of_many_peers) {
  start(k_memory_settings);
  check_buffers(system->peers_address(0), short_fields);
}

// Guards against clients that keep all connections and send nothing.
TEST(crowded_listeners_test, silent_clients_keep_no_caller_out) {
  start(k_connection_settings);
  check_places(system->client_address(0), nothing);
}

// Guards against clients that keep all connections and never end the head of a request.
TEST(crowded_listeners_test, clients_with_half_a_head_keep_no_caller_out) {
  start(k_connection_settings);
  check_places(system->client_address(0), half_a_head);
}

// Guards against listeners for other nodes and for probes that let clients take all descriptors.
TEST(crowded_listeners_test, other_listeners_bound_their_connections) {
  start(k_connection_settings);
  for (endpoint const& where : {system->peers_address(0), system->readiness_address(0)}) {
    check_places(where, nothing);
    check_places(where, half_a_head);
  }
}

// Guards against jobs that take any amount of memory while the store does not answer.
TEST(crowded_listeners_test, large_jobs_beside_a_silent_store) {
  start(k_memory_settings);
  set_store_silent(true);
  check_jobs();
}

// Guards against accepted jobs that take any amount of memory.
TEST(crowded_listeners_test, large_jobs) {
  start(k_memory_settings);
  check_jobs();
}
