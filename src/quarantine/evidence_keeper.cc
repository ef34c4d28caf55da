#include "quarantine/evidence_keeper.h"

#include <algorithm>

#include "base/jitter.h"
#include "base/log.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_part = "quarantine";
constexpr milliseconds k_write_timeout{400};
constexpr milliseconds k_write_retry{300};
/// Between two writes: when many servers end one after the other, evidence changes with each
/// report. Three collectors then cost 12 of the 400 writes a second that the smallest store takes.
/// With 100 ms a day of deadly scorers' calls cost 576 calls more (0.010 of its worth).
constexpr milliseconds k_write_pause{250};

}  // namespace

void evidence_keeper::keep() {
  if (writing_ || is_current()) return;
  writing_ = true;
  spawn(dependencies_.context, write_loop());
}

void evidence_keeper::refresh() {
  if (written_ && !written_->empty()) keep();
}

bool evidence_keeper::holds(fingerprint const& request, std::size_t servers) const {
  if (!written_) return false;
  return std::any_of(written_->begin(), written_->end(), [&](kept_evidence const& one) {
    return one.request == request && one.servers.size() >= servers;
  });
}

awaitable<void> evidence_keeper::write_loop() {
  while (!is_current()) {
    bool const written = co_await write(dependencies_.select());
    co_await wait_for(written ? k_write_pause : with_jitter(k_write_retry));
  }
  writing_ = false;
}

awaitable<bool> evidence_keeper::write(std::vector<kept_evidence> requests) {
  evidence_record record{dependencies_.self, dependencies_.incarnation, requests, wall_clock_ms()};
  kv::operation change;
  change.key = evidence_record::key_of(dependencies_.node);
  change.kind = requests.empty() ? kv::operation_kind::remove : kv::operation_kind::put;
  if (!requests.empty()) change.value = record.encode();
  kv::transaction transaction;
  transaction.on_success.push_back(std::move(change));
  ++writes_;
  auto const outcome = co_await dependencies_.store.apply(std::move(transaction), k_write_timeout);
  bool const done = outcome && outcome.value().succeeded;
  log_line(log_level::info, k_part, done ? "Evidence stored." : "Evidence was not stored.",
           {{"requests", requests.size()},
            {"error", outcome ? std::string() : outcome.error().message()}});
  if (done) written_ = std::move(requests);
  co_return done;
}

}  // namespace frostline::quarantine
