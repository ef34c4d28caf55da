/// @file Jobs that had ended before this node became the pool's owner: answered by their marks, and
/// read from the record store when somebody asks for them.

#include <algorithm>

#include "base/log.h"
#include "jobs/pool_owner.h"

namespace frostline::jobs {
namespace {

constexpr std::string_view k_part = "jobs";
/// Time in which a call waits for an ended job's data, as long as one call to the store may take.
constexpr milliseconds k_longest_read{2500};
/// Between two reads, as a multiple of what the one before took: most of the link and the processor
/// stay free for what is running.
constexpr int k_pause_factor = 2;
constexpr milliseconds k_failed_pause{250};

}  // namespace

std::optional<rpc::JobReplyT> pool_owner::answer_unread(rpc::JobCallT const& call) {
  auto const found = ended_unread_.find(call.job);
  if (found == ended_unread_.end() || !found->second) return std::nullopt;
  rpc::JobEndT const& end = *found->second;
  rpc::JobReplyT reply;
  if (!end.tenant.empty() && end.tenant != call.tenant) {
    reply.status = rpc::JobStatus::UNKNOWN_JOB;
    reply.detail = "not its tenant";
    return reply;
  }
  if (call.action == rpc::JobAction::LIST) {
    want_ended(call.job);
    reply.status = rpc::JobStatus::READ_RECORDS;
    reply.total = end.total;
  }
  return reply;
}

awaitable<void> pool_owner::ensure_loaded(std::string id) {
  std::uint64_t const term = term_;
  time_point const limit = boot_clock::now() + k_longest_read;
  if (ended_unread_.contains(id)) want_ended(id);
  while (term == term_ && ended_unread_.contains(id) && boot_clock::now() < limit) {
    co_await loaded_.wait_until(limit);
  }
}

void pool_owner::want_ended(std::string const& id) {
  bool const wanted =
      std::find(ended_wanted_.begin(), ended_wanted_.end(), id) != ended_wanted_.end();
  if (!wanted) ended_wanted_.push_back(id);
  if (reading_ended_) return;
  reading_ended_ = true;
  spawn(dependencies_.context, read_ended_loop(term_));
}

awaitable<void> pool_owner::read_ended_loop(std::uint64_t term) {
  while (term == term_ && !ended_wanted_.empty()) {
    time_point const begin = boot_clock::now();
    std::string const id = ended_wanted_.front();
    co_await read_ended(id, term);
    if (term != term_) break;
    std::erase(ended_wanted_, id);
    loaded_.notify_all();
    auto const spent = std::chrono::duration_cast<milliseconds>(boot_clock::now() - begin);
    bool const failed = ended_unread_.contains(id);
    co_await wait_for(failed ? k_failed_pause : spent * k_pause_factor);
  }
  reading_ended_ = false;
  // What was asked for in a later term, while this loop was still waiting.
  if (!ended_wanted_.empty()) want_ended(ended_wanted_.front());
}

awaitable<void> pool_owner::read_ended(std::string id, std::uint64_t term) {
  auto stored = co_await read_stored(id);
  if (term != term_ || !ended_unread_.contains(id)) co_return;
  if (!stored) {
    log_line(log_level::info, k_part, "Data of an ended job could not be read.", {{"job", id}});
    co_return;
  }
  take_stored(id, std::move(*stored));
  table_.end(id);
  ended_unread_.erase(id);
}

}  // namespace frostline::jobs
