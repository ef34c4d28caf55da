#include "relay/peer_poll.h"

#include <algorithm>

#include "balancing/pace_exchange.h"
#include "relay/subset_codec.h"
#include "rpc/client.h"

namespace frostline::relay {
namespace {

/// Ages in replies are capped at this value; larger ones could overflow time_point.
constexpr milliseconds k_max_age{24 * 3600 * 1000};

kv::watch_event decode_change(rpc::RecordChangeT const& change) {
  kv::watch_event event;
  event.deleted = change.deleted;
  event.entry.key = change.key;
  event.entry.value.assign(change.value.begin(), change.value.end());
  event.entry.mod_revision = change.revision;
  event.entry.create_revision = change.created;
  return event;
}

/// @param node name of this node, whose subsets of the records were requested.
void apply_changes(rpc::TopicChangesT const& update, std::string const& node, topic_views& views) {
  record_selection const selected =
      update.selected ? record_selection(node, decode_subsets(update.parts)) : record_selection();
  if (update.whole) {
    kv::range_answer all;
    all.store_revision = update.store_revision;
    for (auto const& change : update.changes) all.entries.push_back(decode_change(*change).entry);
    views.take_snapshot(update.topic, all, selected);
    return;
  }
  for (auto const& change : update.changes) views.take_event(update.topic, decode_change(*change));
  // A reply for fewer records than the view holds may lack changes to the view's other records.
  if (selected.covers(views.view(update.topic).selection())) {
    views.advance(update.topic, update.store_revision);
  }
}

std::unique_ptr<rpc::TopicPositionT> encode_position(topic topic_id, poll_request const& request,
                                                     record_view const& view) {
  auto position = std::make_unique<rpc::TopicPositionT>();
  position->topic = topic_id;
  record_selection const wanted = topic_id == topic::SERVERS ? request.servers : record_selection();
  position->after = view.selection().covers(wanted) ? view.at() : 0;
  position->selected = !wanted.is_everything();
  position->parts = encode_subsets(wanted.subsets());
  position->exact = request.exact_subsets;
  if (request.follows_store) position->newest_change = view.newest_change();
  position->patient = topic_id == topic::SERVERS && request.wait_if_servers_not_authoritative;
  return position;
}

kv::revision newest_revision(rpc::TopicChangesT const& update) {
  kv::revision newest = 0;
  for (auto const& change : update.changes) newest = std::max(newest, change->revision);
  return newest;
}

/// Applies a reply to the views. Returns the names of the topics for which the peer was not
/// authoritative, or an empty text.
std::string apply_reply(rpc::PollReplyT const& reply, poll_request const& request,
                        time_point sent_at, topic_views& views) {
  milliseconds const waited = std::min(milliseconds(reply.waited_ms), request.wait);
  // Set before the changes are applied, since listeners need the recovery time to interpret them.
  auto const since_recovery = std::min(milliseconds(reply.store_back_ms_ago), k_max_age);
  if (since_recovery < k_max_age) views.note_store_recovery(sent_at + waited - since_recovery);
  std::string doubts;
  for (auto const& update : reply.topics) {
    if (index_of(update->topic) >= k_topics.size()) continue;
    bool const wanted = update->topic != topic::SERVERS || request.accept_servers();
    if (wanted) apply_changes(*update, request.node, views);
    // The network delay is unknown, so the topic was confirmed at this time or later.
    auto const age = std::min(milliseconds(update->confirmed_ms_ago), k_max_age);
    views.confirm(update->topic, sent_at + waited - age);
    if (update->sure) continue;
    if (!doubts.empty()) doubts += ", ";
    doubts += rpc::EnumNameRecordTopic(update->topic);
  }
  return doubts;
}

/// Passes the slow servers of a reply to the request's listener. The time that the peer did not
/// wait is an upper bound of the reply's way, so that an entry never gets younger on its way
/// through several nodes.
void report_slow_servers(rpc::PollReplyT const& reply, poll_request const& request,
                         time_point sent_at) {
  if (!request.on_slow_servers) return;
  auto const waited =
      std::min<std::uint64_t>(reply.waited_ms, static_cast<std::uint64_t>(request.wait.count()));
  auto const under_way =
      std::chrono::ceil<milliseconds>(boot_clock::now() - sent_at) - milliseconds(waited);
  auto const servers = balancing::decode_slow_servers(reply.slow_servers.get(), under_way);
  if (!servers.empty()) request.on_slow_servers(servers);
}

}  // namespace

awaitable<poll_result> poll_peer(http::client& transport, endpoint peer, poll_request request,
                                 topic_views& views) {
  rpc::PollCallT call;
  call.node = request.node;
  call.address = request.self.to_string();
  call.zone = std::move(request.zone);
  call.processor_share = request.processor_share;
  call.uptime_ms = static_cast<std::uint64_t>(request.uptime.count());
  call.leaving = request.leaving;
  call.wait_ms = static_cast<std::uint64_t>(request.wait.count());
  for (topic const topic_id : request.topics) {
    call.positions.push_back(encode_position(topic_id, request, views.view(topic_id)));
  }
  time_point const sent_at = boot_clock::now();
  auto reply = co_await rpc::call<rpc::PollCallT, rpc::PollReplyT>(
      transport, std::move(peer), "RelayService", "Poll", call,
      request.wait + request.answer_margin);
  if (!reply) {
    poll_result failed;
    failed.cause = reply.error().detail;
    co_return failed;
  }
  std::string doubts = apply_reply(reply.value(), request, sent_at, views);
  report_slow_servers(reply.value(), request, sent_at);
  bool const all_topics_answered = reply.value().topics.size() == request.topics.size();
  poll_result result;
  result.outcome = all_topics_answered && doubts.empty() ? poll_outcome::authoritative
                                                         : poll_outcome::not_authoritative;
  result.only_servers_not_authoritative =
      all_topics_answered && doubts == rpc::EnumNameRecordTopic(topic::SERVERS);
  if (result.outcome == poll_outcome::not_authoritative)
    result.cause = "not authoritative for " + doubts;
  for (auto const& update : reply.value().topics) {
    if (index_of(update->topic) >= k_topics.size()) continue;
    result.newest_changes[index_of(update->topic)] = newest_revision(*update);
  }
  co_return result;
}

}  // namespace frostline::relay
