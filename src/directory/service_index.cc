#include "directory/service_index.h"

#include <algorithm>

namespace frostline::directory {
namespace {

bool id_is_less(server const* left, std::string const& id) { return left->id < id; }

}  // namespace

void service_index::add(server const& record) {
  service_servers& service = services_[record.service];
  service.ids_by_address[record.address.to_string()].insert(record.id);
  if (record.state != server_state::ready) return;
  auto const position =
      std::lower_bound(service.ready.begin(), service.ready.end(), record.id, id_is_less);
  service.ready.insert(position, &record);
  service.slots += record.slots;
}

void service_index::remove(server const& record) {
  auto const found = services_.find(record.service);
  if (found == services_.end()) return;
  service_servers& service = found->second;
  auto const address = service.ids_by_address.find(record.address.to_string());
  if (address != service.ids_by_address.end()) {
    address->second.erase(record.id);
    if (address->second.empty()) service.ids_by_address.erase(address);
  }
  auto const position =
      std::lower_bound(service.ready.begin(), service.ready.end(), record.id, id_is_less);
  if (position != service.ready.end() && *position == &record) {
    service.ready.erase(position);
    service.slots -= record.slots;
  }
  if (service.ids_by_address.empty()) services_.erase(found);
}

std::vector<server const*> const& service_index::ready(std::string const& service) const {
  static std::vector<server const*> const none;
  auto const found = services_.find(service);
  return found == services_.end() ? none : found->second.ready;
}

std::uint64_t service_index::ready_slots(std::string const& service) const {
  auto const found = services_.find(service);
  return found == services_.end() ? 0 : found->second.slots;
}

bool service_index::has_other_at_address(server const& record) const {
  auto const service = services_.find(record.service);
  if (service == services_.end()) return false;
  auto const found = service->second.ids_by_address.find(record.address.to_string());
  if (found == service->second.ids_by_address.end()) return false;
  std::set<std::string> const& ids = found->second;
  return ids.size() > 1 || !ids.contains(record.id);
}

}  // namespace frostline::directory
