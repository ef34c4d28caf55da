#include "relay/peer_poll.h"

#include <algorithm>

#include "relay/part_codec.h"
#include "rpc/client.h"

namespace frostline::relay {
namespace {

/// Older views count as this old; longer times would not fit the clock's unit.
constexpr milliseconds k_longest_age{24 * 3600 * 1000};

kv::watch_event read_change(rpc::RecordChangeT const& change) {
  kv::watch_event event;
  event.deleted = change.deleted;
  event.entry.key = change.key;
  event.entry.value.assign(change.value.begin(), change.value.end());
  event.entry.mod_revision = change.revision;
  event.entry.create_revision = change.created;
  return event;
}

/// @param node this node, whose parts of the records were asked for.
void take_changes(rpc::TopicChangesT const& told, std::string const& node, topic_views& views) {
  record_selection const selected =
      told.selected ? record_selection(node, read_parts(told.parts)) : record_selection();
  if (told.whole) {
    kv::range_answer all;
    all.store_revision = told.store_revision;
    for (auto const& change : told.changes) all.entries.push_back(read_change(*change).entry);
    views.take_snapshot(told.topic, all, selected);
    return;
  }
  for (auto const& change : told.changes) views.take_event(told.topic, read_change(*change));
  // Changes of what else this view holds were not told.
  if (selected.covers(views.view(told.topic).held())) {
    views.advance(told.topic, told.store_revision);
  }
}

std::unique_ptr<rpc::TopicPositionT> write_position(topic one, poll_request const& request,
                                                    record_view const& view) {
  auto position = std::make_unique<rpc::TopicPositionT>();
  position->topic = one;
  record_selection const wanted = one == topic::SERVERS ? request.servers : record_selection();
  position->after = view.held().covers(wanted) ? view.at() : 0;
  position->selected = !wanted.is_everything();
  position->parts = write_parts(wanted.parts());
  position->exact = request.exact_parts;
  position->patient = one == topic::SERVERS && request.patient_for_servers;
  return position;
}

kv::revision newest_of(rpc::TopicChangesT const& told) {
  kv::revision newest = 0;
  for (auto const& change : told.changes) newest = std::max(newest, change->revision);
  return newest;
}

/// Takes a reply over. @return what the other node was not sure of, as text; empty: nothing.
std::string take_reply(rpc::PollReplyT const& reply, poll_request const& request, time_point asked,
                       topic_views& views) {
  milliseconds const waited = std::min(milliseconds(reply.waited_ms), request.wait);
  // Before the changes, since it says what a change means.
  auto const back = std::min(milliseconds(reply.store_back_ms_ago), k_longest_age);
  if (back < k_longest_age) views.note_store_back(asked + waited - back);
  std::string doubts;
  for (auto const& told : reply.topics) {
    if (index_of(told->topic) >= k_topics.size()) continue;
    bool const wanted = told->topic != topic::SERVERS || request.takes_servers();
    if (wanted) take_changes(*told, request.node, views);
    // The time on the way there is not known; the answer is at least as new as this.
    auto const age = std::min(milliseconds(told->confirmed_ms_ago), k_longest_age);
    views.confirm(told->topic, asked + waited - age);
    if (told->sure) continue;
    if (!doubts.empty()) doubts += ", ";
    doubts += rpc::EnumNameRecordTopic(told->topic);
  }
  return doubts;
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
  for (topic const one : request.topics) {
    call.positions.push_back(write_position(one, request, views.view(one)));
  }
  time_point const asked = boot_clock::now();
  auto reply = co_await rpc::call<rpc::PollCallT, rpc::PollReplyT>(
      transport, std::move(peer), "RelayService", "Poll", call,
      request.wait + request.answer_margin);
  if (!reply) {
    poll_result failed;
    failed.cause = reply.error().detail;
    co_return failed;
  }
  std::string doubts = take_reply(reply.value(), request, asked, views);
  bool const whole = reply.value().topics.size() == request.topics.size();
  poll_result result;
  result.outcome = whole && doubts.empty() ? poll_outcome::sure : poll_outcome::not_sure;
  result.doubts_servers_only = whole && doubts == rpc::EnumNameRecordTopic(topic::SERVERS);
  if (result.outcome == poll_outcome::not_sure) result.cause = "not sure of " + doubts;
  for (auto const& told : reply.value().topics) {
    if (index_of(told->topic) >= k_topics.size()) continue;
    result.newest_changes[index_of(told->topic)] = newest_of(*told);
  }
  co_return result;
}

}  // namespace frostline::relay
