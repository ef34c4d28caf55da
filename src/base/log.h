/// @file Structured logs: one JSON object a line on standard output, each with the fixed prefix of
/// the part that speaks, a short sentence, and fields.
///
/// Lines are gathered and written together. Logging never waits: when the reader of standard output
/// is slow, or lines come faster than a fixed rate, lines are dropped and counted.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace frostline {

enum class log_level { debug, info, warning, error };

/// One key and its value, already rendered.
struct log_field {
  std::string_view key;
  std::string value;

  log_field(std::string_view name, std::string_view text) : key(name), value(text) {}
  log_field(std::string_view name, std::integral auto number)
      : key(name), value(std::to_string(number)) {}
};

using log_fields = std::initializer_list<log_field>;

/// Starts logging for a process, or changes its level. `process` names it in each line.
/// @return false if `level` is not one of debug, info, warning, error.
bool start_logging(std::string_view process, std::string_view level);

/// Writes one line. `part` is the fixed prefix, such as "kv".
void log_line(log_level level, std::string_view part, std::string_view sentence,
              log_fields fields = {});

/// Writes what has been gathered. Called now and then, and before a process ends.
void flush_logs();

/// Lines dropped since the start.
std::uint64_t dropped_log_lines();

}  // namespace frostline
