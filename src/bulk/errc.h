/// @file Errors of the bulk store.
#pragma once

#include "base/error_category.h"

namespace frostline::bulk {

enum class errc {
  /// The data folder can't be created or its database can't be opened.
  open_failed = 1,
  /// The disk is full; the write was rolled back.
  disk_full,
  /// A read failed, or a write failed and was rolled back.
  storage_failed,
};

inline const char* layer_name(errc) { return "bulk"; }

inline std::string describe(errc code) {
  switch (code) {
    case errc::open_failed:
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
