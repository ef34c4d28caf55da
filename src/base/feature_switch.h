/// @file How an operator controls a feature that a configuration can call for.
#pragma once

#include <optional>
#include <string_view>

namespace frostline {

/// `automatic`: on where the configuration calls for the feature.
enum class feature_switch { automatic, on, off };

/// The values of a setting, in the order of the enumeration.
inline constexpr std::string_view k_feature_switch_values = "auto, on or off";

/// Returns nothing if `text` is not one of `k_feature_switch_values`.
inline std::optional<feature_switch> parse_feature_switch(std::string_view text) {
  if (text == "auto") return feature_switch::automatic;
  if (text == "on") return feature_switch::on;
  if (text == "off") return feature_switch::off;
  return std::nullopt;
}

/// @param called_for whether the configuration calls for the feature.
inline bool is_enabled(feature_switch value, bool called_for) {
  return value == feature_switch::on || (value == feature_switch::automatic && called_for);
}

}  // namespace frostline
