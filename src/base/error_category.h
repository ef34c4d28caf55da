/// @file Support for one std::error_category per layer.
#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <system_error>

namespace frostline {

/// A value, or the error code of a layer.
template <class Value>
using result =
    boost::outcome_v2::basic_result<Value, std::error_code, boost::outcome_v2::policy::terminate>;

/// Error category of a layer's enum. The layer provides `layer_name(Errc)` and `describe(Errc)`,
/// which are found by argument-dependent lookup.
template <class Errc>
class layer_error_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return layer_name(Errc{}); }
  std::string message(int code) const override { return describe(static_cast<Errc>(code)); }
};

/// Converts a layer's enum value to an error code of the layer's category.
template <class Errc>
std::error_code make_layer_error(Errc code) {
  static const layer_error_category<Errc> category;
  return {static_cast<int>(code), category};
}

}  // namespace frostline
