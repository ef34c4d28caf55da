/// @file The settings file of a running gateway, which other programs may replace at any time.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "gateway/settings.h"

namespace frostline::gateway {

/// Reads a settings file and notices when it changes.
class settings_file {
 public:
  explicit settings_file(std::string path) : path_(std::move(path)) {}

  /// Reads and validates the file. @param into receives all values that could be read. @return all
  /// errors.
  std::vector<settings_error> read(settings& into);

  /// Returns true if the file has changed since the last `read` began.
  bool has_changed() const { return identify() != last_read_; }

 private:
  /// Identifies the contents of the file. The time alone does not: a file may be written twice
  /// within the resolution of its file system.
  struct identity {
    ino_t inode = 0;
    off_t bytes = 0;
    std::int64_t modified_s = 0;
    std::int64_t modified_ns = 0;

    bool operator==(identity const&) const = default;
  };

  /// Returns a default value if the file can't be read.
  identity identify() const;

  std::string path_;
  identity last_read_;
};

}  // namespace frostline::gateway
