#include "directory/server_directory.h"

#include <algorithm>
#include <set>

#include "base/encoding.h"
#include "base/log.h"

namespace frostline::directory {
namespace {

constexpr std::string_view k_part = "directory";

void log_change(server const& one, std::string_view sentence) {
  log_line(log_level::info, k_part, sentence,
           {{"server", one.id},
            {"service", one.service},
            {"address", one.address.to_string()},
            {"born", one.born}});
}

}  // namespace

std::uint64_t digest_for_callers(server const& one) {
  std::string text;
  auto const add = [&text](std::string_view part) { text.append(part).push_back('\0'); };
  add(one.id);
  add(std::to_string(one.born));
  add(one.service);
  add(one.address.to_string());
  add(one.zone);
  add(std::to_string(one.slots));
  add(one.state == server_state::ready ? "ready" : "draining");
  add(one.models.empty() ? "" : "models");
  return hash_bytes(text);
}

bool server_directory::take(server one) {
  auto const [place, fresh] = servers_.try_emplace(one.id);
  server& known = place->second;
  if (!fresh && one.born < known.born) {
    log_line(log_level::info, k_part, "Record of a former life is passed over.",
             {{"server", one.id}, {"born", one.born}, {"known", known.born}});
    return false;
  }
  bool const new_life = !fresh && one.born > known.born;
  bool const drains = one.state == server_state::draining && known.state == server_state::ready;
  known = std::move(one);
  if (new_life) log_change(known, "Server started again.");
  if (drains) log_change(known, "Server drains.");
  if (new_life && new_life_) new_life_(known);
  return true;
}

void server_directory::replace_all(std::vector<server> servers) {
  std::set<std::string> listed;
  for (server& one : servers) {
    listed.insert(one.id);
    take(std::move(one));
  }
  std::erase_if(servers_, [&](auto const& entry) {
    bool const gone = !listed.contains(entry.first);
    if (gone) log_change(entry.second, "Server gone.");
    return gone;
  });
  loaded_ = true;
  log_size();
  notify();
}

void server_directory::put(server one) {
  bool const fresh = !servers_.contains(one.id);
  std::string const id = one.id;
  if (!take(std::move(one))) return;
  if (fresh) log_change(servers_.at(id), "Server appeared.");
  notify();
}

void server_directory::put_all(std::vector<server> servers) {
  for (server& one : servers) take(std::move(one));
  log_size();
  notify();
}

void server_directory::forget(std::vector<std::string> const& ids) {
  for (std::string const& id : ids) servers_.erase(id);
  log_size();
  notify();
}

void server_directory::log_size() const {
  log_line(log_level::info, k_part, "Servers known.", {{"servers", servers_.size()}});
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

bool server_directory::is_replaced(server const& former) const {
  server const* const same = find(former.id);
  if (same != nullptr && same->born > former.born) return true;
  return std::any_of(servers_.begin(), servers_.end(), [&](auto const& entry) {
    server const& one = entry.second;
    bool const in_its_place = one.service == former.service && one.address == former.address;
    return in_its_place && one.id != former.id;
  });
}

bool server_directory::is_leaving(server const& one) const {
  server const* const known = find(one.id);
  return known != nullptr && known->born == one.born && known->state == server_state::draining;
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
