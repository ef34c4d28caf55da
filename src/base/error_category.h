/// @file Helper with which each layer declares its own error category.
#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <system_error>

namespace frostline {

/// Value or a layer's own error code.
template <class Value>
using result =
    boost::outcome_v2::basic_result<Value, std::error_code, boost::outcome_v2::policy::terminate>;

/// Category of one layer's error enum. The layer supplies `layer_name(Errc)` and
/// `describe(Errc)`, found by argument-dependent lookup.
template <class Errc>
class layer_error_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return layer_name(Errc{}); }
  std::string message(int code) const override { return describe(static_cast<Errc>(code)); }
};

/// Turns a layer's enum value into an error code of that layer's category.
template <class Errc>
std::error_code make_layer_error(Errc code) {
  static const layer_error_category<Errc> category;
  return {static_cast<int>(code), category};
}

}  // namespace frostline
