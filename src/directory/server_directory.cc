#include "directory/server_directory.h"

#include "base/log.h"

namespace frostline::directory {
namespace {

constexpr std::string_view k_part = "directory";

void log_change(server const& one, std::string_view sentence) {
  log_line(log_level::info, k_part, sentence,
           {{"server", one.id}, {"service", one.service}, {"address", one.address.to_string()}});
}

}  // namespace

bool serve_alike(server const& left, server const& right) {
  server same = left;
  same.models = right.models;
  same.sequence = right.sequence;
  return same == right && left.models.empty() == right.models.empty();
}

void server_directory::replace_all(std::vector<server> servers) {
  std::map<std::string, server> fresh;
  for (server& one : servers) fresh[one.id] = std::move(one);
  for (auto const& [id, known] : servers_) {
    if (!fresh.contains(id)) log_change(known, "Server gone.");
  }
  servers_ = std::move(fresh);
  loaded_ = true;
  notify();
}

void server_directory::put(server one) {
  server& known = servers_[one.id];
  bool const drains = one.state == server_state::draining && known.state == server_state::ready;
  bool const fresh = known.id.empty();
  known = std::move(one);
  if (fresh) log_change(known, "Server appeared.");
  if (drains) log_change(known, "Server drains.");
  notify();
}

void server_directory::remove(std::string const& id) {
  auto const found = servers_.find(id);
  if (found == servers_.end()) return;
  log_change(found->second, "Server gone.");
  servers_.erase(found);
  notify();
}

server const* server_directory::find(std::string const& id) const {
  auto const found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

std::vector<server const*> server_directory::ready_servers(std::string const& service) const {
  std::vector<server const*> ready;
  for (auto const& [id, one] : servers_) {
    if (one.service == service && one.state == server_state::ready) ready.push_back(&one);
  }
  return ready;
}

void server_directory::notify() const {
  for (auto const& listener : listeners_) listener();
}

}  // namespace frostline::directory
