#include "relay/poll_service.h"

#include <algorithm>

#include "relay/part_codec.h"

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

poll_service::question poll_service::read_question(rpc::TopicPositionT const& position,
                                                   std::string const& node) const {
  record_view const& view = views_.view(position.topic);
  question one;
  one.about = position.topic;
  one.after = position.after;
  if (position.selected) {
    group_parts const asked = read_parts(position.parts);
    group_parts fitted;
    for (auto const& [group, one_in] : asked) {
      std::uint32_t const kept = std::max(one_in, k_whole_group);
      fitted[group] = position.exact ? kept : suitable_part(one_in, view.group_size(group));
    }
    // What the asking node holds is another part of the records.
    if (asked != fitted) one.after = 0;
    one.wanted = record_selection(node, std::move(fitted));
  }
  one.covered = view.held().covers(one.wanted);
  one.patient = position.patient;
  return one;
}

bool poll_service::can_wait(question const& one) const {
  record_view const& view = views_.view(one.about);
  if (!view.is_loaded() && one.after == 0) return true;
  if (!one.covered) return one.patient;
  return (one.patient || is_sure_(one.about)) && !view.has_news(one.after, one.wanted);
}

bool poll_service::can_wait(rpc::PollCallT const& call) const {
  return std::all_of(call.positions.begin(), call.positions.end(), [&](auto const& position) {
    return can_wait(read_question(*position, call.node));
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

rpc::TopicChangesT poll_service::write_changes(question const& one) {
  rpc::TopicChangesT told;
  told.topic = one.about;
  told.confirmed_ms_ago = milliseconds_since(views_.confirmed_at(one.about), boot_clock::now());
  if (!one.covered) return told;
  told.sure = is_sure_(one.about);
  record_delta const delta = views_.view(one.about).since(one.after, one.wanted);
  told.whole = delta.whole;
  told.store_revision = delta.at;
  told.selected = !one.wanted.is_everything();
  told.parts = write_parts(one.wanted.parts());
  for (kv::watch_event const& change : delta.changes) {
    told.changes.push_back(write_change(change));
  }
  if (delta.whole) {
    ++whole_answers_;
    whole_records_ += delta.changes.size();
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
  reply.store_back_ms_ago = milliseconds_since(views_.store_recovered_at(), boot_clock::now());
  for (auto const& position : call.positions) {
    reply.topics.push_back(
        std::make_unique<rpc::TopicChangesT>(write_changes(read_question(*position, call.node))));
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
