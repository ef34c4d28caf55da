#include "gateway/operator_request_reader.h"

#include "base/log.h"

namespace frostline::gateway {
namespace {

constexpr std::string_view k_part = "gateway";
constexpr milliseconds k_watch_pause{20};
constexpr milliseconds k_report_timeout{1500};
constexpr milliseconds k_report_retry_delay{200};

}  // namespace

void operator_request_reader::set_owner(bool owner) {
  if (owner && !follower_) start();
  if (owner || !follower_) return;
  follower_->stop();
  follower_.reset();
}

void operator_request_reader::start() {
  kv::prefix_watcher_callbacks callbacks;
  callbacks.snapshot = [this](kv::range_answer const& records) {
    for (kv::key_value const& record : records.entries) handle_record(record);
  };
  callbacks.event = [this](kv::watch_event const& event) {
    if (!event.deleted) handle_record(event.entry);
  };
  follower_ = std::make_shared<kv::prefix_watcher>(
      context_, adapter_.store(), adapter_.keys().operators_prefix, std::move(callbacks),
      kv::prefix_watcher_options{k_watch_pause, kv::k_prompt_watch_wait});
  follower_->start();
}

void operator_request_reader::resynchronize() {
  if (!follower_) return;
  log_line(log_level::info, k_part, "Reading what operators ask for again.");
  follower_->resynchronize();
}

void operator_request_reader::handle_record(kv::key_value const& record) {
  if (record.key == adapter_.keys().configuration) {
    take_configuration_(record.value);
    return;
  }
  auto const request = adapter_.parse_request(record.key, record.value);
  if (!request) return;
  if (request->kind == operator_request::request_kind::name_version) {
    pools_.name_version(request->model, request->version);
    return;
  }
  bool const is_new =
      handled_empty_requests_.insert(record.key + std::to_string(record.mod_revision)).second;
  if (is_new) spawn(context_, report_empty(request->machine));
}

awaitable<void> operator_request_reader::report_empty(std::string machine) {
  // Machines hold no durable data, so a machine can be reported as empty at once.
  while (!stopped_) {
    kv::transaction change;
    change.on_success.push_back(adapter_.report_empty(machine));
    auto outcome = co_await adapter_.store().apply(std::move(change), k_report_timeout);
    log_line(log_level::info, k_part, "Machine reported as empty.",
             {{"machine", machine}, {"stored", outcome ? "yes" : outcome.error().message()}});
    if (outcome) co_return;
    co_await wait_for(k_report_retry_delay);
  }
}

}  // namespace frostline::gateway
