#include "bulk/client.h"

#include <algorithm>

#include "base/encoding.h"
#include "base/log.h"
#include "config/keys.h"
#include "rpc/client.h"

namespace frostline::bulk {
namespace {

constexpr std::string_view k_part = "bulk";
constexpr milliseconds k_put_timeout{3000};
constexpr milliseconds k_load_timeout{10'000};

}  // namespace

std::vector<replica> order_replicas(std::string const& shard, std::vector<replica> candidates) {
  std::sort(candidates.begin(), candidates.end(), [&](replica const& left, replica const& right) {
    return rendezvous_weight(shard, left.node) > rendezvous_weight(shard, right.node);
  });
  if (candidates.size() < k_copies) return candidates;
  std::string const first_zone = candidates.front().zone;
  auto const other_zone = std::find_if(candidates.begin() + 1, candidates.end(),
                                       [&](replica const& one) { return one.zone != first_zone; });
  if (other_zone != candidates.end()) {
    std::rotate(candidates.begin() + 1, other_zone, other_zone + 1);
  }
  return candidates;
}

std::vector<replica> client::live_replicas() const {
  std::vector<replica> replicas;
  if (local_ != nullptr) replicas.push_back(self_);
  for (auto const& [id, peer] : members_.members()) {
    if (!peer.is_alive() || !peer.update.bulk) continue;
    replicas.push_back({id, peer.update.zone, peer.update.http_address});
  }
  return replicas;
}

awaitable<bool> client::put_on(replica target, rpc::StoreBulkRequestT const& request) {
  if (target.node == self_.node) {
    auto const stored = local_->put(request);
    if (!stored) {
      log_line(log_level::error, k_part, "Local store failed.",
               {{"error", stored.error().message()}});
    }
    co_return stored.has_value();
  }
  auto const where = parse_endpoint(target.address);
  if (!where) co_return false;
  auto stored = co_await rpc::call<rpc::StoreBulkRequestT, rpc::StoreBulkResponseT>(
      transport_, *where, "NodeService", "StoreBulk", request, k_put_timeout);
  co_return stored.has_value();
}

awaitable<bool> client::put(rpc::StoreBulkRequestT request) {
  std::string const shard = config::shard_name(request.task, request.shard);
  std::vector<replica> const replicas = order_replicas(shard, live_replicas());
  std::size_t const wanted = std::min(k_copies, replicas.size());
  if (wanted == 0) co_return false;
  std::size_t copies = 0;
  for (replica const& target : replicas) {
    bool const stored = co_await put_on(target, request);
    if (stored && ++copies == wanted) co_return true;
  }
  co_return false;
}

awaitable<recovered_bulk> client::load(std::string task, std::uint32_t shard) {
  recovered_bulk all;
  rpc::LoadBulkRequestT request;
  request.task = task;
  request.shard = shard;
  for (replica const& source : live_replicas()) {
    rpc::LoadBulkResponseT part;
    bool read = false;
    if (source.node == self_.node) {
      auto loaded = local_->load(task, shard);
      read = loaded.has_value();
      if (read) part = std::move(loaded.value());
    } else if (auto const where = parse_endpoint(source.address)) {
      auto loaded = co_await rpc::call<rpc::LoadBulkRequestT, rpc::LoadBulkResponseT>(
          transport_, *where, "NodeService", "LoadBulk", request, k_load_timeout);
      read = loaded.has_value();
      if (read) part = std::move(loaded.value());
    }
    if (read) {
      ++all.replicas_read;
    } else {
      ++all.replicas_failed;
    }
    std::move(part.groups.begin(), part.groups.end(), std::back_inserter(all.content.groups));
    std::move(part.samples.begin(), part.samples.end(), std::back_inserter(all.content.samples));
  }
  co_return all;
}

awaitable<void> client::forget(std::string task, std::uint32_t shard, std::uint64_t below) {
  rpc::StoreBulkRequestT request;
  request.task = std::move(task);
  request.shard = shard;
  request.forget_below = below;
  for (replica const& target : live_replicas()) co_await put_on(target, request);
}

}  // namespace frostline::bulk
