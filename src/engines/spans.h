/// @file Spans: which weight version produced which run of a sample's tokens. Pure.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "schema/frostline_generated.h"

namespace frostline::engines {

/// One run of tokens of one version.
struct version_span {
  std::uint64_t version = 0;
  std::uint32_t tokens = 0;

  bool operator==(version_span const&) const = default;
};

using span_list = std::vector<version_span>;

/// Appends tokens; joins the last span if the version is the same.
inline void append_span(span_list& spans, std::uint64_t version, std::uint32_t tokens) {
  if (tokens == 0) return;
  if (!spans.empty() && spans.back().version == version) {
    spans.back().tokens += tokens;
  } else {
    spans.push_back({version, tokens});
  }
}

/// Version of the oldest span; 0 if there is none.
inline std::uint64_t oldest_version(span_list const& spans) {
  std::uint64_t oldest = spans.empty() ? 0 : spans.front().version;
  for (version_span const& span : spans) oldest = std::min(oldest, span.version);
  return oldest;
}

inline std::uint32_t token_count(span_list const& spans) {
  std::uint32_t total = 0;
  for (version_span const& span : spans) total += span.tokens;
  return total;
}

/// Whether a sample with these spans may be delivered while `published` is the newest version.
inline bool is_within_bound(span_list const& spans, std::uint64_t published, std::uint32_t bound) {
  return oldest_version(spans) + bound >= published;
}

using wire_spans = std::vector<std::unique_ptr<rpc::VersionSpanT>>;

inline wire_spans to_wire(span_list const& spans) {
  wire_spans wire;
  for (version_span const& span : spans) {
    auto item = std::make_unique<rpc::VersionSpanT>();
    item->version = span.version;
    item->tokens = span.tokens;
    wire.push_back(std::move(item));
  }
  return wire;
}

inline span_list from_wire(wire_spans const& wire) {
  span_list spans;
  for (auto const& item : wire) spans.push_back({item->version, item->tokens});
  return spans;
}

}  // namespace frostline::engines
