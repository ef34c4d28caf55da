#include "engines/weight_orders.h"

#include <algorithm>

#include "base/log.h"

namespace frostline::engines {
namespace {

constexpr std::string_view k_part = "engines";
/// Delay before the next order to an engine that refused or did not answer one.
constexpr milliseconds k_refusal_backoff{400};
constexpr std::uint64_t k_max_allowed_lag = 1;

}  // namespace

std::string_view to_string(command_reply reply) {
  switch (reply) {
    case command_reply::taken:
      return "taken";
    case command_reply::holds_already:
      return "holds_already";
    case command_reply::conflict:
      return "conflict";
    case command_reply::refused:
      return "refused";
    case command_reply::not_sent:
      return "not_sent";
    case command_reply::unknown:
      return "unknown";
  }
  return "unknown";
}

weight_orders::weight_orders(asio::io_context& context, engine_board& board,
                             engine_control& control, order_authority authority)
    : context_(context), board_(board), control_(control), authority_(std::move(authority)) {
  options_.service = authority_.service;
}

void weight_orders::name_version(std::string const& model, std::uint64_t version) {
  model_demand& demand = demands_[model];
  if (version <= demand.newest) return;
  demand.newest = version;
  log_line(log_level::info, k_part, "Version named.", {{"model", model}, {"version", version}});
}

void weight_orders::note_job(std::string const& model, std::uint64_t min_version,
                             std::uint64_t size, std::size_t samples) {
  model_demand& demand = demands_[model];
  demand.job_size = static_cast<double>(size);
  demand.samples = samples;
  std::uint64_t const lag = demand.newest > min_version ? demand.newest - min_version : 0;
  // Jobs accepted before the second version don't indicate the lag of later jobs.
  if (demand.newest >= 2) demand.allowed_lag = std::min(lag, k_max_allowed_lag);
}

std::uint64_t weight_orders::newest(std::string const& model) const {
  auto const found = demands_.find(model);
  return found == demands_.end() ? 0 : found->second.newest;
}

void weight_orders::begin_term() {
  sequences_.clear();
  board_.end_all_loads();
}

void weight_orders::check_pending_loads(time_point now) {
  std::set<std::string> const loading = board_.loading();
  for (std::string const& id : loading) check_pending_load(*board_.find(id), now);
}

void weight_orders::check_pending_load(engine_entry const& entry, time_point now) {
  std::string const id = entry.server.id;
  if (entry.version_of(entry.ordered_model) >= entry.ordered_version) {
    log_line(
        log_level::info, k_part, "Version loaded.",
        {{"server", id},
         {"model", entry.ordered_model},
         {"version", entry.ordered_version},
         {"after_ms", std::chrono::duration_cast<milliseconds>(now - entry.ordered_at).count()}});
    board_.end_load(id);
    return;
  }
  if (now - entry.ordered_at < options_.order_timeout) return;
  board_.set_ordered_at(id, now);
  spawn(context_, resolve_overdue_order(entry.server));
}

weight_orders::engine_sequence& weight_orders::sequence_of(directory::server const& engine) {
  engine_sequence& found = sequences_[engine.id];
  // The engine's report may be from a later incarnation than its directory record.
  if (found.born < engine.born) found = {false, 0, engine.born};
  return found;
}

void weight_orders::apply_report(directory::server const& engine, engine_report const& report) {
  if (board_.find(engine.id) == nullptr) return;
  sequences_[engine.id] = {true, report.sequence, std::max(report.born, engine.born)};
  for (auto const& [model, version] : report.versions) {
    board_.raise_version(engine.id, model, version);
  }
}

awaitable<void> weight_orders::resolve_overdue_order(directory::server engine) {
  auto const report = co_await control_.report(engine);
  if (!report) {
    board_.note_failure(engine.id, boot_clock::now());
    board_.end_load(engine.id);
    co_return;
  }
  apply_report(engine, *report);
  if (!report->busy) board_.end_load(engine.id);
}

awaitable<bool> weight_orders::fetch_sequence(directory::server engine) {
  if (sequence_of(engine).known) co_return true;
  auto const report = co_await control_.report(engine);
  if (!report) co_return false;
  apply_report(engine, *report);
  co_return true;
}

awaitable<void> weight_orders::send_order(directory::server engine, planned_order order) {
  bool const known = co_await fetch_sequence(engine);
  engine_entry const* entry = board_.find(engine.id);
  if (entry == nullptr) co_return;
  bool const already_loaded = entry->version_of(order.model) >= order.version;
  if (!known || already_loaded || !authority_.may_order()) {
    board_.end_load(engine.id);
    if (!known) board_.note_failure(engine.id, boot_clock::now());
    co_return;
  }
  load_command command;
  command.model = order.model;
  command.version = order.version;
  command.mode = authority_.mode_for(*entry);
  command.holder = authority_.holder;
  command.fence = authority_.fence();
  command.expected_sequence = sequence_of(engine).value;
  ++sent_;
  command_reply const reply = co_await control_.load(engine, command);
  log_line(log_level::info, k_part, "Order given.",
           {{"server", engine.id},
            {"model", order.model},
            {"version", order.version},
            {"fence", command.fence},
            {"sequence", command.expected_sequence},
            {"reply", to_string(reply)}});
  if (board_.find(engine.id) == nullptr) co_return;
  if (reply == command_reply::taken) {
    ++sequence_of(engine).value;
    co_return;
  }
  board_.end_load(engine.id);
  if (reply == command_reply::holds_already) {
    board_.raise_version(engine.id, order.model, order.version);
    co_return;
  }
  // If the outcome is unknown, the expected sequence stays the same, so that an order that was
  // accepted after all is not carried out twice.
  bool const sequence_outdated =
      reply == command_reply::conflict || reply == command_reply::refused;
  if (sequence_outdated) sequence_of(engine).known = false;
  if (reply == command_reply::not_sent) board_.note_failure(engine.id, boot_clock::now());
  board_.set_ordered_at(engine.id, boot_clock::now() + k_refusal_backoff);
}

void weight_orders::advance(time_point now) {
  check_pending_loads(now);
  if (!authority_.may_order()) return;
  for (planned_order const& order : plan_orders(board_, demands_, options_)) {
    engine_entry const* const entry = board_.find(order.engine);
    // If the last order failed or its outcome is unknown, `ordered_at` was set to the time when the
    // next order may be sent.
    if (entry == nullptr || entry->ordered_at > now || entry->blocked_until > now) continue;
    board_.begin_load(order.engine, order.model, order.version, now);
    spawn(context_, send_order(entry->server, order));
  }
}

}  // namespace frostline::engines
