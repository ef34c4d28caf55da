#include "calls/event_stream.h"

#include <cctype>
#include <charconv>

namespace frostline::calls {
namespace {

std::optional<std::uint64_t> parse_number(std::string_view text) {
  std::uint64_t number = 0;
  char const* const end = text.data() + text.size();
  auto const parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

/// Returns the field's value without the optional space after the colon.
std::string_view field_value(std::string_view line, std::size_t colon) {
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  return value;
}

/// Returns the length of the two line ends that terminate an event, if they start at `position`,
/// else 0.
std::size_t blank_line_at(std::string_view text, std::size_t position) {
  if (text.substr(position).starts_with("\n\n")) return 2;
  if (text.substr(position).starts_with("\r\n\r\n")) return 4;
  return 0;
}

}  // namespace

event_splitter::event_splitter(std::string version_field)
    : version_field_(std::move(version_field)) {
  for (char& character : version_field_) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
}

stream_event event_splitter::parse(std::string_view raw) const {
  stream_event event;
  event.raw = std::string(raw);
  bool first_data = true;
  while (!raw.empty()) {
    auto const end = raw.find('\n');
    std::string_view line = raw.substr(0, end);
    raw.remove_prefix(end == std::string_view::npos ? raw.size() : end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    auto const colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    std::string_view const name = line.substr(0, colon);
    std::string_view const value = field_value(line, colon);
    if (name == "data") {
      if (!first_data) event.data += '\n';
      event.data += value;
      first_data = false;
      event.has_content = true;
    } else if (name == "id") {
      event.id = parse_number(value);
      event.has_content = true;
    } else if (name == version_field_) {
      event.version = parse_number(value);
    }
  }
  return event;
}

std::vector<stream_event> event_splitter::feed(std::string_view piece) {
  // An earlier piece may have ended within the blank line that terminates an event.
  std::size_t search_from = pending_.size() < 4 ? 0 : pending_.size() - 4;
  pending_.append(piece);
  std::vector<stream_event> events;
  std::size_t event_begin = 0;
  while (search_from < pending_.size()) {
    std::size_t const length = blank_line_at(pending_, search_from);
    if (length == 0) {
      ++search_from;
      continue;
    }
    search_from += length;
    events.push_back(
        parse(std::string_view(pending_).substr(event_begin, search_from - event_begin)));
    event_begin = search_from;
  }
  pending_.erase(0, event_begin);
  return events;
}

}  // namespace frostline::calls
