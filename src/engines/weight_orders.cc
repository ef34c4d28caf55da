#include "engines/weight_orders.h"

#include <algorithm>

#include "base/log.h"

namespace frostline::engines {
namespace {

constexpr std::string_view k_part = "engines";
/// An engine that refused or did not answer an order is left alone for that long.
constexpr milliseconds k_refused_pause{400};
constexpr std::uint64_t k_most_slack = 1;

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
    : context_(context), board_(board), control_(control), authority_(std::move(authority)) {}

void weight_orders::name_version(std::string const& model, std::uint64_t version) {
  model_need& need = needs_[model];
  if (version <= need.newest) return;
  need.newest = version;
  log_line(log_level::info, k_part, "Version named.", {{"model", model}, {"version", version}});
}

void weight_orders::note_job(std::string const& model, std::uint64_t min_version,
                             std::uint64_t size, std::size_t samples) {
  model_need& need = needs_[model];
  need.demand = static_cast<double>(size);
  need.samples = samples;
  std::uint64_t const behind = need.newest > min_version ? need.newest - min_version : 0;
  // Before anything is named, the first jobs say nothing about later ones.
  if (need.newest >= 2) need.slack = std::min(behind, k_most_slack);
}

std::uint64_t weight_orders::newest(std::string const& model) const {
  auto const found = needs_.find(model);
  return found == needs_.end() ? 0 : found->second.newest;
}

void weight_orders::begin_term() {
  sequences_.clear();
  board_.end_all_loads();
}

void weight_orders::settle(time_point now) {
  std::set<std::string> const loading = board_.loading();
  for (std::string const& id : loading) settle_one(*board_.find(id), now);
}

void weight_orders::settle_one(engine_entry const& one, time_point now) {
  std::string const id = one.server.id;
  if (one.version_of(one.ordered_model) >= one.ordered_version) {
    log_line(
        log_level::info, k_part, "Version loaded.",
        {{"server", id},
         {"model", one.ordered_model},
         {"version", one.ordered_version},
         {"after_ms", std::chrono::duration_cast<milliseconds>(now - one.ordered_at).count()}});
    board_.end_load(id);
    return;
  }
  if (now - one.ordered_at < options_.order_patience) return;
  board_.set_ordered_at(id, now);
  spawn(context_, look_into(one.server));
}

weight_orders::engine_sequence& weight_orders::sequence_of(directory::server const& engine) {
  engine_sequence& found = sequences_[engine.id];
  // An engine's own report may be of a later life than its record.
  if (found.born < engine.born) found = {false, 0, engine.born};
  return found;
}

void weight_orders::take_report(directory::server const& engine, engine_report const& report) {
  if (board_.find(engine.id) == nullptr) return;
  sequences_[engine.id] = {true, report.sequence, std::max(report.born, engine.born)};
  for (auto const& [model, version] : report.versions) {
    board_.raise_version(engine.id, model, version);
  }
}

awaitable<void> weight_orders::look_into(directory::server engine) {
  auto const report = co_await control_.report(engine);
  if (!report) {
    board_.note_failure(engine.id, boot_clock::now());
    board_.end_load(engine.id);
    co_return;
  }
  take_report(engine, *report);
  if (!report->busy) board_.end_load(engine.id);
}

awaitable<bool> weight_orders::learn_sequence(directory::server engine) {
  if (sequence_of(engine).known) co_return true;
  auto const report = co_await control_.report(engine);
  if (!report) co_return false;
  take_report(engine, *report);
  co_return true;
}

awaitable<void> weight_orders::give(directory::server engine, planned_order order) {
  bool const known = co_await learn_sequence(engine);
  engine_entry const* one = board_.find(engine.id);
  if (one == nullptr) co_return;
  bool const needless = one->version_of(order.model) >= order.version;
  if (!known || needless || !authority_.may_order()) {
    board_.end_load(engine.id);
    if (!known) board_.note_failure(engine.id, boot_clock::now());
    co_return;
  }
  load_command command;
  command.model = order.model;
  command.version = order.version;
  command.mode = authority_.mode_for(*one);
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
  // Whether an order without an answer was taken, the sequence tells: asked again, the same
  // expectation keeps it from being carried out twice.
  bool const changed = reply == command_reply::conflict || reply == command_reply::refused;
  if (changed) sequence_of(engine).known = false;
  if (reply == command_reply::not_sent) board_.note_failure(engine.id, boot_clock::now());
  board_.set_ordered_at(engine.id, boot_clock::now() + k_refused_pause);
}

void weight_orders::advance(time_point now) {
  settle(now);
  if (!authority_.may_order()) return;
  for (planned_order const& order : plan_orders(board_, needs_, options_)) {
    engine_entry const* const one = board_.find(order.engine);
    // After a refusal `ordered_at` lies ahead.
    if (one == nullptr || one->ordered_at > now || one->blocked_until > now) continue;
    board_.begin_load(order.engine, order.model, order.version, now);
    spawn(context_, give(one->server, order));
  }
}

}  // namespace frostline::engines
