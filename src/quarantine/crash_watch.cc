#include "quarantine/crash_watch.h"

#include <algorithm>

#include "base/log.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_part = "quarantine";
/// A process that ends closes its connections one after the other, its listener among them.
constexpr milliseconds k_settle_time{20};
/// A server may go on for half a second with a run whose connection was closed; the users' pages
/// leave it that long.
constexpr milliseconds k_given_up_time{500};
/// Between two looks at a server where runs were given up. Shorter than a server takes to start
/// again (0.3 s in the tests, 2.6 s and more on the users' machines), so that its end is seen.
constexpr milliseconds k_look_interval{170};
/// Runs that are remembered for each server while it is looked at; a server has tens of places.
constexpr std::size_t k_most_given_up = 256;
/// As long as a request's own connection may take (calls/exchange).
constexpr milliseconds k_connect_timeout{300};

}  // namespace

std::string_view crash_watch::to_text(server_condition condition) {
  switch (condition) {
    case server_condition::ended:
      return "ended";
    case server_condition::lives:
      return "lives";
    case server_condition::unknown:
      return "unknown";
  }
  return "unknown";
}

void crash_watch::note_broken(directory::server const& server, fingerprint const& request,
                              time_point sent_at) {
  auto const [place, fresh] = broken_.try_emplace(server.life());
  place->second.push_back({request, server.life(), sent_at, boot_clock::now()});
  if (fresh) spawn(context_, examine(server));
}

awaitable<void> crash_watch::examine(directory::server server) {
  co_await wait_for(k_settle_time);
  server_condition const condition = co_await find_condition(server);
  auto node = broken_.extract(server.life());
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
    for (crash const& one : requests) leave_undecided(server, one);
  }
  examined_.notify_all();
}

void crash_watch::note_abandoned_run(directory::server const& server, fingerprint const& request,
                                     time_point sent_at) {
  auto const [place, fresh] = given_up_.try_emplace(server.life());
  std::vector<crash>& runs = place->second;
  if (runs.size() < k_most_given_up) {
    runs.push_back({request, server.life(), sent_at, boot_clock::now()});
  }
  if (fresh) spawn(context_, follow_given_up(server));
}

awaitable<void> crash_watch::follow_given_up(directory::server server) {
  std::string const life = server.life();
  time_point seen_alive = boot_clock::now();
  while (!given_up_.at(life).empty()) {
    co_await wait_for(k_look_interval);
    time_point const begin = boot_clock::now();
    bool const open = has_open_connection(server, seen_alive);
    auto const condition = open ? server_condition::lives : co_await find_condition(server);
    if (condition == server_condition::ended) {
      std::vector<crash> requests = extract_given_up(life);
      log_line(log_level::info, k_part, "Server ended after runs there were given up.",
               {{"server", server.id},
                {"service", server.service},
                {"requests", requests.size()},
                {"first", requests.front().request.to_string()}});
      on_crash_(std::move(requests));
      co_return;
    }
    if (condition == server_condition::lives) seen_alive = begin;
    std::erase_if(given_up_.at(life), [&](crash const& one) {
      bool const over = one.ended_at + k_given_up_time <= begin;
      if (over) leave_undecided(server, one);
      return over;
    });
  }
  given_up_.erase(life);
}

bool crash_watch::has_open_connection(directory::server const& server,
                                      time_point made_before) const {
  return known_.has_open_connection && known_.has_open_connection(server, made_before);
}

void crash_watch::leave_undecided(directory::server const& server, crash const& run) {
  if (known_.directory == nullptr || has_open_connection(server, run.ended_at)) return;
  undecided_.add(server, run, boot_clock::now());
  // The directory may have heard of the next life before this node woke to see the run's end.
  note_directory_change();
}

void crash_watch::note_directory_change() {
  undecided_.expire(boot_clock::now());
  if (undecided_.empty()) return;
  undecided_.drop_planned(
      [this](directory::server const& one) { return known_.directory->is_leaving(one); });
  std::vector<crash> crashes = undecided_.extract_replaced(
      [this](directory::server const& one) { return known_.directory->is_replaced(one); });
  if (crashes.empty()) return;
  log_line(log_level::info, k_part, "Servers have been replaced since their runs ended.",
           {{"server", crashes.front().server},
            {"requests", crashes.size()},
            {"first", crashes.front().request.to_string()}});
  on_crash_(std::move(crashes));
}

std::vector<crash> crash_watch::extract_given_up(std::string const& life) {
  auto node = given_up_.extract(life);
  return node.empty() ? std::vector<crash>() : std::move(node.mapped());
}

bool crash_watch::is_examined(fingerprint const& request) const {
  return std::none_of(broken_.begin(), broken_.end(), [&](auto const& entry) {
    return std::any_of(entry.second.begin(), entry.second.end(),
                       [&](crash const& one) { return one.request == request; });
  });
}

awaitable<void> crash_watch::wait_until_examined(fingerprint request) {
  // Of a popular request new connections may break all the time.
  time_point const limit = boot_clock::now() + k_settle_time + k_connect_timeout;
  while (!is_examined(request) && boot_clock::now() < limit) co_await examined_.wait_until(limit);
}

awaitable<crash_watch::server_condition> crash_watch::find_condition(directory::server server) {
  http::beast::tcp_stream stream(context_);
  stream.expires_after(k_connect_timeout);
  http::beast::error_code malformed;
  tcp::endpoint const remote(asio::ip::make_address(server.address.address, malformed),
                             server.address.port);
  ++connections_opened_;
  auto [failure] = co_await stream.async_connect(remote, k_as_tuple);
  if (!failure) {
    if (known_.keep_connection) known_.keep_connection(server, std::move(stream));
    co_return server_condition::lives;
  }
  // A server that is cut off, or a node that is, shows nothing of its end.
  bool const refused = failure == asio::error::connection_refused;
  co_return refused ? server_condition::ended : server_condition::unknown;
}

}  // namespace frostline::quarantine
