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
constexpr milliseconds k_tick{250};
/// What a node's death may lose: a tenth of a window of 5 s, at one of many nodes.
constexpr milliseconds k_tell_interval{500};
/// A node without anything new says so that often, so that windows need not wait for it.
constexpr milliseconds k_idle_interval{2000};
/// What a holder's death leaves to be told again; each write is one call to the store.
constexpr milliseconds k_store_interval{1000};
/// A new holder closes nothing before the other nodes have had time to tell it what they counted.
constexpr milliseconds k_hearing_time{1500};
constexpr milliseconds k_tell_timeout{800};
constexpr milliseconds k_store_timeout{1000};
constexpr milliseconds k_retry_pause{250};
/// Entries in one call; at 11 requests a second and node, what half a minute brings.
constexpr std::size_t k_most_entries = 400;
/// Entries are kept until a new holder can have closed every window they lie in.
constexpr milliseconds k_retention{40'000};
/// A report that the service has not taken for that long after its window is given up.
constexpr milliseconds k_longest_trying{60'000};

rpc::UsageStateT const* or_null(std::optional<rpc::UsageStateT> const& state) {
  return state ? &*state : nullptr;
}

std::string joined(std::vector<std::string> const& names) {
  constexpr std::size_t k_most_names = 5;
  std::string text;
  for (std::size_t index = 0; index < std::min(names.size(), k_most_names); ++index) {
    if (index > 0) text += ',';
    text += names[index];
  }
  if (names.size() > k_most_names) text += ",...";
  return text;
}

std::uint64_t requests_of(rpc::UsageWindowT const& window) {
  std::uint64_t sum = 0;
  for (auto const& one : window.counts) sum += one->requests;
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
  spawn(dependencies_.context, tell_loop());
  spawn(dependencies_.context, hold_loop());
}

rpc::UsageReplyT usage_reporter::count(rpc::UsageCallT call) {
  rpc::UsageReplyT reply;
  time_point const now = boot_clock::now();
  if (state_ != holder_state::active || !dependencies_.lease.holds(now)) return reply;
  std::uint64_t const late_before = ledger_.late();
  reply.counted_to = ledger_.take(call, now);
  reply.taken = true;
  if (ledger_.late() > late_before) {
    log_line(log_level::warning, k_part, "Counts came after their window was closed.",
             {{"node", call.node}, {"requests", ledger_.late() - late_before}, {"epoch", epoch_}});
  }
  return reply;
}

awaitable<void> usage_reporter::tell_loop() {
  while (!leaving_) {
    co_await wait_for(k_tick);
    time_point const now = boot_clock::now();
    dependencies_.counter.forget_before(now - k_retention);
    if (!leaving_ && is_time_to_tell(now)) co_await tell_holder(k_tell_timeout);
  }
}

bool usage_reporter::is_time_to_tell(time_point now) const {
  auto const& holder = dependencies_.lease.owner();
  if (!holder) return false;
  if (holder->epoch != told_epoch_) return true;
  bool const news = dependencies_.counter.has_entries_after(told_to_);
  return now - told_at_ >= (news ? k_tell_interval : k_idle_interval);
}

awaitable<void> usage_reporter::tell_holder(milliseconds timeout) {
  auto const holder = dependencies_.lease.owner();
  if (!holder || telling_) co_return;
  telling_ = true;
  std::uint64_t const from = holder->epoch == told_epoch_ ? told_to_ : 0;
  rpc::UsageCallT call =
      dependencies_.counter.entries_after(from, boot_clock::now(), k_most_entries);
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
  telling_ = false;
  told_at_ = boot_clock::now();
  if (!failure.empty()) {
    ++counters_.calls_failed;
    log_line(log_level::info, k_part, "The holder did not take this node's counts.",
             {{"holder", holder->node}, {"epoch", holder->epoch}, {"error", failure}});
  }
  if (!reply.taken) co_return;
  told_epoch_ = holder->epoch;
  told_to_ = reply.counted_to;
}

awaitable<void> usage_reporter::hold_loop() {
  while (!leaving_) {
    co_await wait_for(k_tick);
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
  for (kv::key_value const& one : answer.value().entries) {
    if (one.key != state_key()) continue;
    state_revision_ = one.mod_revision;
    state = rpc::decode<rpc::UsageStateT>(one.value);
    if (!state) {
      log_line(log_level::error, k_part,
               "The stored state of usage is malformed; counts begin anew.",
               {{"revision", one.mod_revision}});
    }
  }
  if (state) {
    for (auto const& one : state->unreported) stored_windows_.insert(one->window);
  }
  loaded_at_ = boot_clock::now();
  ledger_.restore(or_null(state), static_cast<wall_time>(wall_clock_ms()), loaded_at_);
  epoch_ = epoch;
  state_ = holder_state::active;
  log_line(log_level::info, k_part, "This node reports usage.",
           {{"epoch", epoch},
            {"state", state ? "stored" : "none"},
            {"unreported", ledger_.unreported().size()},
            {"may_report", dependencies_.lease.may_order(loaded_at_) ? "yes" : "later"}});
}

void usage_reporter::close_windows(time_point now) {
  if (now - loaded_at_ < k_hearing_time) return;
  for (closed_window const& one : ledger_.close_due(now)) {
    ++counters_.windows_closed;
    log_line(log_level::info, k_part, "Usage of a window is closed.",
             {{"window", one.window},
              {"requests", one.requests},
              {"nodes", one.nodes},
              {"nodes_missing", one.missing.size()},
              {"missing", joined(one.missing)},
              {"waited_ms", one.waited.count()},
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
  // The write, or an earlier one whose answer was lost, may have taken effect all the same.
  if (!stored) co_await take_stored(revision, state.token, stored);
  if (epoch != dependencies_.lease.epoch() || state_ != holder_state::active) co_return;
  if (revision != 0) state_revision_ = revision;
  if (!stored) {
    ledger_.note_not_stored();
    co_return;
  }
  stored_windows_.clear();
  for (auto const& one : state.unreported) stored_windows_.insert(one->window);
}

awaitable<void> usage_reporter::take_stored(kv::revision& revision, std::string const& token,
                                            bool& stored) {
  auto answer = co_await dependencies_.store.list(state_key());
  if (!answer) {
    log_line(log_level::warning, k_part, "The state of usage could not be stored.",
             {{"epoch", epoch_}, {"error", answer.error().message()}});
    co_return;
  }
  for (kv::key_value const& one : answer.value().entries) {
    if (one.key != state_key()) continue;
    revision = one.mod_revision;
    auto const state = rpc::decode<rpc::UsageStateT>(one.value);
    stored = state && state->token == token;
  }
}

bool usage_reporter::is_given_up(std::uint64_t window, time_point now) const {
  auto const end = static_cast<wall_time>(window + 1) * dependencies_.options.window.count();
  return ledger_.true_time(now) - end > k_longest_trying.count();
}

awaitable<void> usage_reporter::report_stored() {
  std::set<std::uint64_t> const ready = stored_windows_;
  for (std::uint64_t window : ready) {
    auto const found = ledger_.unreported().find(window);
    if (found == ledger_.unreported().end()) continue;
    time_point const begin = boot_clock::now();
    // Checked right before each call: what is sent must not come after a successor's first call.
    if (leaving_ || state_ != holder_state::active || !dependencies_.lease.may_order(begin))
      co_return;
    if (is_given_up(window, begin)) {
      ++counters_.windows_abandoned;
      log_line(log_level::error, k_part, "Report of usage given up.",
               {{"window", window}, {"requests", requests_of(found->second)}});
      ledger_.note_reported(window);
      continue;
    }
    rpc::UsageWindowT const report = found->second;
    duty_holder const holder{dependencies_.node, epoch_};
    report_reply const reply = co_await dependencies_.service.report_usage(holder, report);
    auto const spent = std::chrono::duration_cast<milliseconds>(boot_clock::now() - begin);
    bool const accepted = reply == report_reply::accepted;
    log_line(accepted ? log_level::info : log_level::warning, k_part, "Usage reported.",
             {{"window", window},
              {"requests", requests_of(report)},
              {"tenants", report.counts.size()},
              {"reply", to_string(reply)},
              {"fence", epoch_},
              {"after_ms", spent.count()}});
    if (!accepted) {
      ++counters_.reports_failed;
      co_await wait_for(k_retry_pause);
      co_return;
    }
    ++counters_.windows_reported;
    ledger_.note_reported(window);
  }
}

awaitable<void> usage_reporter::finish(time_point deadline) {
  leaving_ = true;
  auto const left = std::chrono::duration_cast<milliseconds>(deadline - boot_clock::now());
  while ((telling_ || storing_) && boot_clock::now() < deadline) co_await wait_for(milliseconds(5));
  bool const holds = state_ == holder_state::active && dependencies_.lease.holds(boot_clock::now());
  if (left > milliseconds(0)) co_await tell_holder(std::min(left, k_tell_timeout));
  if (holds && ledger_.is_changed()) co_await store_state();
}

}  // namespace frostline::usage
