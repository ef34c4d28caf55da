/// @file Structured logs: one JSON object per line on standard output, with a message that starts
/// with the name of the component, and fields.
///
/// Lines are buffered and written in batches. Logging never blocks: lines are dropped and counted
/// if the reader of standard output is too slow or the rate limit is exceeded.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace frostline {

enum class log_level { debug, info, warning, error };

/// Key and rendered value of one field.
struct log_field {
  std::string_view key;
  std::string value;

  log_field(std::string_view name, std::string_view text) : key(name), value(text) {}
  log_field(std::string_view name, std::integral auto number)
      : key(name), value(std::to_string(number)) {}
};

using log_fields = std::initializer_list<log_field>;

/// Starts logging, or changes the level. `process` is the process name in each line.
/// @return false if `level` is not one of debug, info, warning, error.
bool start_logging(std::string_view process, std::string_view level);

/// Logs one line. `component` is the prefix of the message, such as "kv".
void log_line(log_level level, std::string_view component, std::string_view message,
              std::span<log_field const> fields);

inline void log_line(log_level level, std::string_view component, std::string_view message,
                     log_fields fields = {}) {
  log_line(level, component, message, std::span(fields.begin(), fields.size()));
}

/// Writes buffered lines until standard output would block. Has to be called periodically and
/// before the process exits.
void flush_logs();

/// Number of lines dropped since the process started.
std::uint64_t dropped_log_lines();

}  // namespace frostline
