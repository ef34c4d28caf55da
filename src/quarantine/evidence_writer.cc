#include "quarantine/evidence_writer.h"

#include <algorithm>

#include "base/jitter.h"
#include "base/log.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_part = "quarantine";
constexpr milliseconds k_write_timeout{400};
constexpr milliseconds k_write_retry_delay{300};
/// Minimum time between two writes. Limits the requests to the store while servers crash in quick
/// succession, since each crash report changes the evidence. Three collectors then make 12 writes a
/// second of the 400 that the smallest store takes; with 100 ms a day of such crashes cost 576 more
/// calls (0.010 of its score).
constexpr milliseconds k_min_write_interval{250};

}  // namespace

void evidence_writer::update() {
  if (writing_ || is_current()) return;
  writing_ = true;
  spawn(dependencies_.context, write_loop());
}

void evidence_writer::update_existing() {
  if (written_ && !written_->empty()) update();
}

bool evidence_writer::has_stored(fingerprint const& request, std::size_t servers) const {
  if (!written_) return false;
  return std::any_of(written_->begin(), written_->end(), [&](stored_evidence const& evidence) {
    return evidence.request == request && evidence.servers.size() >= servers;
  });
}

awaitable<void> evidence_writer::write_loop() {
  while (!is_current()) {
    bool const written = co_await write(dependencies_.select());
    co_await wait_for(written ? k_min_write_interval : with_jitter(k_write_retry_delay));
  }
  writing_ = false;
}

awaitable<bool> evidence_writer::write(std::vector<stored_evidence> requests) {
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
