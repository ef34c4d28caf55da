#include "gateway/server_watch.h"

#include "base/log.h"

namespace frostline::gateway {
namespace {

constexpr std::string_view k_part = "gateway";

void log_malformed(kv::key_value const& record) {
  log_line(log_level::error, k_part, "Server's record is malformed; what was known of it stays.",
           {{"key", record.key}, {"revision", record.mod_revision}});
}

}  // namespace

kv::follower_callbacks server_watch::listener() {
  kv::follower_callbacks callbacks;
  callbacks.snapshot = [this](kv::range_answer const& all) { take_all(all); };
  callbacks.event = [this](kv::watch_event const& event) { take_one(event); };
  return callbacks;
}

relay::record_view::comparison server_watch::alike() const {
  return [this](kv::key_value const& known, kv::key_value const& fresh) {
    auto const before = adapter_.parse_server(known.key, known.value);
    auto const after = adapter_.parse_server(fresh.key, fresh.value);
    return before && after && directory::serve_alike(*before, *after);
  };
}

void server_watch::take_all(kv::range_answer const& all) {
  std::vector<directory::server> servers;
  for (kv::key_value const& one : all.entries) {
    auto parsed = adapter_.parse_server(one.key, one.value);
    if (parsed) {
      servers.push_back(std::move(*parsed));
    } else {
      log_malformed(one);
    }
  }
  servers_.replace_all(std::move(servers));
}

void server_watch::take_one(kv::watch_event const& event) {
  if (event.deleted) {
    servers_.remove(event.entry.key.substr(adapter_.keys().servers_prefix.size()));
    return;
  }
  auto parsed = adapter_.parse_server(event.entry.key, event.entry.value);
  if (!parsed) {
    log_malformed(event.entry);
    return;
  }
  servers_.put(std::move(*parsed));
}

}  // namespace frostline::gateway
