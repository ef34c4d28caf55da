/// @file Reads the results of a job that changes no more straight from the record store, so that
/// its owner need not send them. What is stored at a position is final, so any node may.
#pragma once

#include <optional>
#include <string>

#include "base/asio.h"
#include "kv/record_store.h"
#include "schema/frostline_generated.h"

namespace frostline::jobs {

/// Results from position `after` on: at least one if there is one, at most about `limit` bytes.
/// @param batches as they are stored, in the order of their positions.
rpc::JobReplyT take_results(std::vector<rpc::ResultBatchT> batches, std::uint64_t after,
                            std::uint64_t total, std::size_t limit);

/// Bytes that a result takes in a reply, about.
std::size_t reply_bytes(rpc::SampleResultT const& result);

/// Longest reply to a reader.
constexpr std::size_t k_longest_reply = 900 * 1024;

/// @return nothing if the store does not answer.
awaitable<std::optional<rpc::JobReplyT>> read_results(kv::record_store& store, std::string pool,
                                                      std::string job, std::uint64_t after,
                                                      std::uint64_t total);

}  // namespace frostline::jobs
