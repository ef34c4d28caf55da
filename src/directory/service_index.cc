#include "directory/service_index.h"

#include <algorithm>

namespace frostline::directory {
namespace {

bool is_before(server const* left, std::string const& id) { return left->id < id; }

}  // namespace

void service_index::add(server const& one) {
  service_servers& service = services_[one.service];
  service.at_address[one.address.to_string()].insert(one.id);
  if (one.state != server_state::ready) return;
  auto const place =
      std::lower_bound(service.ready.begin(), service.ready.end(), one.id, is_before);
  service.ready.insert(place, &one);
  service.slots += one.slots;
}

void service_index::remove(server const& one) {
  auto const found = services_.find(one.service);
  if (found == services_.end()) return;
  service_servers& service = found->second;
  auto const address = service.at_address.find(one.address.to_string());
  if (address != service.at_address.end()) {
    address->second.erase(one.id);
    if (address->second.empty()) service.at_address.erase(address);
  }
  auto const place =
      std::lower_bound(service.ready.begin(), service.ready.end(), one.id, is_before);
  if (place != service.ready.end() && *place == &one) {
    service.ready.erase(place);
    service.slots -= one.slots;
  }
  if (service.at_address.empty()) services_.erase(found);
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

bool service_index::has_other_at_address(server const& one) const {
  auto const service = services_.find(one.service);
  if (service == services_.end()) return false;
  auto const found = service->second.at_address.find(one.address.to_string());
  if (found == service->second.at_address.end()) return false;
  std::set<std::string> const& ids = found->second;
  return ids.size() > 1 || !ids.contains(one.id);
}

}  // namespace frostline::directory
