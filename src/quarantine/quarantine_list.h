/// @file The quarantine records that this node has received: which requests are refused, and when
/// each may be tried again. No I/O; reads no clock.
///
/// A full record takes effect on this node `k_effect_delay` after the node has received it. From
/// then on the node refuses the request, except for trials. During the delay, a node where a server
/// answers the request can remove the record. A record of which a trial has been claimed is in
/// effect elsewhere, and takes effect at once on a node that finds it when it starts.
///
/// A record is removed from the store if a server answers the request, in a trial or otherwise. If
/// there are more than `k_max_entries` records, the least recently changed one is removed. An
/// operator may also delete a record.
///
/// A suspicion is a record of a request that has crashed too few servers for a full record. It is
/// written early, so that the evidence survives the loss of all nodes. Its writer soon removes it
/// unless it has become a full record. A suspicion takes effect only on nodes that find it when
/// they start, after `k_suspicion_effect_delay`. Other nodes ignore it when they check a request,
/// since a popular request may run on crashing servers without being the cause.
///
/// A provisional record is written after a single crash while evidence of earlier crashes may be
/// lost. It takes effect at once. While it has only that crash, its first trial is due at once, so
/// that a harmless request is cleared by its next run. If the trial's node ends before it reports
/// the outcome, there is another trial soon. A crash under the trial is added to the record.
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

/// What may be done with a request now. `trial`: it may be sent once, by the node that claims the
/// trial.
enum class verdict { allowed, refused, trial };

/// Decoded content of a quarantine record.
struct quarantine_entry {
  fingerprint request;
  /// Revision of the record in the store.
  kv::revision revision = 0;
  /// Server incarnations that crashed while running the request.
  std::vector<std::string> servers;
  /// Number of trials that were claimed.
  std::uint32_t trials = 0;
  /// True if the record was written before the crash threshold was reached.
  bool is_suspicion = false;
  /// True if the record was written after one crash, because earlier evidence may be lost.
  bool is_provisional = false;
};

/// When this node learned of a record: with its first snapshot of the store, or later.
enum class discovery { at_start, later };

class quarantine_list {
 public:
  /// Delay before a record takes effect on a node. It allows nodes where servers answer the request
  /// to receive the record (within about 150 ms) and remove it. With the way of the evidence (about
  /// 0.3 s) over a second of the allowed three is left.
  static constexpr milliseconds k_effect_delay{700};
  /// Delay before a suspicion found at startup takes effect. It exceeds the time after which the
  /// node that wrote the suspicion withdraws it, if that node is still running
  /// (quarantine/service). With the start of a process (0.5 to 1 s) half a second of the allowed
  /// three is left.
  static constexpr milliseconds k_suspicion_effect_delay{1'500};
  /// Delay of each trial after this node received the record's last change. Every trial of a real
  /// poison request crashes a server, so there are only two. The first comes early, to clear
  /// requests that merely ran on servers that other requests crashed; the second when a burst of
  /// crashes, which the first may have met, is over.
  static constexpr milliseconds k_trial_delays[] = {milliseconds(1'500), milliseconds(20'000)};
  /// Delays for a provisional record while it has only one crash, so that the outcome of earlier
  /// trials is unknown. The second is longer than most calls run, and than a crash under the first
  /// trial takes to be added to the record.
  static constexpr milliseconds k_provisional_trial_delays[] = {
      milliseconds(0), milliseconds(2'000), milliseconds(20'000)};
  /// Time after the claim of a trial in which its outcome is expected.
  static constexpr milliseconds k_trial_outcome_timeout = k_provisional_trial_delays[1];
  /// Limit of stored records; beyond it the least recently changed one is evicted.
  static constexpr std::size_t k_max_entries = 256;

  static std::string records_prefix();
  static std::string key_of(fingerprint const& request);
  /// @param trial_node node that claims a trial with this write; empty if the write claims none.
  static std::string encode(quarantine_entry const& entry, std::string const& trial_node);
  /// @return nullopt if the record is malformed.
  static std::optional<quarantine_entry> decode(kv::key_value const& record);

  /// Adds or updates a record. Ignores a revision that is not newer than the one in the list.
  /// @return true if the entry was added or updated.
  bool put(quarantine_entry entry, time_point now, discovery discovered = discovery::later);
  /// @return true if there was a record.
  bool remove(fingerprint const& request);

  verdict check(fingerprint const& request, time_point now) const;
  /// End of the time in which the outcome of a claimed trial is expected: an answer removes the
  /// record, a crash adds a server to it. Only for provisional records with one crash, since most
  /// other requests crash the server again. nullopt if no such trial was claimed.
  std::optional<time_point> trial_outcome_due(fingerprint const& request) const;
  /// Time until the next trial; 0 if it is due, nullopt if there is no record or no trial is left.
  std::optional<milliseconds> time_until_trial(fingerprint const& request, time_point now) const;
  /// Null if there is no record.
  quarantine_entry const* find(fingerprint const& request) const;
  /// Returns true if there is a record, and it is neither a suspicion nor provisional.
  bool is_proven(fingerprint const& request) const;
  bool is_provisional(fingerprint const& request) const;
  /// Time since this node first received the record; 0 if there is none.
  milliseconds known_for(fingerprint const& request, time_point now) const;
  /// The least recently changed record if there are more than k_max_entries, else null.
  quarantine_entry const* entry_to_evict() const;
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct known_entry;
  static std::optional<time_point> trial_time(known_entry const& known);
  static bool has_one_crash(quarantine_entry const& entry);
  static time_point effective_time(quarantine_entry const& entry, time_point now,
                                   discovery discovered);

  struct known_entry {
    quarantine_entry record;
    time_point first_seen_at{};
    time_point changed_at{};
    time_point effective_at{};
  };

  std::map<fingerprint, known_entry> entries_;
};

}  // namespace frostline::quarantine
