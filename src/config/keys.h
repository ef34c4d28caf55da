/// @file Key names and prefixes in the key-value service.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace frostline::config {

/// Every node keeps a copy of all keys under this prefix.
inline constexpr std::string_view k_replicated_prefix = "/frostline/replicated/";
inline constexpr std::string_view k_tasks = "/frostline/replicated/config/tasks/";
inline constexpr std::string_view k_versions = "/frostline/replicated/config/versions/";
inline constexpr std::string_view k_routes = "/frostline/replicated/config/routes/";
inline constexpr std::string_view k_drains = "/frostline/replicated/config/drains/";
inline constexpr std::string_view k_shard_owners = "/frostline/replicated/owners/shards/";
inline constexpr std::string_view k_engine_owners = "/frostline/replicated/owners/engines/";
/// Delivery records of shards; read only by the shards' owners.
inline constexpr std::string_view k_delivery = "/frostline/delivery/";
/// Claims of request identifiers; each is attached to a lease and deleted when the lease expires.
inline constexpr std::string_view k_claims = "/frostline/claims/";

inline std::string key_of(std::string_view prefix, std::string_view name) {
  return std::string(prefix).append(name);
}

/// Returns "task/shard", which names a shard in owner and delivery keys.
inline std::string shard_name(std::string_view task, std::uint32_t shard) {
  return std::string(task) + "/" + std::to_string(shard);
}

}  // namespace frostline::config
