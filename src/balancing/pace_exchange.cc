#include "balancing/pace_exchange.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_set>

namespace frostline::balancing {
namespace {

constexpr double k_percent = 100.0;

bool is_valid_age(milliseconds age) {
  return age >= milliseconds(0) && age <= k_max_slow_server_age;
}

bool is_valid_id(std::string const& id) {
  return !id.empty() && id.size() <= k_max_server_id_bytes;
}

/// Keeps the newest entry of each server, and of these the slowest, the slowest first.
void keep_slowest(std::vector<slow_server>& servers) {
  auto const by_age = [](slow_server const& left, slow_server const& right) {
    return std::tie(left.age, left.id) < std::tie(right.age, right.id);
  };
  std::sort(servers.begin(), servers.end(), by_age);
  std::unordered_set<std::string> seen;
  std::erase_if(servers, [&](slow_server const& entry) { return !seen.insert(entry.id).second; });
  std::stable_sort(
      servers.begin(), servers.end(),
      [](slow_server const& left, slow_server const& right) { return left.pace > right.pace; });
  if (servers.size() > k_max_slow_servers) servers.resize(k_max_slow_servers);
}

}  // namespace

std::unique_ptr<rpc::SlowServersT> encode_slow_servers(std::vector<slow_server> servers) {
  std::erase_if(servers, [](slow_server const& entry) {
    return !std::isfinite(entry.pace) || !is_valid_age(entry.age) || !is_valid_id(entry.id);
  });
  keep_slowest(servers);
  std::erase_if(servers, [](slow_server const& entry) { return entry.pace < k_min_sent_pace; });
  if (servers.empty()) return nullptr;
  auto encoded = std::make_unique<rpc::SlowServersT>();
  for (slow_server& entry : servers) {
    auto server = std::make_unique<rpc::SlowServerT>();
    server->id = std::move(entry.id);
    server->pace_percent =
        static_cast<std::uint16_t>(std::lround(std::min(entry.pace, k_max_pace) * k_percent));
    server->age_ms = static_cast<std::uint16_t>(entry.age.count());
    encoded->servers.push_back(std::move(server));
  }
  return encoded;
}

std::vector<slow_server> decode_slow_servers(rpc::SlowServersT const* received,
                                             milliseconds under_way) {
  std::vector<slow_server> servers;
  if (received == nullptr) return servers;
  for (auto const& entry : received->servers) {
    if (!entry || !is_valid_id(entry->id)) continue;
    double const pace = entry->pace_percent / k_percent;
    milliseconds const age = milliseconds(entry->age_ms) + std::max(under_way, milliseconds(0));
    if (pace < k_min_pace || pace > k_max_pace || !is_valid_age(age)) continue;
    servers.push_back({entry->id, pace, age});
  }
  keep_slowest(servers);
  return servers;
}

}  // namespace frostline::balancing
