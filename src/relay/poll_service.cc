#include "relay/poll_service.h"

#include <algorithm>

#include "balancing/pace_exchange.h"
#include "relay/subset_codec.h"

namespace frostline::relay {
namespace {

/// Reported for topics that were never confirmed; larger ages are capped at this value.
constexpr milliseconds k_max_age{24 * 3600 * 1000};

std::uint64_t milliseconds_since(time_point then, time_point now) {
  if (then < now - k_max_age) return static_cast<std::uint64_t>(k_max_age.count());
  auto const spent = std::chrono::duration_cast<milliseconds>(now - then);
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, spent.count()));
}

/// Returns true for a topic that this version does not support; newer nodes may request it.
bool is_unknown(std::unique_ptr<rpc::TopicPositionT> const& position) {
  return index_of(position->topic) >= k_topics.size();
}

std::unique_ptr<rpc::RecordChangeT> encode_change(kv::watch_event const& event) {
  auto change = std::make_unique<rpc::RecordChangeT>();
  change->key = event.entry.key;
  change->value.assign(event.entry.value.begin(), event.entry.value.end());
  change->revision = event.entry.mod_revision;
  change->created = event.entry.create_revision;
  change->deleted = event.deleted;
  return change;
}

}  // namespace

poll_service::topic_query poll_service::parse_position(rpc::TopicPositionT const& position,
                                                       std::string const& node) const {
  record_view const& view = views_.view(position.topic);
  topic_query query;
  query.topic_id = position.topic;
  query.after = position.after;
  if (position.selected) {
    group_subsets const requested = decode_subsets(position.parts);
    group_subsets adjusted;
    for (auto const& [group, one_in] : requested) {
      std::uint32_t const divisor = std::max(one_in, k_whole_group);
      adjusted[group] = position.exact ? divisor : choose_subset(one_in, view.group_size(group));
    }
    // The polling node holds a different subset, so it needs a snapshot.
    if (requested != adjusted) query.after = 0;
    query.wanted = record_selection(node, std::move(adjusted));
  }
  query.covered = view.selection().covers(query.wanted);
  query.wait_if_not_authoritative = position.patient;
  return query;
}

bool poll_service::can_wait(topic_query const& query) const {
  record_view const& view = views_.view(query.topic_id);
  if (!view.is_loaded() && query.after == 0) return true;
  if (!query.covered) return query.wait_if_not_authoritative;
  return (query.wait_if_not_authoritative || is_authoritative_(query.topic_id)) &&
         !view.has_changes(query.after, query.wanted);
}

bool poll_service::can_wait(rpc::PollCallT const& call) const {
  return std::all_of(call.positions.begin(), call.positions.end(), [&](auto const& position) {
    return can_wait(parse_position(*position, call.node));
  });
}

void poll_service::note_polling_node(rpc::PollCallT const& call) {
  auto const address = parse_endpoint(call.address);
  if (!address) return;
  polling_node node;
  node.node = call.node;
  node.zone = call.zone;
  node.address = *address;
  node.processor_share = call.processor_share;
  node.uptime = milliseconds(call.uptime_ms);
  node.leaving = call.leaving;
  polling_nodes_.note(std::move(node), boot_clock::now());
}

void poll_service::note_peer_ahead(rpc::PollCallT const& call) const {
  auto const peer = parse_endpoint(call.address);
  if (!on_peer_ahead_ || !peer) return;
  bool const ahead =
      std::any_of(call.positions.begin(), call.positions.end(), [this](auto const& position) {
        return position->after > views_.view(position->topic).at() &&
               !is_authoritative_(position->topic);
      });
  if (ahead) on_peer_ahead_(*peer);
}

void poll_service::note_known_changes(rpc::PollCallT const& call) const {
  if (!on_known_change_) return;
  for (auto const& position : call.positions) {
    bool const missing = position->newest_change > views_.view(position->topic).at();
    if (missing) on_known_change_(position->topic, position->newest_change);
  }
}

rpc::TopicChangesT poll_service::encode_changes(topic_query const& query) {
  rpc::TopicChangesT topic_changes;
  topic_changes.topic = query.topic_id;
  topic_changes.confirmed_ms_ago =
      milliseconds_since(views_.confirmed_at(query.topic_id), boot_clock::now());
  if (!query.covered) return topic_changes;
  topic_changes.sure = is_authoritative_(query.topic_id);
  record_delta const delta = views_.view(query.topic_id).since(query.after, query.wanted);
  topic_changes.whole = delta.is_snapshot;
  topic_changes.store_revision = delta.at;
  topic_changes.selected = !query.wanted.is_everything();
  topic_changes.parts = encode_subsets(query.wanted.subsets());
  for (kv::watch_event const& change : delta.changes) {
    topic_changes.changes.push_back(encode_change(change));
  }
  if (delta.is_snapshot) {
    ++snapshot_answers_;
    snapshot_records_ += delta.changes.size();
  }
  return topic_changes;
}

std::unique_ptr<rpc::SlowServersT> poll_service::encode_slow_servers(std::string const& node) {
  if (!slow_servers_source_) return nullptr;
  time_point const now = boot_clock::now();
  auto encoded = balancing::encode_slow_servers(slow_servers_source_(now));
  if (!encoded) return nullptr;
  std::size_t const allowed = slow_servers_allowance_.take(node, encoded->servers.size(), now);
  if (allowed == 0) return nullptr;
  encoded->servers.resize(allowed);
  slow_servers_sent_ += allowed;
  return encoded;
}

awaitable<rpc::PollReplyT> poll_service::answer(rpc::PollCallT call) {
  std::erase_if(call.positions, is_unknown);
  note_polling_node(call);
  note_peer_ahead(call);
  note_known_changes(call);
  time_point const begin = boot_clock::now();
  time_point const deadline = begin + std::min(milliseconds(call.wait_ms), k_max_wait);
  while (boot_clock::now() < deadline && can_wait(call)) co_await changed_.wait_until(deadline);
  rpc::PollReplyT reply;
  reply.waited_ms = milliseconds_since(begin, boot_clock::now());
  reply.store_back_ms_ago = milliseconds_since(views_.store_recovered_at(), boot_clock::now());
  for (auto const& position : call.positions) {
    reply.topics.push_back(
        std::make_unique<rpc::TopicChangesT>(encode_changes(parse_position(*position, call.node))));
  }
  reply.slow_servers = encode_slow_servers(call.node);
  ++answered_;
  co_return reply;
}

void poll_service::add_methods(rpc::dispatcher& methods) {
  methods.add<rpc::PollCallT, rpc::PollReplyT>(
      "RelayService", "Poll",
      [this](rpc::PollCallT call) -> awaitable<rpc::reply<rpc::PollReplyT>> {
        co_return co_await answer(std::move(call));
      });
}

}  // namespace frostline::relay
