/// @file Parts of the operator's configurations of the cases.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace frostline::review {

/// A route of the rollout kind with the figures of the small deployments' sheets.
/// @param service target as JSON fields, for example `"service":"bidmind"`.
std::string rollout_route(std::string const& path_prefix, std::string const& target,
                          bool single_version = false);
/// A streaming route that may not be resumed.
std::string streaming_route(std::string const& path_prefix, std::string const& target);
/// A route of the safe kind with the figures of the small deployments' sheets.
std::string safe_route(std::string const& path_prefix, std::string const& target);
std::string model_service(std::string const& name, std::uint32_t slots = 8);
std::string application_service(std::string const& name);
std::string configuration(std::uint64_t version, std::vector<std::string> const& routes,
                          std::vector<std::string> const& services);

}  // namespace frostline::review
