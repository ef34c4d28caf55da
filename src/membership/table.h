/// @file Membership among nodes: SWIM (probe, indirect probe, suspicion, refutation) as a pure
/// state machine. Time and random numbers are passed in; messages come out.
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

/// All times of the protocol.
struct timing {
  milliseconds probe_interval{1000};
  /// Without an answer for this long, helpers are asked to probe.
  milliseconds ack_timeout{300};
  /// A suspect that does not refute within this is dead. It grows with the logarithm of the number
  /// of members, as does the time that a refutation takes to reach everyone.
  milliseconds suspicion_timeout{3000};
  /// A node whose own timers come later than this was paused or overloaded itself, and judges
  /// nobody by the time it missed.
  milliseconds own_pause{400};
  /// A dead or departed member is forgotten after this.
  milliseconds forget_after{120'000};
};

inline constexpr std::size_t k_indirect_probes = 3;
/// What rides on one message, in units of a bare state change (about 50 bytes); an update with the
/// member's addresses counts as three. Keeps a message within one datagram.
inline constexpr std::size_t k_news_per_message = 20;

struct outgoing_message {
  std::string gossip_address;
  gossip_message message;
};

/// A member as this node sees it.
struct member {
  member_update update;
  /// When the state last changed.
  time_point since;
  time_point last_heard = time_point::min();

  bool is_alive() const {
    return update.state == member_state::ALIVE || update.state == member_state::SUSPECT;
  }
};

class table {
 public:
  table(member_update self, timing times, std::uint64_t seed);

  /// Adds a node that the machine list names; known members stay as they are.
  void add_seed(member_update const& seed, time_point now);
  /// Runs the timers. @return messages to send.
  std::vector<outgoing_message> tick(time_point now);
  /// Takes a message in. @return answers to send.
  std::vector<outgoing_message> receive(gossip_message const& message, time_point now);
  /// Announces that this node leaves.
  std::vector<outgoing_message> leave(time_point now);

  /// What rides on every message.
  void set_local_facts(std::uint64_t config_revision, milliseconds kv_age);

  /// Spreads a back end's word that it leaves to all nodes.
  void spread_leaving(std::string const& back_end, std::uint64_t incarnation);
  /// Highest incarnation of each back end that is known, by gossip, to leave.
  std::map<std::string, std::uint64_t> const& leaving_back_ends() const { return leaving_; }

  std::map<std::string, member> const& members() const { return members_; }
  member const* find(std::string const& id) const;
  member_update const& self() const { return self_; }
  /// Grows with each change of any member's state.
  std::uint64_t change_count() const { return changes_; }
  /// The member with the highest configuration revision that gossip told of.
  std::string const& newest_config_holder() const { return newest_config_holder_; }
  std::uint64_t newest_config_revision() const { return newest_config_revision_; }
  /// When a peer last knew the key-value service to answer.
  time_point kv_known_at() const { return kv_known_at_; }
  /// When a node of another zone was last heard (any node, if there are no other zones);
  /// time_point::min() if never.
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
  /// Somebody else's probe that this node carries out.
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
  void hear_from(gossip_message const& message, time_point now);
  std::vector<outgoing_message> start_probe(time_point now);
  void conclude_probe(time_point now, std::vector<outgoing_message>& out);
  void probe_indirectly(std::vector<outgoing_message>& out);
  /// How often a new piece of news is sent on.
  std::size_t retransmissions() const;
  void attach_leaving(gossip_message& message);
  std::string next_target();
  /// Pings members that only the machine list has named so far.
  void introduce(std::vector<outgoing_message>& out);
  void expire(time_point now);
  milliseconds suspicion_time() const;
  void forgive_own_pause(time_point now);
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
  std::deque<std::string> unheard_;
  std::map<std::string, std::uint64_t> leaving_;
  /// Sends left of each mark that is still being spread.
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
