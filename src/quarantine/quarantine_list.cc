#include "quarantine/quarantine_list.h"

#include <algorithm>
#include <span>

#include "base/encoding.h"
#include "rpc/codec.h"
#include "schema/frostline_generated.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_prefix = "frostline/quarantine/";

}  // namespace

std::string quarantine_list::records_prefix() { return std::string(k_prefix); }

std::string quarantine_list::key_of(fingerprint const& request) {
  return records_prefix() + request.to_string();
}

std::string quarantine_list::encode(quarantine_entry const& entry, std::string const& trial_node) {
  rpc::QuarantineRecordT record;
  record.servers = entry.servers;
  record.trials = entry.trials;
  record.trial_node = trial_node;
  record.token = make_unique_token();
  record.suspected = entry.is_suspicion;
  record.provisional = entry.is_provisional;
  return rpc::encode(record);
}

std::optional<quarantine_entry> quarantine_list::decode(kv::key_value const& record) {
  if (!record.key.starts_with(k_prefix)) return std::nullopt;
  auto const request = fingerprint::parse(std::string_view(record.key).substr(k_prefix.size()));
  auto const decoded = rpc::decode<rpc::QuarantineRecordT>(record.value);
  if (!request || !decoded) return std::nullopt;
  return quarantine_entry{*request,        record.mod_revision, decoded->servers,
                          decoded->trials, decoded->suspected,  decoded->provisional};
}

time_point quarantine_list::effective_time(quarantine_entry const& entry, time_point now,
                                           discovery discovered) {
  if (entry.is_provisional) return now;
  bool const at_start = discovered == discovery::at_start;
  // A node that starts has run nothing that could clear a record in effect elsewhere.
  if (!entry.is_suspicion) return at_start && entry.trials > 0 ? now : now + k_effect_delay;
  return at_start ? now + k_suspicion_effect_delay : time_point::max();
}

bool quarantine_list::put(quarantine_entry entry, time_point now, discovery discovered) {
  auto const [position, inserted] = entries_.try_emplace(entry.request);
  known_entry& known = position->second;
  if (!inserted && entry.revision <= known.record.revision) return false;
  if (inserted) known.first_seen_at = now;
  if (inserted) known.effective_at = time_point::max();
  bool const decides_effect = inserted || known.record.is_suspicion != entry.is_suspicion;
  time_point const effective_at = effective_time(entry, now, discovered);
  if (decides_effect) known.effective_at = std::min(known.effective_at, effective_at);
  known.changed_at = now;
  known.record = std::move(entry);
  return true;
}

bool quarantine_list::remove(fingerprint const& request) { return entries_.erase(request) > 0; }

verdict quarantine_list::check(fingerprint const& request, time_point now) const {
  auto const found = entries_.find(request);
  if (found == entries_.end()) return verdict::allowed;
  known_entry const& known = found->second;
  if (now < known.effective_at) return verdict::allowed;
  auto const due = trial_time(known);
  return due && now >= *due ? verdict::trial : verdict::refused;
}

std::optional<time_point> quarantine_list::trial_time(known_entry const& known) {
  std::size_t const trials = known.record.trials;
  using delay_list = std::span<milliseconds const>;
  delay_list const delays = has_one_crash(known.record) ? delay_list(k_provisional_trial_delays)
                                                        : delay_list(k_trial_delays);
  if (trials >= delays.size()) return std::nullopt;
  return known.changed_at + delays[trials];
}

bool quarantine_list::has_one_crash(quarantine_entry const& entry) {
  return entry.is_provisional && entry.servers.size() < 2;
}

std::optional<time_point> quarantine_list::trial_outcome_due(fingerprint const& request) const {
  auto const found = entries_.find(request);
  if (found == entries_.end()) return std::nullopt;
  known_entry const& known = found->second;
  if (!has_one_crash(known.record) || known.record.trials == 0) return std::nullopt;
  return known.changed_at + k_trial_outcome_timeout;
}

std::optional<milliseconds> quarantine_list::time_until_trial(fingerprint const& request,
                                                              time_point now) const {
  auto const found = entries_.find(request);
  if (found == entries_.end()) return std::nullopt;
  auto const due = trial_time(found->second);
  if (!due) return std::nullopt;
  return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(*due - now));
}

quarantine_entry const* quarantine_list::find(fingerprint const& request) const {
  auto const found = entries_.find(request);
  return found == entries_.end() ? nullptr : &found->second.record;
}

bool quarantine_list::is_proven(fingerprint const& request) const {
  quarantine_entry const* const known = find(request);
  return known != nullptr && !known->is_suspicion && !known->is_provisional;
}

bool quarantine_list::is_provisional(fingerprint const& request) const {
  quarantine_entry const* const known = find(request);
  return known != nullptr && known->is_provisional;
}

milliseconds quarantine_list::known_for(fingerprint const& request, time_point now) const {
  auto const found = entries_.find(request);
  if (found == entries_.end()) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(now - found->second.first_seen_at);
}

quarantine_entry const* quarantine_list::entry_to_evict() const {
  if (entries_.size() <= k_max_entries) return nullptr;
  auto const oldest =
      std::min_element(entries_.begin(), entries_.end(), [](auto const& left, auto const& right) {
        return left.second.record.revision < right.second.record.revision;
      });
  return &oldest->second.record;
}

}  // namespace frostline::quarantine
