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

/// The field's value without the one blank that may follow the colon.
std::string_view field_value(std::string_view line, std::size_t colon) {
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' ')) value.remove_prefix(1);
  return value;
}

/// Length of the blank line that ends an event at `place`, or 0.
std::size_t blank_line_at(std::string_view text, std::size_t place) {
  if (text.substr(place).starts_with("\n\n")) return 2;
  if (text.substr(place).starts_with("\r\n\r\n")) return 4;
  return 0;
}

}  // namespace

event_splitter::event_splitter(std::string version_field)
    : version_field_(std::move(version_field)) {
  for (char& letter : version_field_) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
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
    } else if (name == "id") {
      event.id = parse_number(value);
    } else if (name == version_field_) {
      event.version = parse_number(value);
    }
  }
  return event;
}

std::vector<stream_event> event_splitter::feed(std::string_view piece) {
  // A blank line may begin in what is pending already.
  std::size_t from = pending_.size() < 4 ? 0 : pending_.size() - 4;
  pending_.append(piece);
  std::vector<stream_event> events;
  std::size_t begin = 0;
  while (from < pending_.size()) {
    std::size_t const length = blank_line_at(pending_, from);
    if (length == 0) {
      ++from;
      continue;
    }
    from += length;
    events.push_back(parse(std::string_view(pending_).substr(begin, from - begin)));
    begin = from;
  }
  pending_.erase(0, begin);
  return events;
}

}  // namespace frostline::calls
