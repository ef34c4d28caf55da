/// @file Server-sent events as a byte stream brings them. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace frostline::calls {

struct stream_event {
  std::optional<std::uint64_t> id;
  /// Lines of data, joined by line feeds.
  std::string data;
  /// Version of the weights from this event on, if the event names one.
  std::optional<std::uint64_t> version;
  /// The event as it came, with the blank line that ends it.
  std::string raw;
};

class event_splitter {
 public:
  /// @param version_field name of the field that tells a new version; events carry it in lower
  /// case.
  explicit event_splitter(std::string version_field);

  /// Takes bytes in. @return the events that they complete.
  std::vector<stream_event> feed(std::string_view piece);
  /// Whether the stream stands between two events.
  bool is_between_events() const { return pending_.empty(); }
  void reset() { pending_.clear(); }

 private:
  stream_event parse(std::string_view raw) const;

  std::string version_field_;
  std::string pending_;
};

}  // namespace frostline::calls
