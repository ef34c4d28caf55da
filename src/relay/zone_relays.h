/// @file Which node relays records in which zone, as the record store says: one record a zone,
/// without a lease. A record may name a node that is long gone; who finds that out replaces it.
/// Nothing depends on there being only one relay, or any: it saves calls to the store. Pure.
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
  /// Where other nodes reach it.
  endpoint address;
  /// Revision of its record, at which it can be replaced.
  kv::revision revision = 0;
};

class zone_relays {
 public:
  static std::string records_prefix();
  static std::string key_of(std::string const& zone);
  static std::string encode(zone_relay const& one);

  /// A malformed record is logged and counts as none; its revision stays known.
  void take(kv::watch_event const& event);
  void take_all(kv::range_answer const& all);

  std::map<std::string, zone_relay> const& all() const { return relays_; }
  zone_relay const* find(std::string const& zone) const;
  /// Revision at which a zone's record stands; 0: there is none.
  kv::revision revision_of(std::string const& zone) const;

 private:
  std::map<std::string, zone_relay> relays_;
  std::map<std::string, kv::revision> revisions_;
};

}  // namespace frostline::relay
