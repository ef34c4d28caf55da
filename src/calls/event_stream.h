/// @file Splits a byte stream into server-sent events. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace frostline::calls {

struct stream_event {
  /// Absent if the event has no id, or one that is not a decimal number.
  std::optional<std::uint64_t> id;
  /// Data lines, joined by line feeds.
  std::string data;
  /// Weight version of this event and those after it; absent if the event names none.
  std::optional<std::uint64_t> version;
  /// Unmodified bytes of the event, including the blank line that ends it.
  std::string raw;
  /// False for a block that is no event, such as a comment: it has neither data nor an id.
  bool has_content = false;
};

class event_splitter {
 public:
  /// Limit of the size of an event. It bounds the memory that a faulty server can take up, which
  /// sends bytes without an end of an event.
  static constexpr std::size_t k_max_event_bytes = 256 * 1024;

  /// @param version_field name of the event field with the weight version, in upper or lower case.
  /// Events must have it in lower case.
  explicit event_splitter(std::string version_field);

  /// Appends the next bytes of the stream. @return the events that are complete with them.
  std::vector<stream_event> feed(std::string_view piece);
  /// Returns true if no partial event is buffered.
  bool is_between_events() const { return pending_.empty(); }
  /// Returns true if the partial event exceeds `k_max_event_bytes`; the stream is to be given up.
  bool is_overlong() const { return pending_.size() > k_max_event_bytes; }
  void reset() { pending_.clear(); }

 private:
  stream_event parse(std::string_view raw) const;

  std::string version_field_;
  std::string pending_;
};

}  // namespace frostline::calls
