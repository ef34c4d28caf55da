/// @file Reads the results of a closed job (ended, or with all results listed) directly from the
/// record store, to relieve the pool's owner. Any node may do so, since the result stored at a
/// position is final.
#pragma once

#include <optional>
#include <string>

#include "base/asio.h"
#include "kv/record_store.h"
#include "schema/frostline_generated.h"

namespace frostline::jobs {

/// Returns results from position `after` on: about `limit` bytes at most, but at least one result
/// if there is any.
/// @param batches stored batches, in the order of their positions.
/// @param total number of the job's items, copied to the reply.
rpc::JobReplyT take_results(std::vector<rpc::ResultBatchT> batches, std::uint64_t after,
                            std::uint64_t total, std::size_t limit);

/// Approximate size of a result in a reply, in bytes.
std::size_t reply_bytes(rpc::SampleResultT const& result);

/// Limit of the results in one reply, in bytes.
constexpr std::size_t k_max_reply_bytes = 900 * 1024;

/// Reads the results of `job` from position `after` on.
/// @param total number of the job's items, copied to the reply.
/// @return nothing if the store does not answer.
awaitable<std::optional<rpc::JobReplyT>> read_results(kv::record_store& store, std::string pool,
                                                      std::string job, std::uint64_t after,
                                                      std::uint64_t total);

}  // namespace frostline::jobs
