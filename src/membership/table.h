/// @file Cluster membership by the SWIM protocol (probe, indirect probe, suspicion, refutation) as
/// a state machine without I/O. The caller passes in the time and the random seed, and sends the
/// returned messages.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "schema/frostline_generated.h"

namespace frostline::membership {

using member_state = rpc::MemberState;
using member_update = rpc::MemberUpdateT;
using gossip_message = rpc::GossipMessageT;

/// Timeouts and intervals of the protocol.
struct timing {
  milliseconds probe_interval{1000};
  /// After this long without an ACK, other members are asked to probe the target.
  milliseconds ack_timeout{300};
  /// A suspect that does not refute within this time is declared dead. Scaled by the logarithm of
  /// the number of members, since so does the time that a refutation takes to reach all of them.
  milliseconds suspicion_timeout{3000};
  /// If two calls of `tick` are further apart than this, this node was suspended or overloaded: it
  /// discards its current probe and extends all suspicions by the time between the calls.
  milliseconds own_pause{400};
  /// A dead or departed member is removed after this time.
  milliseconds forget_after{120'000};
};

inline constexpr std::size_t k_indirect_probes = 3;
/// Maximum size of the updates in one message, in units of a bare state change (about 50 bytes); an
/// update with the member's addresses counts as three. Keeps a message within one datagram.
inline constexpr std::size_t k_update_units_per_message = 20;

struct outgoing_message {
  std::string gossip_address;
  gossip_message message;
};

/// A member in the view of this node.
struct member {
  member_update update;
  /// Time of the last state or incarnation change; extended for suspects after a pause of this
  /// node.
  time_point since;
  /// When this node last received a message from the member; time_point::min() if never.
  time_point last_heard = time_point::min();

  bool is_alive() const {
    return update.state == member_state::ALIVE || update.state == member_state::SUSPECT;
  }
};

class table {
 public:
  table(member_update self, timing times, std::uint64_t seed);

  /// Adds a node from the machine list as alive; has no effect if it is this node or already in the
  /// table.
  void add_seed(member_update const& seed, time_point now);
  /// Runs the timers. Returns messages to send.
  std::vector<outgoing_message> tick(time_point now);
  /// Processes a received message. Returns messages to send in response.
  std::vector<outgoing_message> receive(gossip_message const& message, time_point now);
  /// Marks this node as leaving. Returns messages that announce it.
  std::vector<outgoing_message> leave(time_point now);

  /// Sets values that every message of this node carries.
  /// @param config_revision revision of this node's configuration.
  /// @param kv_age time since the key-value service last answered this node or, according to
  /// gossip, another member.
  void set_local_facts(std::uint64_t config_revision, milliseconds kv_age);

  /// Disseminates to all nodes that a back end is leaving. Has no effect if this or a higher
  /// incarnation of the back end is already marked as leaving.
  void spread_leaving(std::string const& back_end, std::uint64_t incarnation);
  /// Highest incarnation of each back end that this node or a gossip message marked as leaving.
  std::map<std::string, std::uint64_t> const& leaving_back_ends() const { return leaving_; }

  std::map<std::string, member> const& members() const { return members_; }
  member const* find(std::string const& id) const;
  member_update const& self() const { return self_; }
  /// Incremented when a member is added or updated, and when a back end is marked as leaving; not
  /// when a member is removed.
  std::uint64_t change_count() const { return changes_; }
  /// The member that first sent the highest configuration revision received; empty if none was.
  std::string const& newest_config_holder() const { return newest_config_holder_; }
  std::uint64_t newest_config_revision() const { return newest_config_revision_; }
  /// Latest time at which the key-value service answered according to messages of other members;
  /// time_point::min() before the first message.
  time_point kv_known_at() const { return kv_known_at_; }
  /// When a message from another zone was last received (from any node, if no member is in another
  /// zone); time_point::min() if never.
  time_point last_heard_outside_zone() const { return last_heard_outside_zone_; }
  bool knows_other_members() const;

 private:
  struct probe {
    std::string target;
    std::uint64_t sequence = 0;
    time_point started;
    bool indirect = false;
    bool acknowledged = true;
  };
  /// A probe that this node performs on behalf of another member.
  struct relayed_probe {
    std::string requester_address;
    std::uint64_t requester_sequence = 0;
    std::string target;
    time_point started;
  };

  gossip_message make_message(rpc::GossipKind kind, std::uint64_t sequence);
  void attach_updates(gossip_message& message);
  void queue_update(member_update const& update);
  void apply_update(member_update const& update, time_point now);
  void refute(member_update const& claim);
  void set_state(member& entry, member_state state, time_point now);
  void note_sender(gossip_message const& message, time_point now);
  std::vector<outgoing_message> start_probe(time_point now);
  void conclude_probe(time_point now, std::vector<outgoing_message>& out);
  void probe_indirectly(std::vector<outgoing_message>& out);
  /// Number of times that a new update is sent.
  std::size_t retransmissions() const;
  void attach_leaving(gossip_message& message);
  std::string next_target();
  /// Pings some of the members in the machine list from which no message has arrived yet.
  void ping_uncontacted(std::vector<outgoing_message>& out);
  void expire(time_point now);
  milliseconds scaled_suspicion_timeout() const;
  /// Applies timing::own_pause.
  void compensate_own_pause(time_point now);
  std::optional<outgoing_message> probe_dead_member(time_point now);

  struct queued_update {
    member_update update;
    std::size_t sends_left = 0;
  };

  member_update self_;
  timing times_;
  std::mt19937_64 random_;
  std::map<std::string, member> members_;
  std::map<std::string, queued_update> updates_;
  std::deque<std::string> probe_order_;
  std::deque<std::string> uncontacted_;
  std::map<std::string, std::uint64_t> leaving_;
  /// Remaining sends of each leaving mark that is still being disseminated.
  std::map<std::string, std::size_t> leaving_sends_;
  probe probe_;
  std::map<std::uint64_t, relayed_probe> relayed_;
  time_point next_probe_ = time_point::min();
  time_point last_tick_ = time_point::min();
  std::uint64_t sequence_ = 0;
  std::uint64_t changes_ = 0;
  std::uint64_t config_revision_ = 0;
  milliseconds kv_age_{0};
  std::string newest_config_holder_;
  std::uint64_t newest_config_revision_ = 0;
  time_point kv_known_at_ = time_point::min();
  time_point last_heard_outside_zone_ = time_point::min();
};

}  // namespace frostline::membership
