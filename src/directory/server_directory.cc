#include "directory/server_directory.h"

#include <algorithm>
#include <set>

#include "base/encoding.h"
#include "base/log.h"

namespace frostline::directory {
namespace {

constexpr std::string_view k_part = "directory";

void log_change(server const& record, std::string_view sentence) {
  log_line(log_level::info, k_part, sentence,
           {{"server", record.id},
            {"service", record.service},
            {"address", record.address.to_string()},
            {"born", record.born}});
}

}  // namespace

std::uint64_t digest_for_callers(server const& record) {
  std::string text;
  auto const add = [&text](std::string_view part) { text.append(part).push_back('\0'); };
  add(record.id);
  add(std::to_string(record.born));
  add(record.service);
  add(record.address.to_string());
  add(record.zone);
  add(std::to_string(record.slots));
  add(record.state == server_state::ready ? "ready" : "draining");
  add(record.models.empty() ? "" : "models");
  return hash_bytes(text);
}

bool server_directory::apply_record(server record) {
  auto const [position, inserted] = servers_.try_emplace(record.id);
  server& known = position->second;
  if (!inserted && record.born < known.born) {
    log_line(log_level::info, k_part, "Stale server record ignored.",
             {{"server", record.id}, {"born", record.born}, {"known", known.born}});
    return false;
  }
  bool const restarted = !inserted && record.born > known.born;
  bool const started_draining =
      record.state == server_state::draining && known.state == server_state::ready;
  if (!inserted) index_.remove(known);
  known = std::move(record);
  index_.add(known);
  if (restarted) log_change(known, "Server started again.");
  if (started_draining) log_change(known, "Server drains.");
  if (restarted && restart_listener_) restart_listener_(known);
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
  for (server const& record : servers) listed.insert(record.id);
  std::vector<std::string> ids(listed.begin(), listed.end());
  std::vector<std::string> removed;
  for (auto const& [id, record] : servers_) {
    if (!listed.contains(id)) removed.push_back(id);
  }
  for (std::string const& id : removed) {
    log_change(servers_.at(id), "Server gone.");
    erase(id);
  }
  ids.insert(ids.end(), removed.begin(), removed.end());
  for (server& record : servers) apply_record(std::move(record));
  loaded_ = true;
  log_size();
  notify(ids);
}

void server_directory::put(server record) {
  std::string const id = record.id;
  bool const inserted = !servers_.contains(id);
  if (!apply_record(std::move(record))) return;
  if (inserted) log_change(servers_.at(id), "Server appeared.");
  notify({id});
}

void server_directory::put_all(std::vector<server> servers) {
  std::vector<std::string> ids;
  for (server& record : servers) {
    ids.push_back(record.id);
    apply_record(std::move(record));
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

bool server_directory::is_superseded(server const& previous) const {
  server const* const same = find(previous.id);
  if (same != nullptr && same->born > previous.born) return true;
  return index_.has_other_at_address(previous);
}

bool server_directory::is_leaving(server const& record) const {
  server const* const known = find(record.id);
  return known != nullptr && known->born == record.born && known->state == server_state::draining;
}

void server_directory::notify(std::vector<std::string> const& ids) const {
  for (auto const& listener : listeners_) listener(ids);
}

}  // namespace frostline::directory
