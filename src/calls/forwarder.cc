#include "calls/forwarder.h"

#include <algorithm>

#include "base/log.h"
#include "calls/access.h"
#include "calls/message_fields.h"

namespace frostline::calls {
namespace {

constexpr std::string_view k_part = "calls";
/// Time reserved to deliver the answer before the client's deadline.
constexpr milliseconds k_answer_margin{15};

}  // namespace

forwarder::request_state forwarder::begin(std::shared_ptr<route_table const> table,
                                          route const& matched_route, http::request message,
                                          time_point deadline, caller* client) {
  request_state state;
  state.table = std::move(table);
  state.matched_route = &matched_route;
  state.message = std::move(message);
  state.deadline = deadline;
  state.client = client;
  state.service = shares_.pick(matched_route, [this](std::string const& service) {
    return !dependencies_.servers.ready_servers(service).empty();
  });
  strip_hop_by_hop(state.message);
  state.message.version(11);
  state.message.keep_alive(true);
  bool const has_body = !state.message.body().empty() ||
                        state.message.count(http::field::content_length) > 0 ||
                        state.message.method() == http::verb::post;
  state.message.erase(http::field::content_length);
  if (has_body) state.message.content_length(state.message.body().size());
  return state;
}

bool forwarder::may_try_again(request_state const& state) const {
  if (state.is_trial && state.attempts > 0) return false;
  return state.matched_route->is_repeatable() || !state.may_have_run;
}

bool forwarder::is_suspect(request_state& state) const {
  if (state.broken_attempts > 0 || state.is_trial) return true;
  return dependencies_.quarantine.has_suspects() &&
         dependencies_.quarantine.crashes_seen(fingerprint_of(state)) > 0;
}

awaitable<void> forwarder::record_suspicion(request_state& state) {
  bool const watching = dependencies_.quarantine.has_suspects() || state.broken_attempts > 1;
  if (!watching || state.is_trial) co_return;
  // After a second broken attempt, or after the first one while earlier evidence may be lost, the
  // probe of its server may be pending, and must_be_recorded still false. record_before_next_run
  // waits for the probe and checks again.
  std::uint32_t const unrecorded_breaks = dependencies_.quarantine.may_lack_evidence() ? 0 : 1;
  bool const must_examine = state.broken_attempts > unrecorded_breaks;
  if (!must_examine && !dependencies_.quarantine.must_be_recorded(fingerprint_of(state))) co_return;
  co_await dependencies_.quarantine.record_before_next_run(fingerprint_of(state));
}

awaitable<bool> forwarder::may_run(request_state& state) {
  quarantine::fingerprint const& request = fingerprint_of(state);
  quarantine::verdict const verdict = dependencies_.quarantine.check(request, boot_clock::now());
  if (verdict == quarantine::verdict::allowed) co_return true;
  // A trial needs a request that has not run yet, since its outcome decides the quarantine. A
  // provisional record may be due to this request's own attempt, which the trial then repeats.
  bool const suitable = state.attempts == 0 || dependencies_.quarantine.is_provisional(request);
  bool const can_be_trial = verdict == quarantine::verdict::trial && suitable;
  if (can_be_trial) state.is_trial = co_await dependencies_.quarantine.claim_trial(request);
  if (state.is_trial) co_return true;
  // The claim fails as well if the record has been removed.
  co_return dependencies_.quarantine.check(request, boot_clock::now()) ==
      quarantine::verdict::allowed;
}

awaitable<bool> forwarder::is_blocked_by_quarantine(request_state& state) {
  // A call that no caller waits for can be sent later, once it is known whether it may be.
  if (state.client == nullptr && !dependencies_.quarantine.has_received_records()) {
    state.is_quarantined = true;
    co_return true;
  }
  if (state.is_trial || !dependencies_.quarantine.has_suspects()) co_return false;
  quarantine::fingerprint const& request = fingerprint_of(state);
  time_point now = boot_clock::now();
  bool const must_wait =
      state.client == nullptr && dependencies_.quarantine.should_wait(request, now);
  if (must_wait) state.is_quarantined = true;
  if (must_wait) co_return true;
  // Half of the time is left for the run itself.
  time_point const limit = now + (state.deadline - now) / 2;
  while (!co_await may_run(state)) {
    now = boot_clock::now();
    bool const waits = state.client != nullptr && now < limit &&
                       dependencies_.quarantine.is_trial_open(request, now);
    if (!waits) {
      note_quarantined(state);
      co_return true;
    }
    co_await dependencies_.quarantine.wait_for_trial(request, limit);
    if (state.client->is_disconnected()) co_return true;
  }
  co_return false;
}

void forwarder::note_quarantined(request_state& state) {
  quarantine::fingerprint const& request = fingerprint_of(state);
  state.is_quarantined = true;
  state.retry_delay = dependencies_.quarantine.time_until_retry(request, boot_clock::now());
  dependencies_.quarantine.note_refused(request);
}

quarantine::fingerprint const& forwarder::fingerprint_of(request_state& state) const {
  if (state.request_fingerprint) return *state.request_fingerprint;
  quarantine::request_parts parts;
  parts.caller = state.tenant;
  if (state.tenant.empty())
    parts.caller = http::to_string_view(state.message[http::field::authorization]);
  parts.host = http::to_string_view(state.message[http::field::host]);
  parts.method = http::to_string_view(state.message.method_string());
  parts.target = http::to_string_view(state.message.target());
  parts.body = state.message.body();
  state.request_fingerprint = quarantine::fingerprint::of(parts);
  return *state.request_fingerprint;
}

void forwarder::note_failure(request_state& state, exchange const& upstream,
                             exchange_failure failure) {
  ++counters_.failed_attempts[static_cast<std::size_t>(failure)];
  if (failure == exchange_failure::not_connected) --state.attempts;
  if (failure == exchange_failure::aborted) {
    note_caller_left(state, upstream);
  } else {
    dependencies_.selector.note_failure(upstream.server().id, boot_clock::now());
    measure_failure(state, upstream, failure);
  }
  if (failure == exchange_failure::timed_out) note_timeout(state, upstream);
  state.saw_silent_connection = state.saw_silent_connection || upstream.saw_silent_connection();
  bool const ended =
      failure == exchange_failure::broken || failure == exchange_failure::stale_connection;
  if (ended) {
    ++state.broken_attempts;
    dependencies_.quarantine.note_broken(upstream.server(), fingerprint_of(state),
                                         state.attempt_started_at);
  }
  log_line(log_level::info, k_part, "Attempt failed.",
           {{"request", http::header(state.message, dependencies_.names.request_id)},
            {"server", upstream.server().id},
            {"failure", to_string(failure)},
            {"attempt", state.attempts},
            {"sent_ms_ago", milliseconds_since(state.attempt_started_at)},
            {"limit_ms", state.attempt_timeout.count()},
            {"early", state.timed_out_early ? "yes" : "no"},
            {"resent", upstream.is_resent() ? "yes" : "no"},
            {"connection", upstream.idle_time() ? "kept" : "new"},
            {"rested_ms", upstream.idle_time().value_or(milliseconds(0)).count()},
            {"others_under_way", dependencies_.selector.outstanding(upstream.server().id)},
            {"fingerprint", fingerprint_of(state).to_string()},
            {"config", state.table->all().version}});
}

void forwarder::clear_suspicion(request_state& state, exchange const& upstream) {
  // A 5xx may be sent without a run, for example when a queued request reaches its deadline.
  bool const ran = upstream.head().result_int() < 500;
  if (ran && dependencies_.quarantine.has_suspects())
    dependencies_.quarantine.note_answer(fingerprint_of(state));
}

void forwarder::count_run(request_state& state, usage::run_counter::attempt_id attempt,
                          bool may_have_begun, bool is_event_stream) {
  bool const counts = may_have_begun && !state.usage_counted;
  state.usage_counted = state.usage_counted || may_have_begun;
  // The run of an event stream begins with the head of its answer, any other run when the request
  // is sent.
  time_point const begun = is_event_stream ? boot_clock::now() : state.attempt_started_at;
  dependencies_.runs.end_attempt(attempt, state.tenant, counts, begun);
}

awaitable<std::unique_ptr<exchange>> forwarder::next_exchange(request_state& state) {
  while (state.attempts < state.matched_route->max_attempts && may_try_again(state)) {
    if (state.client != nullptr && state.client->is_disconnected()) break;
    if (boot_clock::now() >= state.deadline) break;
    co_await record_suspicion(state);
    state.unattended_run.reset();
    if (co_await is_blocked_by_quarantine(state)) break;
    auto const& ready = dependencies_.servers.ready_servers(state.service);
    directory::server const* selected =
        dependencies_.selector.pick(ready, state.tried, boot_clock::now(), probe_share(state));
    bool const all_failed =
        selected == nullptr && state.may_have_run && state.matched_route->is_repeatable();
    // Every ready server has been tried. A repeatable request that may have run is sent to them
    // again, except to those that could not be connected to in such a further attempt.
    if (all_failed)
      selected = dependencies_.selector.pick(ready, state.unreachable, boot_clock::now());
    if (selected == nullptr) break;
    std::string const server_id = selected->id;
    state.tried.insert(server_id);
    state.server = server_id;
    if (++state.attempts > 1) ++counters_.retries;
    dependencies_.selector.note_sent(selected->id);
    state.attempt_started_at = boot_clock::now();
    auto upstream =
        std::make_unique<exchange>(dependencies_.connections, dependencies_.names, *selected);
    if (state.client == nullptr && dependencies_.quarantine.has_suspects()) {
      state.unattended_run = dependencies_.quarantine.begin_unattended_run(fingerprint_of(state));
    }
    if (state.client != nullptr) {
      upstream->hold(std::make_shared<disconnect_subscription>(
          *state.client, [active = upstream.get()] { active->abort(); }));
    }
    if (is_suspect(state)) upstream->hold(dependencies_.selector.isolate(selected->id));
    auto const usage_attempt = dependencies_.runs.begin_attempt(state.attempt_started_at);
    exchange_failure const failure = co_await attempt(state, *upstream);
    bool const answered = failure == exchange_failure::none;
    bool const accepted = answered && accepts(state, *upstream);
    bool const refused = answered && !accepted && is_refusal(upstream->head());
    bool const not_connected = failure == exchange_failure::not_connected;
    // If the request was sent twice, a refusal says nothing of the first time.
    bool const may_have_begun = !not_connected && (!refused || upstream->is_resent());
    state.may_have_run = state.may_have_run || may_have_begun;
    if (may_have_begun) state.trial_ran = state.is_trial;
    if (not_connected && all_failed) state.unreachable.insert(server_id);
    count_run(state, usage_attempt, may_have_begun, answered && has_events(upstream->head()));
    if (accepted) co_return upstream;
    if (answered && !refused) co_await discard_answer(state, *upstream);
    if (failure != exchange_failure::none) note_failure(state, *upstream, failure);
  }
  if (state.is_trial && !state.trial_ran) {
    co_await dependencies_.quarantine.return_trial(fingerprint_of(state));
  }
  co_return nullptr;
}

call_failure forwarder::failure_reason(request_state const& state) const {
  if (state.client != nullptr && state.client->is_disconnected()) return call_failure::caller_left;
  if (boot_clock::now() >= state.deadline) {
    return state.may_have_run ? call_failure::deadline_unknown : call_failure::deadline_not_run;
  }
  if (state.may_have_run) return call_failure::outcome_unknown;
  if (state.is_quarantined) return call_failure::quarantined;
  return state.was_refused ? call_failure::servers_full : call_failure::no_server;
}

awaitable<void> forwarder::handle(std::shared_ptr<route_table const> table,
                                  route const* matched_route, http::request message,
                                  std::string tenant, time_point deadline, caller& client) {
  ++counters_.requests;
  if (!table || !dependencies_.servers.is_loaded()) {
    ++counters_.unanswered;
    co_await client.answer(failure_response(call_failure::no_configuration));
    co_return;
  }
  if (matched_route == nullptr) {
    std::string const path(message.target());
    ++counters_.unanswered;
    log_line(log_level::info, k_part, "No route.",
             {{"request", http::header(message, dependencies_.names.request_id)},
              {"path", path},
              {"config", table->all().version},
              {"in_force_ms", milliseconds_since(table->in_force_since())},
              {"records_age_ms", dependencies_.records_age().count()}});
    co_await client.answer(failure_response(call_failure::no_route));
    co_return;
  }
  time_point const latest_deadline = std::min(deadline, boot_clock::now() + matched_route->timeout);
  request_state state =
      begin(table, *matched_route, std::move(message), latest_deadline - k_answer_margin, &client);
  set_tenant(state.message, dependencies_.names, table->tenants(), tenant);
  state.tenant = std::move(tenant);
  if (matched_route->kind == route_kind::streaming) {
    co_await run_stream(state);
    co_return;
  }
  call_outcome outcome = co_await run_whole(state);
  if (outcome.reason != call_failure::none) {
    co_await answer_failure(state, outcome.reason);
    co_return;
  }
  co_await pass_on(state, std::move(outcome.answer));
}

awaitable<void> forwarder::pass_on(request_state& state, http::response whole_answer) {
  ++counters_.answered;
  log_outcome(state, whole_answer.result_int(), call_failure::none, "Answered.");
  co_await state.client->answer(std::move(whole_answer));
}

awaitable<void> forwarder::answer_failure(request_state& state, call_failure reason) {
  if (reason == call_failure::caller_left) {
    ++counters_.callers_left;
  } else {
    ++counters_.unanswered;
  }
  http::response failure_answer = failure_response(reason, state.retry_delay);
  log_outcome(state, failure_answer.result_int(), reason, "Request failed.");
  co_await state.client->answer(std::move(failure_answer));
}

void forwarder::log_outcome(request_state& state, unsigned status, call_failure reason,
                            std::string_view log_message) {
  bool const unanswered = reason != call_failure::none;
  log_line(log_level::info, k_part, log_message,
           {{"request", http::header(state.message, dependencies_.names.request_id)},
            {"route", state.matched_route->name},
            {"tenant", state.tenant},
            {"status", status},
            {"reason", to_string(reason)},
            {"server", state.server},
            {"attempts", state.attempts},
            {"fingerprint", unanswered ? fingerprint_of(state).to_string() : std::string()},
            {"config", state.table->all().version}});
}

}  // namespace frostline::calls
