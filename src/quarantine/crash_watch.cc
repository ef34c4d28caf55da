#include "quarantine/crash_watch.h"

#include <algorithm>

#include "base/log.h"
#include "http/message.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_part = "quarantine";
/// A process that ends closes its connections one after the other, its listener among them.
constexpr milliseconds k_settle_time{20};
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
  server_condition const condition = co_await find_condition(server.address);
  auto node = broken_.extract(server.life());
  std::vector<crash>& requests = node.mapped();
  log_line(log_level::info, k_part, "Server looked at after connections broke.",
           {{"server", server.id},
            {"service", server.service},
            {"condition", to_text(condition)},
            {"requests", requests.size()},
            {"first", requests.front().request.to_string()}});
  if (condition == server_condition::ended) on_crash_(std::move(requests));
  examined_.notify_all();
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

awaitable<crash_watch::server_condition> crash_watch::find_condition(endpoint address) {
  http::beast::tcp_stream stream(context_);
  stream.expires_after(k_connect_timeout);
  http::beast::error_code malformed;
  tcp::endpoint const remote(asio::ip::make_address(address.address, malformed), address.port);
  auto [failure] = co_await stream.async_connect(remote, k_as_tuple);
  if (!failure) co_return server_condition::lives;
  // A server that is cut off, or a node that is, shows nothing of its end.
  bool const refused = failure == asio::error::connection_refused;
  co_return refused ? server_condition::ended : server_condition::unknown;
}

}  // namespace frostline::quarantine
