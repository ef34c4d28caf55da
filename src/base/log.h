/// @file Structured logs: one JSON object a line on standard error, each with the fixed prefix of
/// the part that speaks, a short sentence, and fields.
#pragma once

#include <concepts>
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

/// Starts logging for a process. `process` names it in each line.
/// @return false if `level` is not one of debug, info, warning, error.
bool start_logging(std::string_view process, std::string_view level);

/// Writes one line. `part` is the fixed prefix, such as "kv".
void log_line(log_level level, std::string_view part, std::string_view sentence,
              log_fields fields = {});

}  // namespace frostline
