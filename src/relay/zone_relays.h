/// @file The relay of each zone according to the record store: one record per zone, without a
/// lease. A record may name a node that no longer runs; nodes that notice replace it. Relays only
/// save calls to the store: correctness does not depend on a zone having exactly one relay, or one
/// at all. Performs no I/O.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/endpoint.h"
#include "kv/types.h"

namespace frostline::relay {

struct zone_relay {
  std::string zone;
  std::string node;
  /// Address for calls from other nodes.
  endpoint address;
  /// Revision of the record, expected by the write that replaces it.
  kv::revision revision = 0;
};

class zone_relays {
 public:
  static std::string records_prefix();
  static std::string key_of(std::string const& zone);
  static std::string encode(zone_relay const& relay);

  /// Applies a change. A malformed record is logged and ignored, but its revision is kept so that
  /// the record can be replaced.
  void apply(kv::watch_event const& event);
  void apply_all(kv::range_answer const& all);

  std::map<std::string, zone_relay> const& all() const { return relays_; }
  zone_relay const* find(std::string const& zone) const;
  /// Revision of a zone's record; 0 if there is none.
  kv::revision revision_of(std::string const& zone) const;

 private:
  std::map<std::string, zone_relay> relays_;
  std::map<std::string, kv::revision> revisions_;
};

}  // namespace frostline::relay
