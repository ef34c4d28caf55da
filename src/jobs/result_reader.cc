#include "jobs/result_reader.h"

#include "jobs/record_log.h"

namespace frostline::jobs {
namespace {

/// Estimated size of a result's identifier, versions and framing.
constexpr std::size_t k_result_overhead = 160;

}  // namespace

std::size_t reply_bytes(rpc::SampleResultT const& result) {
  return result.text.size() + result.score.size() + k_result_overhead;
}

rpc::JobReplyT take_results(std::vector<rpc::ResultBatchT> batches, std::uint64_t after,
                            std::uint64_t total, std::size_t limit) {
  rpc::JobReplyT reply;
  reply.total = total;
  std::size_t bytes = 0;
  std::uint64_t position = 0;
  for (rpc::ResultBatchT& batch : batches) {
    // Results after a gap would appear at wrong positions.
    if (batch.first != position) break;
    position += batch.results.size();
    for (std::size_t place = 0; place < batch.results.size(); ++place) {
      if (batch.first + place < after) continue;
      bytes += reply_bytes(*batch.results[place]);
      if (bytes > limit && !reply.results.empty()) return reply;
      reply.results.push_back(std::move(batch.results[place]));
    }
  }
  return reply;
}

awaitable<std::optional<rpc::JobReplyT>> read_results(kv::record_store& store, std::string pool,
                                                      std::string job, std::uint64_t after,
                                                      std::uint64_t total) {
  auto answer = co_await store.list(record_keys::results_prefix(pool, job));
  if (!answer) co_return std::nullopt;
  stored_job stored = read_job(pool, job, answer.value().entries);
  co_return take_results(std::move(stored.batches), after, total, k_max_reply_bytes);
}

}  // namespace frostline::jobs
