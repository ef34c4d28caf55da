/// @file Reads the results of a closed job directly from the record store, to take load off the
/// pool's owner. Any node may do so, since the result stored at a position is final.
#pragma once

#include <optional>
#include <string>

#include "base/asio.h"
#include "kv/record_store.h"
#include "schema/frostline_generated.h"

namespace frostline::jobs {

/// Returns results from position `after` on: about `limit` bytes at most, but at least one result
/// if there is any.
/// @param batches as stored, in the order of their positions.
rpc::JobReplyT take_results(std::vector<rpc::ResultBatchT> batches, std::uint64_t after,
                            std::uint64_t total, std::size_t limit);

/// Approximate size of a result in a reply, in bytes.
std::size_t reply_bytes(rpc::SampleResultT const& result);

/// Limit of the results in one reply, in bytes.
constexpr std::size_t k_max_reply_bytes = 900 * 1024;

/// @return nothing if the store does not answer.
awaitable<std::optional<rpc::JobReplyT>> read_results(kv::record_store& store, std::string pool,
                                                      std::string job, std::uint64_t after,
                                                      std::uint64_t total);

}  // namespace frostline::jobs
