#include "relay/zone_relays.h"

#include "base/log.h"
#include "rpc/codec.h"
#include "schema/frostline_generated.h"

namespace frostline::relay {
namespace {

constexpr std::string_view k_part = "relay";
constexpr std::string_view k_prefix = "frostline/relays/";

std::optional<zone_relay> decode_relay(kv::key_value const& record) {
  auto const decoded = rpc::decode<rpc::RelayRecordT>(record.value);
  if (!decoded) return std::nullopt;
  auto const address = parse_endpoint(decoded->address);
  if (!address || decoded->node.empty()) return std::nullopt;
  return zone_relay{decoded->zone, decoded->node, *address, record.mod_revision};
}

}  // namespace

std::string zone_relays::records_prefix() { return std::string(k_prefix); }

std::string zone_relays::key_of(std::string const& zone) { return records_prefix() + zone; }

std::string zone_relays::encode(zone_relay const& relay) {
  rpc::RelayRecordT record;
  record.node = relay.node;
  record.zone = relay.zone;
  record.address = relay.address.to_string();
  return rpc::encode(record);
}

void zone_relays::apply(kv::watch_event const& event) {
  std::string const zone = event.entry.key.substr(k_prefix.size());
  // This node's own claim may already have stored a newer revision than a peer sends.
  if (event.entry.mod_revision <= revision_of(zone)) return;
  relays_.erase(zone);
  revisions_.erase(zone);
  if (event.deleted) return;
  revisions_[zone] = event.entry.mod_revision;
  auto relay = decode_relay(event.entry);
  if (!relay) {
    log_line(log_level::error, k_part,
             "Relay record is malformed; treating the zone as having no relay.",
             {{"zone", zone}, {"revision", event.entry.mod_revision}});
    return;
  }
  relay->zone = zone;
  relays_[zone] = std::move(*relay);
}

void zone_relays::apply_all(kv::range_answer const& all) {
  relays_.clear();
  revisions_.clear();
  for (kv::key_value const& entry : all.entries) apply({false, entry});
}

zone_relay const* zone_relays::find(std::string const& zone) const {
  auto const found = relays_.find(zone);
  return found == relays_.end() ? nullptr : &found->second;
}

kv::revision zone_relays::revision_of(std::string const& zone) const {
  auto const found = revisions_.find(zone);
  return found == revisions_.end() ? 0 : found->second;
}

}  // namespace frostline::relay
