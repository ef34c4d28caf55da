#include "relay/peer_poll.h"

#include <algorithm>

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

void take_changes(rpc::TopicChangesT const& told, topic_views& views) {
  if (told.whole) {
    kv::range_answer all;
    all.store_revision = told.store_revision;
    for (auto const& change : told.changes) all.entries.push_back(read_change(*change).entry);
    views.take_snapshot(told.topic, all);
    return;
  }
  for (auto const& change : told.changes) views.take_event(told.topic, read_change(*change));
  views.advance(told.topic, told.store_revision);
}

kv::revision newest_of(rpc::TopicChangesT const& told) {
  kv::revision newest = 0;
  for (auto const& change : told.changes) newest = std::max(newest, change->revision);
  return newest;
}

/// Takes a reply over. @return what the other node was not sure of, as text; empty: nothing.
std::string take_reply(rpc::PollReplyT const& reply, time_point asked, milliseconds longest_wait,
                       topic_views& views) {
  milliseconds const waited = std::min(milliseconds(reply.waited_ms), longest_wait);
  // Before the changes, since it says what a change means.
  auto const back = std::min(milliseconds(reply.store_back_ms_ago), k_longest_age);
  if (back < k_longest_age) views.note_store_back(asked + waited - back);
  std::string doubts;
  for (auto const& told : reply.topics) {
    if (index_of(told->topic) >= k_topics.size()) continue;
    take_changes(*told, views);
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
  call.node = std::move(request.node);
  call.address = request.self.to_string();
  call.zone = std::move(request.zone);
  call.processor_share = request.processor_share;
  call.uptime_ms = static_cast<std::uint64_t>(request.uptime.count());
  call.leaving = request.leaving;
  call.wait_ms = static_cast<std::uint64_t>(request.wait.count());
  for (topic const one : request.topics) {
    auto position = std::make_unique<rpc::TopicPositionT>();
    position->topic = one;
    position->after = views.view(one).at();
    call.positions.push_back(std::move(position));
  }
  time_point const asked = boot_clock::now();
  auto reply = co_await rpc::call<rpc::PollCallT, rpc::PollReplyT>(
      transport, std::move(peer), "RelayService", "Poll", call,
      request.wait + request.answer_margin);
  if (!reply) co_return poll_result{poll_outcome::failed, reply.error().detail};
  std::string doubts = take_reply(reply.value(), asked, request.wait, views);
  bool const whole = reply.value().topics.size() == request.topics.size();
  poll_result result{poll_outcome::not_sure, "not sure of " + doubts};
  if (whole && doubts.empty()) result = poll_result{poll_outcome::sure, ""};
  for (auto const& told : reply.value().topics) {
    if (index_of(told->topic) >= k_topics.size()) continue;
    result.newest_changes[index_of(told->topic)] = newest_of(*told);
  }
  co_return result;
}

}  // namespace frostline::relay
