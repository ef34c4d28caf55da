/// @file A streaming request that may not be repeated runs at a server, which answers with its own
/// 500 and breaks that answer off. Is it told to its client as not run?

#include <algorithm>
#include <set>

#include "cases.h"
#include "configurations.h"
#include "deployment.h"

namespace frostline::review {
namespace {

constexpr std::uint32_t k_servers = 3;
constexpr std::uint32_t k_requests = 30;
constexpr std::uint32_t k_failed_each = 3;
constexpr milliseconds k_deadline{1500};
constexpr char k_service[] = "bidmind";
constexpr char k_target[] = R"("service":"bidmind")";

bool promises_no_run(unsigned status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

verdict play_broken_answers(case_options const& options, record& log) {
  deployment all({options.repository}, log);
  std::vector<server*> servers;
  for (std::uint32_t index = 0; index < k_servers; ++index) {
    server_options one;
    one.id = "i-" + std::to_string(index);
    one.service = k_service;
    one.model = k_model;
    one.events = 5;
    one.event_gap = milliseconds(10);
    servers.push_back(&all.add_server(one));
  }
  all.on_platform([&] {
    for (server* one : servers) one->fail_requests(k_failed_each, options.trouble);
    return 0;
  });
  all.put_configuration(
      configuration(1, {streaming_route("/bids/", k_target)}, {model_service(k_service)}));
  all.start_gateways();
  std::set<std::string> promised;
  std::uint32_t served = 0;
  for (std::uint32_t number = 0; number < k_requests; ++number) {
    std::string const request = "bid-" + std::to_string(number);
    std::string const path = "/bids/" + request;
    std::int64_t const begun = log.now();
    auto const first = all.call(number % all.gateways(), http::verb::post, path, request + "-try-1",
                                request, k_deadline);
    if (first.status == 200) ++served;
    if (!promises_no_run(first.status)) continue;
    promised.insert(request + "-try-1");
    // The promise allows the client to try again, with a new identifier and at another node. It
    // waits as it was told to, up to a third of the time that it has left.
    auto const spent = milliseconds(log.now() - begun);
    pause(std::min(first.retry_after, (k_deadline - spent) / 3));
    milliseconds const left = k_deadline - milliseconds(log.now() - begun);
    auto const second = all.call((number + 1) % all.gateways(), http::verb::post, path,
                                 request + "-try-2", request, left);
    if (promises_no_run(second.status)) promised.insert(request + "-try-2");
  }
  if (served == 0) return verdict::not_run;
  std::uint32_t false_promises = 0;
  for (server* one : servers) {
    for (run const& done : all.on_platform([one] { return one->runs(); })) {
      if (!promised.contains(done.request)) continue;
      ++false_promises;
      log.write("check", done.request + " was refused as not run, but ran at " + one->id());
    }
  }
  return false_promises > 0 ? verdict::broken : verdict::held;
}

}  // namespace frostline::review
