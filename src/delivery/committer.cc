#include "delivery/committer.h"

#include "base/log.h"
#include "rpc/codec.h"

namespace frostline::delivery {
namespace {

constexpr std::string_view k_part = "delivery";
constexpr int k_max_read_back_attempts = 5;
constexpr milliseconds k_read_back_interval{100};

kv::transaction make_conditional_transaction(commit_conditions const& conditions) {
  kv::transaction change;
  change.compares.push_back({conditions.owner_key, conditions.epoch});
  change.compares.push_back({conditions.version_key, conditions.version_revision});
  change.compares.push_back({conditions.record_key, conditions.record_revision});
  change.read_on_failure = {conditions.owner_key, conditions.version_key, conditions.record_key};
  return change;
}

kv::revision revision_in(kv::transaction_answer const& answer, std::string const& key) {
  for (kv::key_value const& entry : answer.read) {
    if (entry.key == key) return entry.mod_revision;
  }
  return 0;
}

}  // namespace

commit_answer explain_failure(commit_conditions const& conditions,
                              kv::transaction_answer const& answer) {
  commit_answer failure;
  failure.result = commit_result::record_changed;
  if (revision_in(answer, conditions.version_key) != conditions.version_revision) {
    failure.result = commit_result::version_changed;
    for (kv::key_value const& entry : answer.read) {
      if (entry.key == conditions.version_key) failure.version_entry = entry;
    }
  }
  // Loss of the shard takes precedence over the other failures.
  if (revision_in(answer, conditions.owner_key) != conditions.epoch) {
    failure.result = commit_result::fenced;
  }
  return failure;
}

awaitable<commit_answer> committer::commit(commit_conditions conditions,
                                           rpc::DeliveryRecordT const& record) {
  kv::transaction change = make_conditional_transaction(conditions);
  change.on_success.push_back(
      {kv::operation_kind::put, conditions.record_key, rpc::encode(record), 0});
  std::string identity = record.identity;
  auto answer = co_await service_.apply(std::move(change));
  if (answer && answer.value().succeeded) {
    commit_answer done;
    done.result = commit_result::committed;
    done.revision = answer.value().store_revision;
    co_return done;
  }
  if (answer) co_return explain_failure(conditions, answer.value());
  if (answer.error() != kv::errc::outcome_unknown) co_return commit_answer{};
  log_line(log_level::warning, k_part, "Outcome of a commit is unknown; reading the record back.",
           {{"record", conditions.record_key}});
  co_return co_await resolve(std::move(conditions), std::move(identity));
}

awaitable<commit_answer> committer::resolve(commit_conditions conditions, std::string identity) {
  commit_answer found;
  found.result = commit_result::in_doubt;
  for (int attempt = 0; attempt < k_max_read_back_attempts; ++attempt) {
    auto stored = co_await read(conditions.record_key);
    if (stored) {
      bool const ours = stored.value().record.identity == identity;
      found.result = ours ? commit_result::committed : commit_result::record_changed;
      found.revision = stored.value().revision;
      co_return found;
    }
    co_await wait_for(k_read_back_interval);
  }
  co_return found;
}

awaitable<commit_answer> committer::confirm(commit_conditions conditions) {
  auto answer = co_await service_.apply(make_conditional_transaction(conditions));
  commit_answer outcome;
  if (!answer) co_return outcome;
  if (!answer.value().succeeded) co_return explain_failure(conditions, answer.value());
  outcome.result = commit_result::committed;
  outcome.revision = answer.value().store_revision;
  co_return outcome;
}

awaitable<result<stored_record>> committer::read(std::string record_key) {
  auto answer = co_await service_.range(std::move(record_key));
  if (!answer) co_return answer.error();
  stored_record stored;
  if (answer.value().entries.empty()) co_return std::move(stored);
  kv::key_value const& entry = answer.value().entries.front();
  auto record = rpc::decode<rpc::DeliveryRecordT>(entry.value);
  if (!record) co_return std::error_code(kv::errc::malformed_answer);
  stored.record = std::move(*record);
  stored.revision = entry.mod_revision;
  co_return std::move(stored);
}

}  // namespace frostline::delivery
