/// @file Names of keys in the key-value service.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace frostline::config {

/// Everything below this is held by every node.
inline constexpr std::string_view k_replicated_prefix = "/frostline/replicated/";
inline constexpr std::string_view k_tasks = "/frostline/replicated/config/tasks/";
inline constexpr std::string_view k_versions = "/frostline/replicated/config/versions/";
inline constexpr std::string_view k_routes = "/frostline/replicated/config/routes/";
inline constexpr std::string_view k_drains = "/frostline/replicated/config/drains/";
inline constexpr std::string_view k_shard_owners = "/frostline/replicated/owners/shards/";
inline constexpr std::string_view k_engine_owners = "/frostline/replicated/owners/engines/";
/// Delivery state of shards; only their owners read it.
inline constexpr std::string_view k_delivery = "/frostline/delivery/";
/// Claims of request identifiers, each bound to a lease that forgets it.
inline constexpr std::string_view k_claims = "/frostline/claims/";

inline std::string key_of(std::string_view prefix, std::string_view name) {
  return std::string(prefix).append(name);
}

/// "task/shard", the name of a shard in owner and delivery keys.
inline std::string shard_name(std::string_view task, std::uint32_t shard) {
  return std::string(task) + "/" + std::to_string(shard);
}

}  // namespace frostline::config
