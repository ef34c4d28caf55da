#include "quarantine/crash_watch.h"

#include <algorithm>

#include "base/log.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_part = "quarantine";
/// Delay between a broken connection and the probe. A crashing process closes its sockets one by
/// one, so its listener may still accept an immediate probe.
constexpr milliseconds k_settle_time{20};
/// How long a server may continue a run after its connection was closed, by the users' rules.
constexpr milliseconds k_max_abandoned_run_time{500};
/// Interval between probes of a server with abandoned runs; shorter than the restart of a server
/// (0.3 s in the tests, 2.6 s and more on the users' machines), so that a probe finds it down.
constexpr milliseconds k_probe_interval{170};
/// Limit of abandoned runs tracked for each server.
constexpr std::size_t k_max_abandoned_runs = 256;
/// Same as the connect timeout of requests (calls/exchange).
constexpr milliseconds k_connect_timeout{300};

}  // namespace

std::string_view crash_watch::to_text(server_condition condition) {
  switch (condition) {
    case server_condition::ended:
      return "ended";
    case server_condition::alive:
      return "lives";
    case server_condition::unknown:
      return "unknown";
  }
  return "unknown";
}

void crash_watch::note_broken(directory::server const& server, fingerprint const& request,
                              time_point sent_at) {
  auto const [position, inserted] = broken_.try_emplace(server.incarnation());
  position->second.push_back({request, server.incarnation(), sent_at, boot_clock::now()});
  if (inserted) spawn(context_, examine(server));
}

awaitable<void> crash_watch::examine(directory::server server) {
  co_await wait_for(k_settle_time);
  server_condition const condition = co_await probe(server);
  auto node = broken_.extract(server.incarnation());
  std::vector<crash>& requests = node.mapped();
  log_line(log_level::info, k_part, "Server looked at after connections broke.",
           {{"server", server.id},
            {"service", server.service},
            {"condition", to_text(condition)},
            {"requests", requests.size()},
            {"first", requests.front().request.to_string()}});
  if (condition == server_condition::ended) {
    on_crash_(std::move(requests));
  } else {
    for (crash const& event : requests) mark_undecided(server, event);
  }
  examined_.notify_all();
}

void crash_watch::note_abandoned_run(directory::server const& server, fingerprint const& request,
                                     time_point sent_at) {
  auto const [position, inserted] = abandoned_.try_emplace(server.incarnation());
  std::vector<crash>& runs = position->second;
  if (runs.size() < k_max_abandoned_runs) {
    runs.push_back({request, server.incarnation(), sent_at, boot_clock::now()});
  }
  if (inserted) spawn(context_, monitor_abandoned(server));
}

awaitable<void> crash_watch::monitor_abandoned(directory::server server) {
  std::string const incarnation = server.incarnation();
  time_point seen_alive = boot_clock::now();
  while (!abandoned_.at(incarnation).empty()) {
    co_await wait_for(k_probe_interval);
    time_point const begin = boot_clock::now();
    bool const open = has_open_connection(server, seen_alive);
    auto const condition = open ? server_condition::alive : co_await probe(server);
    if (condition == server_condition::ended) {
      std::vector<crash> requests = extract_abandoned(incarnation);
      log_line(log_level::info, k_part, "Server ended after runs on it were abandoned.",
               {{"server", server.id},
                {"service", server.service},
                {"requests", requests.size()},
                {"first", requests.front().request.to_string()}});
      on_crash_(std::move(requests));
      co_return;
    }
    if (condition == server_condition::alive) seen_alive = begin;
    std::erase_if(abandoned_.at(incarnation), [&](crash const& event) {
      bool const over = event.ended_at + k_max_abandoned_run_time <= begin;
      if (over) mark_undecided(server, event);
      return over;
    });
  }
  abandoned_.erase(incarnation);
}

bool crash_watch::has_open_connection(directory::server const& server,
                                      time_point made_before) const {
  return dependencies_.has_open_connection &&
         dependencies_.has_open_connection(server, made_before);
}

void crash_watch::mark_undecided(directory::server const& server, crash const& run) {
  if (dependencies_.directory == nullptr || has_open_connection(server, run.ended_at)) return;
  undecided_.add(server, run, boot_clock::now());
  // The directory may already list the restarted server.
  note_directory_change();
}

void crash_watch::note_directory_change() {
  undecided_.expire(boot_clock::now());
  if (undecided_.empty()) return;
  undecided_.drop_leaving([this](directory::server const& server) {
    return dependencies_.directory->is_leaving(server);
  });
  std::vector<crash> crashes = undecided_.extract_replaced([this](directory::server const& server) {
    return dependencies_.directory->is_superseded(server);
  });
  if (crashes.empty()) return;
  log_line(log_level::info, k_part, "Servers have been replaced since their runs ended.",
           {{"server", crashes.front().server},
            {"requests", crashes.size()},
            {"first", crashes.front().request.to_string()}});
  on_crash_(std::move(crashes));
}

std::vector<crash> crash_watch::extract_abandoned(std::string const& incarnation) {
  auto node = abandoned_.extract(incarnation);
  return node.empty() ? std::vector<crash>() : std::move(node.mapped());
}

bool crash_watch::is_examined(fingerprint const& request) const {
  return std::none_of(broken_.begin(), broken_.end(), [&](auto const& entry) {
    return std::any_of(entry.second.begin(), entry.second.end(),
                       [&](crash const& event) { return event.request == request; });
  });
}

awaitable<void> crash_watch::wait_until_examined(fingerprint request) {
  // For a popular request, connections may keep breaking, so the wait is bounded.
  time_point const limit = boot_clock::now() + k_settle_time + k_connect_timeout;
  while (!is_examined(request) && boot_clock::now() < limit) co_await examined_.wait_until(limit);
}

awaitable<crash_watch::server_condition> crash_watch::probe(directory::server server) {
  http::beast::tcp_stream stream(context_);
  stream.expires_after(k_connect_timeout);
  http::beast::error_code malformed;
  tcp::endpoint const remote(asio::ip::make_address(server.address.address, malformed),
                             server.address.port);
  ++connections_opened_;
  auto [failure] = co_await stream.async_connect(remote, k_as_tuple);
  if (!failure) {
    if (dependencies_.adopt_connection) dependencies_.adopt_connection(server, std::move(stream));
    co_return server_condition::alive;
  }
  // Other failures, such as a network partition, do not show that the server has crashed.
  bool const refused = failure == asio::error::connection_refused;
  co_return refused ? server_condition::ended : server_condition::unknown;
}

}  // namespace frostline::quarantine
