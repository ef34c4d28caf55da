#include "relay/poll_service.h"

#include <algorithm>

namespace frostline::relay {
namespace {

/// Told of what was never confirmed; any longer time is of no more use.
constexpr milliseconds k_longest_age{24 * 3600 * 1000};

std::uint64_t milliseconds_since(time_point then, time_point now) {
  if (then < now - k_longest_age) return static_cast<std::uint64_t>(k_longest_age.count());
  auto const spent = std::chrono::duration_cast<milliseconds>(now - then);
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, spent.count()));
}

/// A topic that a newer version of this program may know.
bool is_unknown(std::unique_ptr<rpc::TopicPositionT> const& position) {
  return index_of(position->topic) >= k_topics.size();
}

std::unique_ptr<rpc::RecordChangeT> write_change(kv::watch_event const& event) {
  auto change = std::make_unique<rpc::RecordChangeT>();
  change->key = event.entry.key;
  change->value.assign(event.entry.value.begin(), event.entry.value.end());
  change->revision = event.entry.mod_revision;
  change->created = event.entry.create_revision;
  change->deleted = event.deleted;
  return change;
}

}  // namespace

bool poll_service::can_wait(rpc::PollCallT const& call) const {
  return std::all_of(call.positions.begin(), call.positions.end(), [this](auto const& position) {
    return is_sure_(position->topic) && !views_.view(position->topic).has_news(position->after);
  });
}

void poll_service::note_asking(rpc::PollCallT const& call) {
  auto const address = parse_endpoint(call.address);
  if (!address) return;
  asking_node one;
  one.node = call.node;
  one.zone = call.zone;
  one.address = *address;
  one.processor_share = call.processor_share;
  one.uptime = milliseconds(call.uptime_ms);
  one.leaving = call.leaving;
  asking_.note(std::move(one), boot_clock::now());
}

void poll_service::note_newer(rpc::PollCallT const& call) const {
  auto const asking = parse_endpoint(call.address);
  if (!on_newer_ || !asking) return;
  bool const newer =
      std::any_of(call.positions.begin(), call.positions.end(), [this](auto const& position) {
        return position->after > views_.view(position->topic).at() && !is_sure_(position->topic);
      });
  if (newer) on_newer_(*asking);
}

rpc::TopicChangesT poll_service::write_changes(rpc::TopicPositionT const& position) const {
  rpc::TopicChangesT told;
  told.topic = position.topic;
  told.sure = is_sure_(position.topic);
  record_delta const delta = views_.view(position.topic).since(position.after);
  told.whole = delta.whole;
  told.store_revision = delta.at;
  told.confirmed_ms_ago =
      milliseconds_since(views_.confirmed_at(position.topic), boot_clock::now());
  for (kv::watch_event const& change : delta.changes) {
    told.changes.push_back(write_change(change));
  }
  return told;
}

awaitable<rpc::PollReplyT> poll_service::answer(rpc::PollCallT call) {
  std::erase_if(call.positions, is_unknown);
  note_asking(call);
  note_newer(call);
  time_point const begin = boot_clock::now();
  time_point const deadline = begin + std::min(milliseconds(call.wait_ms), k_longest_wait);
  while (boot_clock::now() < deadline && can_wait(call)) co_await changed_.wait_until(deadline);
  rpc::PollReplyT reply;
  reply.waited_ms = milliseconds_since(begin, boot_clock::now());
  reply.store_back_ms_ago = milliseconds_since(views_.store_back_at(), boot_clock::now());
  for (auto const& position : call.positions) {
    reply.topics.push_back(std::make_unique<rpc::TopicChangesT>(write_changes(*position)));
  }
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
