#include "balancing/load_report.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace frostline::balancing {
namespace {

constexpr std::size_t k_max_text_length = 64;
constexpr std::size_t k_max_values = 4;
constexpr std::size_t k_required_values = 3;

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::optional<std::uint32_t> parse_value(std::string_view text) {
  text = trim(text);
  std::uint32_t value = 0;
  char const* const end = text.data() + text.size();
  auto const parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  if (value > load_report::k_max_value) return std::nullopt;
  return value;
}

}  // namespace

std::optional<load_report> parse_load_report(std::string_view text) {
  if (text.size() > k_max_text_length) return std::nullopt;
  std::array<std::uint32_t, k_max_values> values{};
  std::size_t count = 0;
  for (bool more = true; more;) {
    auto const comma = text.find(',');
    auto const value = parse_value(text.substr(0, comma));
    if (!value || count == k_max_values) return std::nullopt;
    values[count++] = *value;
    more = comma != std::string_view::npos;
    if (more) text.remove_prefix(comma + 1);
  }
  if (count < k_required_values || values[2] == 0) return std::nullopt;
  load_report report{values[0], values[1], values[2], std::nullopt};
  if (count == k_max_values) {
    report.percentage =
        std::clamp(values[3], load_report::k_min_percentage, load_report::k_max_percentage);
  }
  return report;
}

}  // namespace frostline::balancing
