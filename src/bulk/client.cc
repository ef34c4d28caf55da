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

/// Merges the content of several disk nodes and counts the replicas of each item.
class replica_merger {
 public:
  void add(rpc::LoadBulkResponseT part) {
    for (auto& group : part.groups) {
      auto& counted_item = groups_[group->group];
      ++counted_item.replicas;
      if (!counted_item.item) counted_item.item = std::move(group);
    }
    for (auto& sample : part.samples) {
      auto& counted_item = samples_[{sample->group, sample->index, sample->attempt}];
      ++counted_item.replicas;
      if (!counted_item.item) counted_item.item = std::move(sample);
    }
  }

  void finish(std::size_t required_replicas, recovered_bulk& target) {
    move_items(groups_, required_replicas, target.content.groups, target.under_replicated.groups);
    move_items(samples_, required_replicas, target.content.samples,
               target.under_replicated.samples);
  }

 private:
  template <class Item>
  struct counted {
    std::unique_ptr<Item> item;
    std::size_t replicas = 0;
  };
  struct sample_copy_key {
    std::uint64_t group;
    std::uint32_t index;
    std::string attempt;

    auto operator<=>(sample_copy_key const&) const = default;
  };

  template <class Key, class Item>
  static void move_items(std::map<Key, counted<Item>>& from, std::size_t required_replicas,
                         std::vector<std::unique_ptr<Item>>& all,
                         std::vector<std::unique_ptr<Item>>& under_replicated) {
    for (auto& [key, counted_item] : from) {
      if (counted_item.replicas < required_replicas)
        under_replicated.push_back(std::make_unique<Item>(*counted_item.item));
      all.push_back(std::move(counted_item.item));
    }
  }

  std::map<std::uint64_t, counted<rpc::SampleGroupT>> groups_;
  std::map<sample_copy_key, counted<rpc::SampleT>> samples_;
};

}  // namespace

std::vector<replica> order_replicas(std::string const& shard, std::vector<replica> candidates) {
  std::sort(candidates.begin(), candidates.end(), [&](replica const& left, replica const& right) {
    return rendezvous_weight(shard, left.node) > rendezvous_weight(shard, right.node);
  });
  if (candidates.size() < 2) return candidates;
  std::string const first_zone = candidates.front().zone;
  auto const other_zone =
      std::find_if(candidates.begin() + 1, candidates.end(),
                   [&](replica const& candidate) { return candidate.zone != first_zone; });
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

awaitable<bool> client::store_on_replica(replica target, rpc::StoreBulkRequestT const& request) {
  if (target.node == self_.node) {
    auto const stored = local_->put(request);
    if (!stored) {
      log_line(log_level::error, k_part, "Writing to the local bulk store failed.",
               {{"error", stored.error().message()}});
    }
    co_return stored.has_value();
  }
  auto const target_endpoint = parse_endpoint(target.address);
  if (!target_endpoint) co_return false;
  auto stored = co_await rpc::call<rpc::StoreBulkRequestT, rpc::StoreBulkResponseT>(
      transport_, *target_endpoint, "NodeService", "StoreBulk", request, k_put_timeout);
  co_return stored.has_value();
}

awaitable<bool> client::put(rpc::StoreBulkRequestT request) {
  std::string const shard = config::shard_name(request.task, request.shard);
  std::vector<replica> const replicas = order_replicas(shard, live_replicas());
  std::size_t stored_replicas = 0;
  for (replica const& target : replicas) {
    bool const stored = co_await store_on_replica(target, request);
    if (stored && ++stored_replicas == replica_count_) co_return true;
  }
  log_line(log_level::warning, k_part, "Too few disk nodes stored a replica.",
           {{"shard", shard}, {"copies", stored_replicas}, {"wanted", replica_count_}});
  co_return false;
}

awaitable<std::optional<rpc::LoadBulkResponseT>> client::load_from(
    replica source, rpc::LoadBulkRequestT const& request) {
  if (source.node == self_.node) {
    auto loaded = local_->load(request.task, request.shard);
    if (!loaded) co_return std::nullopt;
    co_return std::move(loaded.value());
  }
  auto const source_endpoint = parse_endpoint(source.address);
  if (!source_endpoint) co_return std::nullopt;
  auto loaded = co_await rpc::call<rpc::LoadBulkRequestT, rpc::LoadBulkResponseT>(
      transport_, *source_endpoint, "NodeService", "LoadBulk", request, k_load_timeout);
  if (!loaded) co_return std::nullopt;
  co_return std::move(loaded.value());
}

awaitable<recovered_bulk> client::load(std::string task, std::uint32_t shard) {
  recovered_bulk recovered;
  rpc::LoadBulkRequestT request;
  request.task = std::move(task);
  request.shard = shard;
  replica_merger merger;
  for (replica const& source : live_replicas()) {
    auto part = co_await load_from(source, request);
    if (!part) {
      ++recovered.replicas_failed;
      continue;
    }
    ++recovered.replicas_read;
    merger.add(std::move(*part));
  }
  recovered.under_replicated.task = request.task;
  recovered.under_replicated.shard = shard;
  merger.finish(replica_count_, recovered);
  co_return recovered;
}

awaitable<void> client::forget(std::string task, std::uint32_t shard, std::uint64_t below) {
  rpc::StoreBulkRequestT request;
  request.task = std::move(task);
  request.shard = shard;
  request.forget_below = below;
  for (replica const& target : live_replicas()) co_await store_on_replica(target, request);
}

}  // namespace frostline::bulk
