#include "membership/table.h"

#include <algorithm>
#include <cmath>

namespace frostline::membership {
namespace {

/// Number of sends of each update, per binary logarithm of the number of members.
constexpr double k_retransmit_factor = 3;
constexpr milliseconds k_relay_lifetime{2000};
/// Bounds the traffic of a new node that learns of hundreds of members from the machine list.
constexpr std::size_t k_first_pings_per_tick = 2;
/// One in this many probes is accompanied by a ping to a dead member, to detect healed partitions.
constexpr std::uint64_t k_dead_probe_every = 5;

/// Precedence of states within one incarnation: the higher rank wins.
int rank(member_state state) {
  switch (state) {
    case member_state::ALIVE:
      return 0;
    case member_state::SUSPECT:
      return 1;
    case member_state::LEAVING:
      return 2;
    case member_state::DEAD:
      return 3;
  }
  return 0;
}

constexpr std::size_t k_full_update_size = 3;
constexpr std::size_t k_leaving_per_message = 6;
/// Binary logarithm of the number of members (16) up to which the suspicion timeout is not scaled.
constexpr double k_members_log_for_base_suspicion = 4;

/// Queued updates about members that are not alive are sent without addresses: only nodes that
/// already have the member in their table use them.
bool is_sent_bare(member_update const& update) { return update.state != member_state::ALIVE; }

member_update bare_state(member_update const& update) {
  member_update bare;
  bare.id = update.id;
  bare.incarnation = update.incarnation;
  bare.state = update.state;
  return bare;
}

bool supersedes(member_update const& news, member_update const& held) {
  if (news.incarnation != held.incarnation) return news.incarnation > held.incarnation;
  return rank(news.state) > rank(held.state);
}

}  // namespace

table::table(member_update self, timing times, std::uint64_t seed)
    : self_(std::move(self)), times_(times), random_(seed) {
  self_.state = member_state::ALIVE;
  queue_update(self_);
}

void table::add_seed(member_update const& seed, time_point now) {
  if (seed.id == self_.id || members_.contains(seed.id)) return;
  member entry;
  entry.update = seed;
  entry.update.state = member_state::ALIVE;
  entry.since = now;
  members_[seed.id] = std::move(entry);
  uncontacted_.push_back(seed.id);
  ++changes_;
}

void table::ping_uncontacted(std::vector<outgoing_message>& out) {
  for (std::size_t count = 0; count < k_first_pings_per_tick && !uncontacted_.empty();) {
    member const* target = find(uncontacted_.front());
    uncontacted_.pop_front();
    if (target == nullptr || target->last_heard != time_point::min()) continue;
    out.push_back(
        {target->update.gossip_address, make_message(rpc::GossipKind::PING, ++sequence_)});
    ++count;
  }
}

member const* table::find(std::string const& id) const {
  auto const found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

bool table::knows_other_members() const { return !members_.empty(); }

void table::set_local_facts(std::uint64_t config_revision, milliseconds kv_age) {
  config_revision_ = config_revision;
  kv_age_ = kv_age;
}

gossip_message table::make_message(rpc::GossipKind kind, std::uint64_t sequence) {
  gossip_message message;
  message.kind = kind;
  message.sequence = sequence;
  message.sender = std::make_unique<member_update>(self_);
  message.config_revision = config_revision_;
  message.kv_age_ms = static_cast<std::uint32_t>(kv_age_.count());
  attach_updates(message);
  attach_leaving(message);
  return message;
}

void table::attach_updates(gossip_message& message) {
  std::vector<queued_update*> candidates;
  for (auto& [id, queued] : updates_) candidates.push_back(&queued);
  std::sort(candidates.begin(), candidates.end(), [](auto const* left, auto const* right) {
    return left->sends_left > right->sends_left;
  });
  std::size_t units_left = k_update_units_per_message;
  for (queued_update* queued : candidates) {
    bool const bare = is_sent_bare(queued->update);
    std::size_t const size = bare ? 1 : k_full_update_size;
    if (size > units_left) break;
    units_left -= size;
    message.updates.push_back(
        std::make_unique<member_update>(bare ? bare_state(queued->update) : queued->update));
    --queued->sends_left;
  }
  std::erase_if(updates_, [](auto const& entry) { return entry.second.sends_left == 0; });
}

std::size_t table::retransmissions() const {
  double const members = static_cast<double>(members_.size()) + 2;
  return static_cast<std::size_t>(std::ceil(k_retransmit_factor * std::log2(members)));
}

void table::queue_update(member_update const& update) {
  updates_[update.id] = {update, retransmissions()};
}

void table::spread_leaving(std::string const& back_end, std::uint64_t incarnation) {
  std::uint64_t& held = leaving_[back_end];
  if (incarnation <= held) return;
  held = incarnation;
  leaving_sends_[back_end] = retransmissions();
  ++changes_;
}

void table::attach_leaving(gossip_message& message) {
  for (auto& [back_end, sends_left] : leaving_sends_) {
    if (message.leaving.size() == k_leaving_per_message) break;
    auto mark = std::make_unique<rpc::LeavingMarkT>();
    mark->backend = back_end;
    mark->incarnation = leaving_.at(back_end);
    message.leaving.push_back(std::move(mark));
    --sends_left;
  }
  std::erase_if(leaving_sends_, [](auto const& entry) { return entry.second == 0; });
}

void table::set_state(member& entry, member_state state, time_point now) {
  entry.update.state = state;
  entry.since = now;
  ++changes_;
  queue_update(entry.update);
}

void table::refute(member_update const& claim) {
  bool const about_now = claim.incarnation >= self_.incarnation;
  if (!about_now || claim.state == member_state::ALIVE) return;
  if (self_.state == member_state::LEAVING) return;
  self_.incarnation = claim.incarnation + 1;
  queue_update(self_);
}

void table::apply_update(member_update const& update, time_point now) {
  if (update.id == self_.id) {
    refute(update);
    return;
  }
  auto const found = members_.find(update.id);
  if (found == members_.end()) {
    if (update.state == member_state::DEAD || update.gossip_address.empty()) return;
    member entry;
    entry.update = update;
    entry.since = now;
    members_[update.id] = std::move(entry);
    ++changes_;
    queue_update(update);
    return;
  }
  member& held = found->second;
  if (!supersedes(update, held.update)) return;
  // Each node pings the members in the machine list itself, so the first incarnation received of
  // such a member is not disseminated.
  bool const first_heard = held.update.incarnation == 0 && update.state == member_state::ALIVE;
  if (update.gossip_address.empty()) {
    held.update.incarnation = update.incarnation;
    held.update.state = update.state;
  } else {
    held.update = update;
  }
  held.since = now;
  ++changes_;
  if (!first_heard) queue_update(held.update);
}

void table::note_sender(gossip_message const& message, time_point now) {
  member_update const& sender = *message.sender;
  apply_update(sender, now);
  auto const found = members_.find(sender.id);
  if (found == members_.end()) return;
  found->second.last_heard = now;
  bool const alone_in_zone =
      std::all_of(members_.begin(), members_.end(),
                  [this](auto const& entry) { return entry.second.update.zone == self_.zone; });
  if (alone_in_zone || sender.zone != self_.zone) last_heard_outside_zone_ = now;
  time_point const kv_known = now - milliseconds(message.kv_age_ms);
  kv_known_at_ = std::max(kv_known_at_, kv_known);
  if (message.config_revision > newest_config_revision_) {
    newest_config_revision_ = message.config_revision;
    newest_config_holder_ = sender.id;
  }
}

std::vector<outgoing_message> table::receive(gossip_message const& message, time_point now) {
  std::vector<outgoing_message> out;
  if (!message.sender || message.sender->id == self_.id) return out;
  note_sender(message, now);
  for (auto const& update : message.updates) apply_update(*update, now);
  for (auto const& mark : message.leaving) spread_leaving(mark->backend, mark->incarnation);
  std::string const& sender_address = message.sender->gossip_address;
  switch (message.kind) {
    case rpc::GossipKind::PING: {
      gossip_message answer = make_message(rpc::GossipKind::ACK, message.sequence);
      answer.target = self_.id;
      out.push_back({sender_address, std::move(answer)});
      break;
    }
    case rpc::GossipKind::PING_REQUEST: {
      member const* target = find(message.target);
      if (target == nullptr) break;
      std::uint64_t const sequence = ++sequence_;
      relayed_[sequence] = {sender_address, message.sequence, message.target, now};
      out.push_back({target->update.gossip_address, make_message(rpc::GossipKind::PING, sequence)});
      break;
    }
    case rpc::GossipKind::ACK: {
      if (message.sequence == probe_.sequence && message.target == probe_.target) {
        probe_.acknowledged = true;
      }
      auto const relayed = relayed_.find(message.sequence);
      if (relayed == relayed_.end() || relayed->second.target != message.target) break;
      gossip_message answer =
          make_message(rpc::GossipKind::ACK, relayed->second.requester_sequence);
      answer.target = relayed->second.target;
      out.push_back({relayed->second.requester_address, std::move(answer)});
      relayed_.erase(relayed);
      break;
    }
  }
  return out;
}

std::string table::next_target() {
  while (true) {
    if (probe_order_.empty()) {
      for (auto const& [id, entry] : members_) {
        if (entry.is_alive()) probe_order_.push_back(id);
      }
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
      if (probe_order_.empty()) return {};
    }
    std::string id = probe_order_.front();
    probe_order_.pop_front();
    member const* entry = find(id);
    if (entry != nullptr && entry->is_alive()) return id;
  }
}

std::optional<outgoing_message> table::probe_dead_member(time_point) {
  std::vector<member const*> dead;
  for (auto const& [id, entry] : members_) {
    if (entry.update.state == member_state::DEAD) dead.push_back(&entry);
  }
  if (dead.empty()) return std::nullopt;
  member const* chosen = dead[random_() % dead.size()];
  gossip_message message = make_message(rpc::GossipKind::PING, ++sequence_);
  // Carries the member's recorded state, so that the member can refute it.
  message.updates.push_back(std::make_unique<member_update>(chosen->update));
  return outgoing_message{chosen->update.gossip_address, std::move(message)};
}

std::vector<outgoing_message> table::start_probe(time_point now) {
  std::vector<outgoing_message> out;
  std::string const target = next_target();
  std::uint64_t const sequence = ++sequence_;
  if (sequence % k_dead_probe_every == 0) {
    auto extra = probe_dead_member(now);
    if (extra) out.push_back(std::move(*extra));
  }
  if (target.empty()) return out;
  probe_ = {target, sequence, now, false, false};
  gossip_message message = make_message(rpc::GossipKind::PING, sequence);
  member_update const& held = find(target)->update;
  if (held.state == member_state::SUSPECT) {
    message.updates.push_back(std::make_unique<member_update>(held));
  }
  out.push_back({held.gossip_address, std::move(message)});
  return out;
}

void table::conclude_probe(time_point now, std::vector<outgoing_message>& out) {
  if (probe_.acknowledged || probe_.target.empty()) return;
  auto const found = members_.find(probe_.target);
  probe_.acknowledged = true;
  if (found == members_.end()) return;
  if (found->second.update.state == member_state::ALIVE) {
    set_state(found->second, member_state::SUSPECT, now);
    // Tells the member immediately, so that it can refute the suspicion before that spreads.
    gossip_message message = make_message(rpc::GossipKind::PING, ++sequence_);
    message.updates.push_back(std::make_unique<member_update>(found->second.update));
    out.push_back({found->second.update.gossip_address, std::move(message)});
  }
}

void table::probe_indirectly(std::vector<outgoing_message>& out) {
  probe_.indirect = true;
  std::vector<member const*> helpers;
  for (auto const& [id, entry] : members_) {
    if (entry.update.state == member_state::ALIVE && id != probe_.target) {
      helpers.push_back(&entry);
    }
  }
  std::shuffle(helpers.begin(), helpers.end(), random_);
  if (helpers.size() > k_indirect_probes) helpers.resize(k_indirect_probes);
  for (member const* helper : helpers) {
    gossip_message message = make_message(rpc::GossipKind::PING_REQUEST, probe_.sequence);
    message.target = probe_.target;
    out.push_back({helper->update.gossip_address, std::move(message)});
  }
}

milliseconds table::scaled_suspicion_timeout() const {
  double const members = static_cast<double>(members_.size()) + 2;
  double const factor = std::max(1.0, std::log2(members) / k_members_log_for_base_suspicion);
  std::chrono::duration<double, std::milli> const base = times_.suspicion_timeout;
  return std::chrono::duration_cast<milliseconds>(base * factor);
}

void table::compensate_own_pause(time_point now) {
  bool const paused = last_tick_ != time_point::min() && now - last_tick_ > times_.own_pause;
  if (paused) {
    probe_.acknowledged = true;
    for (auto& [id, entry] : members_) {
      if (entry.update.state == member_state::SUSPECT) entry.since += now - last_tick_;
    }
  }
  last_tick_ = now;
}

void table::expire(time_point now) {
  for (auto& [id, entry] : members_) {
    bool const suspected = entry.update.state == member_state::SUSPECT;
    if (suspected && now - entry.since >= scaled_suspicion_timeout()) {
      set_state(entry, member_state::DEAD, now);
    }
  }
  std::erase_if(members_, [&](auto const& entry) {
    return !entry.second.is_alive() && now - entry.second.since >= times_.forget_after;
  });
  std::erase_if(relayed_,
                [&](auto const& entry) { return now - entry.second.started >= k_relay_lifetime; });
}

std::vector<outgoing_message> table::tick(time_point now) {
  std::vector<outgoing_message> out;
  compensate_own_pause(now);
  expire(now);
  ping_uncontacted(out);
  bool const waiting = !probe_.acknowledged && !probe_.indirect;
  if (waiting && now - probe_.started >= times_.ack_timeout) probe_indirectly(out);
  if (now < next_probe_) return out;
  conclude_probe(now, out);
  // Jitter keeps nodes that started together from probing in step.
  auto const tenth = times_.probe_interval.count() / 10;
  std::uniform_int_distribution<std::int64_t> jitter(-tenth, tenth);
  next_probe_ = now + times_.probe_interval + milliseconds(jitter(random_));
  auto probes = start_probe(now);
  std::move(probes.begin(), probes.end(), std::back_inserter(out));
  return out;
}

std::vector<outgoing_message> table::leave(time_point) {
  self_.state = member_state::LEAVING;
  queue_update(self_);
  std::vector<member const*> listeners;
  for (auto const& [id, entry] : members_) {
    if (entry.is_alive()) listeners.push_back(&entry);
  }
  std::shuffle(listeners.begin(), listeners.end(), random_);
  constexpr std::size_t k_leave_fanout = 8;
  if (listeners.size() > k_leave_fanout) listeners.resize(k_leave_fanout);
  std::vector<outgoing_message> out;
  for (member const* listener : listeners) {
    out.push_back(
        {listener->update.gossip_address, make_message(rpc::GossipKind::PING, ++sequence_)});
  }
  return out;
}

}  // namespace frostline::membership
