/// @file Errors of the bulk store.
#pragma once

#include "base/error_category.h"

namespace frostline::bulk {

enum class errc {
  /// The data folder can't be opened or created.
  can_not_open = 1,
  /// Nothing was stored: the disk is full.
  disk_full,
  /// Nothing was stored, or the read failed.
  storage_failed,
};

inline const char* layer_name(errc) { return "bulk"; }

inline std::string describe(errc code) {
  switch (code) {
    case errc::can_not_open:
      return "data folder can't be opened";
    case errc::disk_full:
      return "disk is full";
    case errc::storage_failed:
      return "storage failed";
  }
  return "unknown error";
}

inline std::error_code make_error_code(errc code) { return make_layer_error(code); }

}  // namespace frostline::bulk

template <>
struct std::is_error_code_enum<frostline::bulk::errc> : std::true_type {};
