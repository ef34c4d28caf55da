/// @file The requests that no server gets any more, as the record store says, and when one of them
/// may be tried again. Pure.
///
/// A record takes effect a moment after this node has heard of it, so that a node at which the
/// request is being answered can take the record back first. It goes when a trial is answered, or
/// when an operator removes it.
///
/// A suspicion is a record that is written before the request has ended enough servers, so that
/// what is known outlasts the end of all nodes. It has no effect at nodes that were there when it
/// was written: a popular request that stood beside another's crashes was refused for it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "kv/types.h"
#include "quarantine/fingerprint.h"

namespace frostline::quarantine {

/// What may be done with a request now. `trial`: it may be sent once, by who claims that.
enum class verdict { allowed, refused, trial };

/// What the store's record says.
struct quarantine_entry {
  fingerprint request;
  /// Revision at which the record stands.
  kv::revision revision = 0;
  /// Lives of servers that ended under it.
  std::vector<std::string> servers;
  std::uint32_t trials = 0;
  /// Written before the third run, which may yet be answered.
  bool is_suspicion = false;
};

/// When this node came to know a record: with the first records that it got, or later.
enum class first_sight { at_start, later };

class quarantine_list {
 public:
  /// From a node's first sight of a record to its effect there. A node that answers the request
  /// hears of the record within some 150 ms and takes it back; with the way of the evidence (about
  /// 0.3 s) this leaves over a second of the three that are allowed.
  static constexpr milliseconds k_objection_time{700};
  /// From the first sight of a suspicion to its effect at a node that found it at its start. The
  /// node that wrote it withdraws it before (quarantine/service), if it has not ended with all
  /// others. With the start of a process (0.5 to 1 s) this leaves half a second of three.
  static constexpr milliseconds k_suspicion_time{1'500};
  /// From the record's last change to the next trial; each costs a server if the request is what it
  /// seems. The first comes soon, for a request that only stood beside others' crashes: mostly
  /// within the three seconds in which retries are not counted. Two, since three retries are
  /// allowed after that, and one may have been under way unseen.
  static constexpr milliseconds k_trial_pauses[] = {milliseconds(1'500), milliseconds(300'000)};
  /// Records that are kept in all; beyond that the one that has not changed for longest goes.
  static constexpr std::size_t k_most_entries = 256;

  static std::string records_prefix();
  static std::string key_of(fingerprint const& request);
  static std::string encode(quarantine_entry const& entry, std::string const& trial_node);
  /// @return nothing if the record is malformed.
  static std::optional<quarantine_entry> decode(kv::key_value const& record);

  /// An older revision than the known one changes nothing. @return whether it is news.
  bool put(quarantine_entry entry, time_point now, first_sight seen = first_sight::later);
  /// @return whether it was known.
  bool remove(fingerprint const& request);

  verdict check(fingerprint const& request, time_point now) const;
  /// How long until the next trial is due; nothing if there is none any more, or no record.
  std::optional<milliseconds> time_to_trial(fingerprint const& request, time_point now) const;
  quarantine_entry const* find(fingerprint const& request) const;
  /// Whether there is a record, and it is more than a suspicion.
  bool is_proven(fingerprint const& request) const;
  /// How long this node has known of it.
  milliseconds known_for(fingerprint const& request, time_point now) const;
  /// The one that goes when there are too many; null if there are not.
  quarantine_entry const* surplus() const;
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct known_entry;
  static std::optional<time_point> trial_time(known_entry const& known);
  static time_point effect_time(bool is_suspicion, time_point now, first_sight seen);

  struct known_entry {
    quarantine_entry record;
    time_point first_seen_at{};
    time_point changed_at{};
    time_point effective_at{};
  };

  std::map<fingerprint, known_entry> entries_;
};

}  // namespace frostline::quarantine
