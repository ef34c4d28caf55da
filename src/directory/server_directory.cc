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
  if (!fresh) index_.remove(known);
  known = std::move(one);
  index_.add(known);
  if (new_life) log_change(known, "Server started again.");
  if (drains) log_change(known, "Server drains.");
  if (new_life && new_life_) new_life_(known);
  return true;
}

void server_directory::erase(std::string const& id) {
  auto const found = servers_.find(id);
  if (found == servers_.end()) return;
  index_.remove(found->second);
  servers_.erase(found);
}

void server_directory::replace_all(std::vector<server> servers) {
  std::set<std::string> listed;
  for (server const& one : servers) listed.insert(one.id);
  std::vector<std::string> ids(listed.begin(), listed.end());
  std::vector<std::string> gone;
  for (auto const& [id, one] : servers_) {
    if (!listed.contains(id)) gone.push_back(id);
  }
  for (std::string const& id : gone) {
    log_change(servers_.at(id), "Server gone.");
    erase(id);
  }
  ids.insert(ids.end(), gone.begin(), gone.end());
  for (server& one : servers) take(std::move(one));
  loaded_ = true;
  log_size();
  notify(ids);
}

void server_directory::put(server one) {
  std::string const id = one.id;
  bool const fresh = !servers_.contains(id);
  if (!take(std::move(one))) return;
  if (fresh) log_change(servers_.at(id), "Server appeared.");
  notify({id});
}

void server_directory::put_all(std::vector<server> servers) {
  std::vector<std::string> ids;
  for (server& one : servers) {
    ids.push_back(one.id);
    take(std::move(one));
  }
  log_size();
  notify(ids);
}

void server_directory::forget(std::vector<std::string> const& ids) {
  for (std::string const& id : ids) erase(id);
  log_size();
  notify(ids);
}

void server_directory::log_size() const {
  log_line(log_level::info, k_part, "Servers known.", {{"servers", servers_.size()}});
}

void server_directory::remove(std::string const& id) {
  auto const found = servers_.find(id);
  if (found == servers_.end()) return;
  log_change(found->second, "Server gone.");
  erase(id);
  notify({id});
}

server const* server_directory::find(std::string const& id) const {
  auto const found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

bool server_directory::is_superseded(server const& former) const {
  server const* const same = find(former.id);
  if (same != nullptr && same->born > former.born) return true;
  return index_.has_other_at_address(former);
}

bool server_directory::is_leaving(server const& one) const {
  server const* const known = find(one.id);
  return known != nullptr && known->born == one.born && known->state == server_state::draining;
}

void server_directory::notify(std::vector<std::string> const& ids) const {
  for (auto const& one : listeners_) one(ids);
}

}  // namespace frostline::directory
