#include "calls/forwarder.h"

#include <algorithm>

#include "base/log.h"
#include "calls/access.h"
#include "calls/message_fields.h"

namespace frostline::calls {
namespace {

/// A server that answers within this part of the route's objective is asked again before others;
/// above it there would be no room for a second attempt.
constexpr int k_swift_part = 2;
constexpr std::string_view k_part = "calls";
/// Time in which an answer must still reach the client before its deadline.
constexpr milliseconds k_answer_margin{15};
/// Shortest time that an attempt gets before another server is asked.
constexpr milliseconds k_shortest_attempt{250};
constexpr std::size_t k_longest_answer = 64 * 1024 * 1024;

}  // namespace

forwarder::journey forwarder::begin(std::shared_ptr<route_table const> table, route const& by,
                                    http::request message, time_point deadline, caller* from) {
  journey one;
  one.table = std::move(table);
  one.by = &by;
  one.message = std::move(message);
  one.deadline = deadline;
  one.from = from;
  one.service = shares_.pick(by);
  strip_hop_by_hop(one.message);
  one.message.version(11);
  one.message.keep_alive(true);
  bool const has_body = !one.message.body().empty() ||
                        one.message.count(http::field::content_length) > 0 ||
                        one.message.method() == http::verb::post;
  one.message.erase(http::field::content_length);
  if (has_body) one.message.content_length(one.message.body().size());
  return one;
}

bool forwarder::may_try_again(journey const& one) const {
  if (one.is_trial && one.attempts > 0) return false;
  return one.by->is_repeatable() || !one.may_have_run;
}

bool forwarder::is_suspect(journey& one) const {
  if (one.broken_attempts > 0 || one.is_trial) return true;
  return dependencies_.quarantine.is_watching() &&
         dependencies_.quarantine.crashes_seen(identify(one)) > 0;
}

awaitable<void> forwarder::record_suspicion(journey& one) {
  bool const watching = dependencies_.quarantine.is_watching() || one.broken_attempts > 1;
  if (!watching || one.is_trial) co_return;
  // What this try has just met is perhaps still looked at.
  bool const met_two = one.broken_attempts > 1;
  if (!met_two && !dependencies_.quarantine.must_be_recorded(identify(one))) co_return;
  co_await dependencies_.quarantine.record_before_next_run(identify(one));
}

awaitable<bool> forwarder::is_held_back(journey& one) {
  if (one.is_trial || !dependencies_.quarantine.is_watching()) co_return false;
  quarantine::fingerprint const& request = identify(one);
  time_point const now = boot_clock::now();
  quarantine::verdict const verdict = dependencies_.quarantine.check(request, now);
  bool const waits = one.from == nullptr && dependencies_.quarantine.should_wait(request, now);
  if (waits) one.is_quarantined = true;
  if (waits) co_return true;
  if (verdict == quarantine::verdict::allowed) co_return false;
  // Only a request that has not run yet is fit for a trial: its answer tells what came of it.
  bool const fit = verdict == quarantine::verdict::trial && one.attempts == 0;
  if (fit) one.is_trial = co_await dependencies_.quarantine.claim_trial(request);
  if (one.is_trial) co_return false;
  one.is_quarantined = true;
  one.next_try = dependencies_.quarantine.time_to_next_try(request, boot_clock::now());
  dependencies_.quarantine.note_refused(request);
  co_return true;
}

time_point forwarder::attempt_deadline(journey const& one) const {
  bool const last = one.attempts >= one.by->max_attempts || !one.by->is_repeatable();
  if (last) return one.deadline;
  milliseconds const share = std::max(one.by->target_latency * 2, k_shortest_attempt);
  return std::min(one.deadline, boot_clock::now() + share);
}

awaitable<exchange_failure> forwarder::attempt(journey& one, exchange& with) {
  // Without time left a server would not be asked; 0 might be read as "no deadline".
  milliseconds const told = std::max(time_left(one.deadline), milliseconds(1));
  one.message.set(dependencies_.names.deadline, std::to_string(told.count()));
  one.message.set(dependencies_.names.expected_instance, with.server().id);
  bool const repeatable = one.by->is_repeatable();
  auto choice = repeatable ? connection_choice::kept : connection_choice::just_used;
  if (one.is_trial || one.has_met_silence) choice = connection_choice::fresh;
  time_point const deadline = attempt_deadline(one);
  exchange_failure failure = co_await with.send(one.message, choice, deadline);
  if (failure == exchange_failure::none) failure = co_await with.read_head(deadline);
  if (failure == exchange_failure::stale_connection && repeatable) {
    with.note_resent();
    failure = co_await with.send(one.message, connection_choice::fresh, deadline);
    if (failure == exchange_failure::none) failure = co_await with.read_head(deadline);
    // A server that is gone now may have run what was sent before: it counts as an attempt, or one
    // request could end more servers than it has attempts and be answered as not run.
    if (failure == exchange_failure::not_connected) failure = exchange_failure::broken;
  }
  co_return failure;
}

quarantine::fingerprint const& forwarder::identify(journey& one) const {
  if (one.identity) return *one.identity;
  quarantine::request_parts parts;
  parts.caller = one.tenant;
  if (one.tenant.empty())
    parts.caller = http::to_string_view(one.message[http::field::authorization]);
  parts.host = http::to_string_view(one.message[http::field::host]);
  parts.method = http::to_string_view(one.message.method_string());
  parts.target = http::to_string_view(one.message.target());
  parts.body = one.message.body();
  one.identity = quarantine::fingerprint::of(parts);
  return *one.identity;
}

void forwarder::note_failure(journey& one, exchange const& with, exchange_failure failure) {
  ++counters_.failed_attempts[static_cast<std::size_t>(failure)];
  bool const unsent = failure == exchange_failure::not_connected;
  if (unsent) {
    --one.attempts;
  } else {
    one.may_have_run = true;
  }
  if (failure == exchange_failure::aborted) {
    note_abandoned(one, with);
  } else {
    dependencies_.selector.note_failure(with.server().id, boot_clock::now());
  }
  if (failure == exchange_failure::timed_out) note_given_up(one, with);
  one.has_met_silence = one.has_met_silence || with.has_met_silence();
  bool const ended =
      failure == exchange_failure::broken || failure == exchange_failure::stale_connection;
  if (ended) {
    ++one.broken_attempts;
    dependencies_.quarantine.note_broken(with.server(), identify(one), one.attempt_begun);
  }
  log_line(log_level::info, k_part, "Attempt failed.",
           {{"request", http::header(one.message, dependencies_.names.request_id)},
            {"server", with.server().id},
            {"failure", to_string(failure)},
            {"attempt", one.attempts},
            {"sent_ms_ago", milliseconds_since(one.attempt_begun)},
            {"resent", with.is_resent() ? "yes" : "no"},
            {"connection", with.rested() ? "kept" : "new"},
            {"rested_ms", with.rested().value_or(milliseconds(0)).count()},
            {"others_under_way", dependencies_.selector.outstanding(with.server().id)},
            {"fingerprint", identify(one).to_string()},
            {"config", one.table->all().version}});
}

void forwarder::note_abandoned(journey& one, exchange const& with) {
  dependencies_.selector.note_abandoned(with.server().id);
  note_given_up(one, with);
}

void forwarder::note_given_up(journey& one, exchange const& with) {
  if (!with.may_have_reached_server()) return;
  dependencies_.quarantine.note_given_up(with.server(), identify(one), one.attempt_begun);
}

void forwarder::clear_suspicion(journey& one, exchange const& with) {
  // A server's own 5xx may come without a run, as at the end of its deadline in a queue.
  bool const ran = with.head().result_int() < 500;
  if (ran && dependencies_.quarantine.is_watching())
    dependencies_.quarantine.note_answer(identify(one));
}

void forwarder::note_whole_answer(journey& one, exchange const& with) {
  clear_suspicion(one, with);
  time_point const now = boot_clock::now();
  bool const in_time = now - one.attempt_begun <= one.by->target_latency / k_swift_part;
  if (in_time && with.head().result_int() < 500) {
    dependencies_.selector.note_swift_answer(with.server().id, now);
  } else {
    dependencies_.selector.note_answer(with.server().id);
  }
}

bool forwarder::is_refusal(http::response const& head) const {
  return !http::header(head, dependencies_.names.not_run).empty() ||
         head.result() == http::status::misdirected_request;
}

void forwarder::count_run(journey& one, usage::run_counter::attempt_id attempt, bool may_have_begun,
                          bool is_event_stream) {
  bool const counts = may_have_begun && !one.counted;
  one.counted = one.counted || may_have_begun;
  // A request for events begins to run with the first of them, any other when it arrives.
  time_point const begun = is_event_stream ? boot_clock::now() : one.attempt_begun;
  dependencies_.runs.end_attempt(attempt, one.tenant, counts, begun);
}

bool forwarder::accepts(journey& one, exchange& with) {
  http::response const& head = with.head();
  if (is_refusal(head)) {
    one.was_refused = true;
    dependencies_.selector.note_full(with.server().id, boot_clock::now());
    return false;
  }
  bool const failed = head.result_int() >= 500;
  if (failed) ++one.failed_answers;
  bool const again = failed && one.by->is_repeatable() && one.attempts < one.by->max_attempts;
  if (!again) return true;
  one.may_have_run = true;
  dependencies_.selector.note_answer(with.server().id);
  return false;
}

awaitable<std::unique_ptr<exchange>> forwarder::next_exchange(journey& one) {
  while (one.attempts < one.by->max_attempts && may_try_again(one)) {
    if (one.from != nullptr && one.from->is_gone()) break;
    if (boot_clock::now() >= one.deadline) break;
    co_await record_suspicion(one);
    if (co_await is_held_back(one)) break;
    auto const& ready = dependencies_.servers.ready_servers(one.service);
    directory::server const* chosen =
        dependencies_.selector.pick(ready, one.tried, boot_clock::now());
    bool const all_failed = chosen == nullptr && one.may_have_run && one.by->is_repeatable();
    // Once more each: a server that takes no connection then is not waited for, its caller knows
    // better what to do with the time that is left.
    if (all_failed) chosen = dependencies_.selector.pick(ready, one.unreachable, boot_clock::now());
    if (chosen == nullptr) break;
    std::string const chosen_id = chosen->id;
    one.tried.insert(chosen_id);
    one.server = chosen_id;
    if (++one.attempts > 1) ++counters_.retries;
    dependencies_.selector.note_sent(chosen->id);
    one.attempt_begun = boot_clock::now();
    auto with = std::make_unique<exchange>(dependencies_.connections, dependencies_.names, *chosen);
    if (one.from != nullptr) one.from->on_gone([open = with.get()] { open->abort(); });
    if (is_suspect(one)) with->hold(dependencies_.selector.isolate(chosen->id));
    auto const counting = dependencies_.runs.begin_attempt(one.attempt_begun);
    exchange_failure const failure = co_await attempt(one, *with);
    bool const answered = failure == exchange_failure::none;
    bool const taken = answered && accepts(one, *with);
    bool const refused = answered && !taken && is_refusal(with->head());
    bool const unsent = failure == exchange_failure::not_connected;
    if (unsent && all_failed) one.unreachable.insert(chosen_id);
    count_run(one, counting, !refused && !unsent, answered && has_events(with->head()));
    if (taken) co_return with;
    if (one.from != nullptr) one.from->on_gone(nullptr);
    if (failure != exchange_failure::none) note_failure(one, *with, failure);
  }
  conclude_without_answer(one);
  co_return nullptr;
}

void forwarder::conclude_without_answer(journey& one) {
  if (one.from != nullptr && one.from->is_gone()) {
    one.reason = give_up_reason::caller_left;
  } else if (boot_clock::now() >= one.deadline) {
    one.reason =
        one.may_have_run ? give_up_reason::deadline_unknown : give_up_reason::deadline_not_run;
  } else if (one.may_have_run) {
    one.reason = give_up_reason::outcome_unknown;
  } else if (one.is_quarantined) {
    one.reason = give_up_reason::quarantined;
  } else {
    one.reason = one.was_refused ? give_up_reason::servers_full : give_up_reason::no_server;
  }
}

awaitable<bool> forwarder::read_whole(journey& one, exchange& with, http::response& into) {
  into.base() = with.head().base();
  std::string piece;
  while (!with.is_whole() || !with.head().body().empty()) {
    exchange_failure const failure = co_await with.read_piece(piece, one.deadline);
    if (failure != exchange_failure::none) {
      note_failure(one, with, failure);
      co_return false;
    }
    into.body() += piece;
    if (into.body().size() > k_longest_answer) co_return false;
  }
  note_whole_answer(one, with);
  with.finish();
  co_return true;
}

awaitable<call_outcome> forwarder::run_whole(journey& one) {
  call_outcome outcome;
  while (auto with = co_await next_exchange(one)) {
    bool const whole = co_await read_whole(one, *with, outcome.answer);
    if (one.from != nullptr) one.from->on_gone(nullptr);
    if (whole) {
      strip_hop_by_hop(outcome.answer);
      outcome.answer.erase(http::field::content_length);
      outcome.attempts = one.attempts;
      outcome.failed_answers = one.failed_answers;
      outcome.server = one.server;
      co_return outcome;
    }
    outcome.answer = http::response();
  }
  outcome.reason = one.reason;
  outcome.failed_answers = one.failed_answers;
  outcome.attempts = one.attempts;
  outcome.server = one.server;
  co_return outcome;
}

awaitable<call_outcome> forwarder::call(std::shared_ptr<route_table const> table, route const& by,
                                        http::request message, time_point deadline, caller* from) {
  journey one = begin(std::move(table), by, std::move(message), deadline, from);
  co_return co_await run_whole(one);
}

awaitable<void> forwarder::handle(std::shared_ptr<route_table const> table, route const* by,
                                  http::request message, std::string tenant, time_point deadline,
                                  caller& from) {
  ++counters_.requests;
  if (!table || !dependencies_.servers.is_loaded()) {
    ++counters_.given_up;
    co_await from.answer(give_up_answer(give_up_reason::no_configuration));
    co_return;
  }
  if (by == nullptr) {
    std::string const path(message.target());
    ++counters_.given_up;
    log_line(log_level::info, k_part, "No route.",
             {{"request", http::header(message, dependencies_.names.request_id)},
              {"path", path},
              {"config", table->all().version},
              {"in_force_ms", milliseconds_since(table->in_force_since())},
              {"records_age_ms", dependencies_.records_age().count()}});
    co_await from.answer(give_up_answer(give_up_reason::no_route));
    co_return;
  }
  time_point const latest = std::min(deadline, boot_clock::now() + by->timeout);
  journey one = begin(table, *by, std::move(message), latest - k_answer_margin, &from);
  set_tenant(one.message, dependencies_.names, table->tenants(), tenant);
  one.tenant = std::move(tenant);
  if (by->kind == route_kind::streaming) {
    co_await run_stream(one);
    co_return;
  }
  call_outcome outcome = co_await run_whole(one);
  if (outcome.reason != give_up_reason::none) {
    co_await answer_give_up(one);
    co_return;
  }
  ++counters_.answered;
  log_outcome(one, outcome.answer.result_int(), "Answered.");
  co_await from.answer(std::move(outcome.answer));
}

awaitable<void> forwarder::answer_give_up(journey& one) {
  if (one.reason == give_up_reason::caller_left) {
    ++counters_.callers_left;
  } else {
    ++counters_.given_up;
  }
  http::response refusal = give_up_answer(one.reason, one.next_try);
  log_outcome(one, refusal.result_int(), "Given up.");
  co_await one.from->answer(std::move(refusal));
}

void forwarder::log_outcome(journey& one, unsigned status, std::string_view sentence) {
  bool const given_up = one.reason != give_up_reason::none;
  log_line(log_level::info, k_part, sentence,
           {{"request", http::header(one.message, dependencies_.names.request_id)},
            {"route", one.by->name},
            {"tenant", one.tenant},
            {"status", status},
            {"reason", to_string(one.reason)},
            {"server", one.server},
            {"attempts", one.attempts},
            {"fingerprint", given_up ? identify(one).to_string() : std::string()},
            {"config", one.table->all().version}});
}

}  // namespace frostline::calls
