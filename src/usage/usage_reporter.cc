#include "usage/usage_reporter.h"

#include <algorithm>

#include "base/encoding.h"
#include "base/log.h"
#include "rpc/client.h"
#include "rpc/codec.h"

namespace frostline::usage {
namespace {

constexpr std::string_view k_part = "usage";
constexpr std::string_view k_state_key = "frostline/usage/state";
constexpr milliseconds k_poll_interval{250};
/// Interval of calls with new counts; counts of about this time are lost when a node crashes.
constexpr milliseconds k_send_interval{500};
/// Interval of calls without new counts, which show that a node's counts are complete, so that
/// windows can be closed.
constexpr milliseconds k_idle_interval{2000};
/// Interval of writes of the holder's state. Counts since the last write are sent again by the
/// nodes when the holder crashes.
constexpr milliseconds k_store_interval{1000};
/// Time for the other nodes to send their counts to a new holder before it closes windows.
constexpr milliseconds k_collection_wait{1500};
constexpr milliseconds k_send_timeout{800};
constexpr milliseconds k_store_timeout{1000};
constexpr milliseconds k_retry_delay{250};
/// Limit of entries in one call; the remaining entries follow with the next call.
constexpr std::size_t k_max_entries = 400;
/// How long a node keeps its counts, to send them again to a new holder.
constexpr milliseconds k_retention{40'000};
/// Time after the end of a window at which an unacknowledged report is abandoned.
constexpr milliseconds k_max_report_age{60'000};

rpc::UsageStateT const* pointer_or_null(std::optional<rpc::UsageStateT> const& state) {
  return state ? &*state : nullptr;
}

std::string join_names(std::vector<std::string> const& names) {
  constexpr std::size_t k_max_names = 5;
  std::string text;
  for (std::size_t index = 0; index < std::min(names.size(), k_max_names); ++index) {
    if (index > 0) text += ',';
    text += names[index];
  }
  if (names.size() > k_max_names) text += ",...";
  return text;
}

std::uint64_t requests_of(rpc::UsageWindowT const& window) {
  std::uint64_t sum = 0;
  for (auto const& count : window.counts) sum += count->requests;
  return sum;
}

std::string_view to_string(report_reply reply) {
  switch (reply) {
    case report_reply::accepted:
      return "accepted";
    case report_reply::busy:
      return "busy";
    case report_reply::refused:
      return "refused";
    case report_reply::unknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

usage_reporter::usage_reporter(reporter_dependencies dependencies)
    : dependencies_(std::move(dependencies)),
      ledger_(dependencies_.options),
      incarnation_(make_unique_token()) {}

std::string usage_reporter::state_key() { return std::string(k_state_key); }

void usage_reporter::start() {
  spawn(dependencies_.context, send_loop());
  spawn(dependencies_.context, holder_loop());
}

rpc::UsageReplyT usage_reporter::count(rpc::UsageCallT call) {
  rpc::UsageReplyT reply;
  time_point const now = boot_clock::now();
  if (state_ != holder_state::active || !dependencies_.lease.holds(now)) return reply;
  std::uint64_t const late_before = ledger_.late();
  reply.counted_to = ledger_.add_counts(call, now);
  reply.taken = true;
  if (ledger_.late() > late_before) {
    log_line(log_level::warning, k_part, "Counts arrived after their window was closed.",
             {{"node", call.node}, {"requests", ledger_.late() - late_before}, {"epoch", epoch_}});
  }
  return reply;
}

awaitable<void> usage_reporter::send_loop() {
  while (!leaving_) {
    co_await wait_for(k_poll_interval);
    time_point const now = boot_clock::now();
    dependencies_.counter.drop_before(now - k_retention);
    if (!leaving_ && is_send_due(now)) co_await send_counts(k_send_timeout);
  }
}

bool usage_reporter::is_send_due(time_point now) const {
  auto const& holder = dependencies_.lease.owner();
  if (!holder) return false;
  if (holder->epoch != acknowledged_epoch_) return true;
  bool const has_new_entries = dependencies_.counter.has_entries_after(acknowledged_sequence_);
  return now - last_sent_at_ >= (has_new_entries ? k_send_interval : k_idle_interval);
}

awaitable<void> usage_reporter::send_counts(milliseconds timeout) {
  auto const holder = dependencies_.lease.owner();
  if (!holder || sending_) co_return;
  sending_ = true;
  std::uint64_t const last_acknowledged =
      holder->epoch == acknowledged_epoch_ ? acknowledged_sequence_ : 0;
  rpc::UsageCallT call =
      dependencies_.counter.entries_after(last_acknowledged, boot_clock::now(), k_max_entries);
  call.node = dependencies_.node;
  call.incarnation = incarnation_;
  call.wall_clock_ms = wall_clock_ms();
  call.leaving = leaving_;
  rpc::UsageReplyT reply;
  std::string failure;
  if (holder->node == dependencies_.node) {
    reply = count(std::move(call));
  } else {
    auto answer = co_await rpc::call<rpc::UsageCallT, rpc::UsageReplyT>(
        dependencies_.transport, holder->address, "UsageService", "Count", call, timeout);
    if (answer) reply = answer.value();
    if (!answer) failure = answer.error().detail;
  }
  sending_ = false;
  last_sent_at_ = boot_clock::now();
  if (!failure.empty()) {
    ++counters_.calls_failed;
    log_line(log_level::info, k_part, "Failed to send counts to the holder.",
             {{"holder", holder->node}, {"epoch", holder->epoch}, {"error", failure}});
  }
  if (!reply.taken) co_return;
  acknowledged_epoch_ = holder->epoch;
  acknowledged_sequence_ = reply.counted_to;
}

awaitable<void> usage_reporter::holder_loop() {
  while (!leaving_) {
    co_await wait_for(k_poll_interval);
    time_point const now = boot_clock::now();
    if (!dependencies_.lease.holds(now)) {
      if (dependencies_.lease.state() != ownership::lease_state::owner)
        state_ = holder_state::standby;
      continue;
    }
    if (state_ != holder_state::active || epoch_ != dependencies_.lease.epoch()) co_await load();
    if (state_ != holder_state::active || leaving_) continue;
    close_windows(now);
    bool const closed =
        std::any_of(ledger_.unreported().begin(), ledger_.unreported().end(),
                    [this](auto const& entry) { return !stored_windows_.contains(entry.first); });
    bool const due = closed || now - stored_at_ >= k_store_interval;
    if (ledger_.is_changed() && due) co_await store_state();
    co_await report_stored();
  }
}

awaitable<void> usage_reporter::load() {
  state_ = holder_state::loading;
  std::uint64_t const epoch = dependencies_.lease.epoch();
  auto answer = co_await dependencies_.store.list(state_key());
  if (!answer || epoch != dependencies_.lease.epoch()) co_return;
  std::optional<rpc::UsageStateT> state;
  state_revision_ = 0;
  stored_windows_.clear();
  for (kv::key_value const& entry : answer.value().entries) {
    if (entry.key != state_key()) continue;
    state_revision_ = entry.mod_revision;
    state = rpc::decode<rpc::UsageStateT>(entry.value);
    if (!state) {
      log_line(log_level::error, k_part,
               "The stored usage state is malformed; counting starts again.",
               {{"revision", entry.mod_revision}});
    }
  }
  if (state) {
    for (auto const& window : state->unreported) stored_windows_.insert(window->window);
  }
  loaded_at_ = boot_clock::now();
  ledger_.restore(pointer_or_null(state), static_cast<wall_time>(wall_clock_ms()), loaded_at_);
  epoch_ = epoch;
  state_ = holder_state::active;
  log_line(log_level::info, k_part, "This node reports usage.",
           {{"epoch", epoch},
            {"state", state ? "stored" : "none"},
            {"unreported", ledger_.unreported().size()},
            {"may_report", dependencies_.lease.may_order(loaded_at_) ? "yes" : "later"}});
}

void usage_reporter::close_windows(time_point now) {
  if (now - loaded_at_ < k_collection_wait) return;
  for (closed_window const& window : ledger_.close_due(now)) {
    ++counters_.windows_closed;
    log_line(log_level::info, k_part, "Usage window closed.",
             {{"window", window.window},
              {"requests", window.requests},
              {"nodes", window.nodes},
              {"nodes_missing", window.missing.size()},
              {"missing", join_names(window.missing)},
              {"waited_ms", window.waited.count()},
              {"epoch", epoch_}});
  }
}

awaitable<void> usage_reporter::store_state() {
  storing_ = true;
  co_await write_state();
  storing_ = false;
}

awaitable<void> usage_reporter::write_state() {
  std::uint64_t const epoch = epoch_;
  rpc::UsageStateT state = ledger_.state();
  state.token = make_unique_token();
  kv::transaction change;
  change.compares.push_back(
      {ownership::owner_lease::key_of(dependencies_.lease.resource()), epoch});
  change.compares.push_back({state_key(), state_revision_});
  kv::operation put;
  put.key = state_key();
  put.value = rpc::encode(state);
  change.on_success.push_back(std::move(put));
  ledger_.note_stored();
  stored_at_ = boot_clock::now();
  auto outcome = co_await dependencies_.store.apply(std::move(change), k_store_timeout);
  kv::revision revision = outcome && outcome.value().succeeded ? outcome.value().store_revision : 0;
  bool stored = revision != 0;
  // This write, or an earlier one whose answer was lost, may have taken effect.
  if (!stored) co_await read_back_state(revision, state.token, stored);
  if (epoch != dependencies_.lease.epoch() || state_ != holder_state::active) co_return;
  if (revision != 0) state_revision_ = revision;
  if (!stored) {
    ledger_.note_not_stored();
    co_return;
  }
  stored_windows_.clear();
  for (auto const& window : state.unreported) stored_windows_.insert(window->window);
}

awaitable<void> usage_reporter::read_back_state(kv::revision& revision, std::string const& token,
                                                bool& stored) {
  auto answer = co_await dependencies_.store.list(state_key());
  if (!answer) {
    log_line(log_level::warning, k_part, "Failed to store the usage state.",
             {{"epoch", epoch_}, {"error", answer.error().message()}});
    co_return;
  }
  for (kv::key_value const& entry : answer.value().entries) {
    if (entry.key != state_key()) continue;
    revision = entry.mod_revision;
    auto const state = rpc::decode<rpc::UsageStateT>(entry.value);
    stored = state && state->token == token;
  }
}

bool usage_reporter::is_abandoned(std::uint64_t window, time_point now) const {
  auto const end = static_cast<wall_time>(window + 1) * dependencies_.options.window.count();
  return ledger_.true_time(now) - end > k_max_report_age.count();
}

awaitable<void> usage_reporter::report_stored() {
  std::set<std::uint64_t> const ready = stored_windows_;
  for (std::uint64_t window : ready) {
    auto const found = ledger_.unreported().find(window);
    if (found == ledger_.unreported().end()) continue;
    time_point const begin = boot_clock::now();
    // Checked right before each call, since no call may arrive after the first call of the next
    // holder.
    if (leaving_ || state_ != holder_state::active || !dependencies_.lease.may_order(begin))
      co_return;
    if (is_abandoned(window, begin)) {
      ++counters_.windows_abandoned;
      log_line(log_level::error, k_part, "Usage report abandoned.",
               {{"window", window}, {"requests", requests_of(found->second)}});
      ledger_.note_reported(window);
      continue;
    }
    rpc::UsageWindowT const report = found->second;
    duty_holder const holder{dependencies_.node, epoch_};
    report_reply const reply = co_await dependencies_.service.report_usage(holder, report);
    auto const spent = std::chrono::duration_cast<milliseconds>(boot_clock::now() - begin);
    bool const accepted = reply == report_reply::accepted;
    log_line(accepted ? log_level::info : log_level::warning, k_part, "Usage report sent.",
             {{"window", window},
              {"requests", requests_of(report)},
              {"tenants", report.counts.size()},
              {"reply", to_string(reply)},
              {"fence", epoch_},
              {"after_ms", spent.count()}});
    if (!accepted) {
      ++counters_.reports_failed;
      co_await wait_for(k_retry_delay);
      co_return;
    }
    ++counters_.windows_reported;
    ledger_.note_reported(window);
  }
}

awaitable<void> usage_reporter::finish(time_point deadline) {
  leaving_ = true;
  auto const left = std::chrono::duration_cast<milliseconds>(deadline - boot_clock::now());
  while ((sending_ || storing_) && boot_clock::now() < deadline) co_await wait_for(milliseconds(5));
  bool const holds = state_ == holder_state::active && dependencies_.lease.holds(boot_clock::now());
  if (left > milliseconds(0)) co_await send_counts(std::min(left, k_send_timeout));
  if (holds && ledger_.is_changed()) co_await store_state();
}

}  // namespace frostline::usage
