#include "engines/engine_index.h"

#include <algorithm>
#include <limits>

namespace frostline::engines {
namespace {

/// No version counts as recent before this one is published.
constexpr std::uint64_t k_first_recent_newest = 3;

/// Oldest version that counts as recent if `newest` is the newest version.
std::uint64_t oldest_recent(std::uint64_t newest) {
  if (newest < k_first_recent_newest) return std::numeric_limits<std::uint64_t>::max();
  return newest - 1;
}

template <typename Buckets, typename Entry>
void erase_from(Buckets& buckets, std::uint64_t version, Entry const& entry) {
  auto const bucket = buckets.find(version);
  bucket->second.erase(entry);
  if (bucket->second.empty()) buckets.erase(bucket);
}

}  // namespace

load_candidates::load_candidates(version_buckets const& all, std::uint64_t newest,
                                 std::uint64_t allowed_lag) {
  std::vector<version_buckets::const_iterator> allowed;
  for (auto bucket = all.begin(); bucket != all.end() && bucket->first < newest; ++bucket) {
    bool const too_old = bucket->first + allowed_lag < newest;
    (too_old ? buckets_ : allowed).push_back(bucket);
  }
  std::reverse(buckets_.begin(), buckets_.end());
  buckets_.insert(buckets_.end(), allowed.rbegin(), allowed.rend());
  enter_bucket();
}

void load_candidates::enter_bucket() {
  if (!empty()) next_ = buckets_[bucket_]->second.begin();
}

void load_candidates::pop() {
  if (++next_ != buckets_[bucket_]->second.end()) return;
  ++bucket_;
  enter_bucket();
}

engine_index::utilization_rank engine_index::indexed_engine::utilization() const {
  return {static_cast<float>(in_flight) / static_cast<float>(std::max(slots, 1U)), number};
}

std::uint32_t engine_index::count_recent_models(indexed_engine const& engine) {
  return static_cast<std::uint32_t>(std::count_if(
      engine.versions.begin(), engine.versions.end(),
      [](model_version const& held) { return held.version >= oldest_recent(held.model->newest); }));
}

engine_number engine_index::number_of(std::string const& id) {
  if (free_numbers_.empty()) {
    ids_.push_back(&id);
    return static_cast<engine_number>(ids_.size() - 1);
  }
  engine_number const number = free_numbers_.back();
  free_numbers_.pop_back();
  ids_[number] = &id;
  return number;
}

void engine_index::put(engine_summary const& summary) {
  auto const [position, inserted] = engines_.try_emplace(summary.id);
  indexed_engine& indexed = position->second;
  if (inserted) {
    indexed.number = number_of(position->first);
  } else {
    remove_from_buckets(indexed);
  }
  indexed.ready = summary.ready;
  indexed.slots = summary.slots;
  indexed.in_flight = summary.in_flight;
  indexed.versions.clear();
  for (auto const& [name, version] : summary.versions) {
    indexed.versions.push_back({&models_[name], version});
  }
  indexed.loading_model = summary.load ? &models_[summary.load->first] : nullptr;
  indexed.loaded_version = summary.load ? summary.load->second : 0;
  indexed.recent_models = count_recent_models(indexed);
  add_to_buckets(indexed);
}

void engine_index::remove(std::string const& id) {
  auto const found = engines_.find(id);
  if (found == engines_.end()) return;
  remove_from_buckets(found->second);
  ids_[found->second.number] = nullptr;
  free_numbers_.push_back(found->second.number);
  engines_.erase(found);
}

void engine_index::add_to_buckets(indexed_engine const& engine) {
  ++index_updates_;
  if (!engine.ready) return;
  for (auto const& [model, version] : engine.versions) {
    ++model->engines;
    model->total_slots += engine.slots;
    model->by_version[version].insert(engine.number);
    bool const loads_it = engine.loading_model == model;
    if (loads_it) ++model->loading[{version, engine.loaded_version}];
    if (engine.loading_model == nullptr) {
      model->candidates[version].insert({engine.recent_models, engine.in_flight, engine.number});
    }
    if (engine.has_room() && !loads_it) model->available[version].insert(engine.utilization());
  }
}

void engine_index::remove_from_buckets(indexed_engine const& engine) {
  if (!engine.ready) return;
  for (auto const& [model, version] : engine.versions) {
    --model->engines;
    model->total_slots -= engine.slots;
    erase_from(model->by_version, version, engine.number);
    bool const loads_it = engine.loading_model == model;
    if (loads_it) {
      auto const loading = model->loading.find({version, engine.loaded_version});
      if (--loading->second == 0) model->loading.erase(loading);
    }
    if (engine.loading_model == nullptr) {
      erase_from(model->candidates, version,
                 load_candidates::rank{engine.recent_models, engine.in_flight, engine.number});
    }
    if (engine.has_room() && !loads_it) erase_from(model->available, version, engine.utilization());
  }
}

void engine_index::set_newest(std::string const& model, std::uint64_t newest) {
  model_engines& entry = models_[model];
  if (entry.newest == newest) return;
  // Only versions in [low, high) change between recent and not recent.
  auto const [low, high] = std::minmax({oldest_recent(entry.newest), oldest_recent(newest)});
  std::vector<engine_number> affected;
  for (auto bucket = entry.by_version.lower_bound(low);
       bucket != entry.by_version.lower_bound(high); ++bucket) {
    affected.insert(affected.end(), bucket->second.begin(), bucket->second.end());
  }
  for (engine_number const number : affected) remove_from_buckets(engines_.at(id_of(number)));
  entry.newest = newest;
  for (engine_number const number : affected) {
    indexed_engine& engine = engines_.at(id_of(number));
    engine.recent_models = count_recent_models(engine);
    add_to_buckets(engine);
  }
}

model_counts engine_index::count(std::string const& model, std::uint64_t newest,
                                 std::uint64_t allowed_lag) const {
  model_counts counts;
  auto const found = models_.find(model);
  if (found == models_.end()) return counts;
  counts.engines = found->second.engines;
  counts.total_slots = found->second.total_slots;
  for (auto const& [version, engines] : found->second.by_version) {
    if (version >= newest) counts.up_to_date += engines.size();
    if (version + allowed_lag >= newest) counts.usable += engines.size();
  }
  for (auto const& [versions, engines] : found->second.loading) {
    auto const& [held, loaded] = versions;
    if (held >= newest || loaded < newest) continue;
    counts.up_to_date += engines;
    if (held + allowed_lag < newest) counts.usable += engines;
  }
  return counts;
}

load_candidates engine_index::candidates(std::string const& model, std::uint64_t newest,
                                         std::uint64_t allowed_lag) const {
  static load_candidates::version_buckets const none;
  auto const found = models_.find(model);
  return {found == models_.end() ? none : found->second.candidates, newest, allowed_lag};
}

void engine_index::visit_least_loaded(std::string const& model, std::uint64_t min_version,
                                      std::uint64_t max_version,
                                      std::function<bool(std::string const&)> const& visit) const {
  auto const found = models_.find(model);
  if (found == models_.end()) return;
  auto const& buckets = found->second.available;
  for (auto bucket = buckets.lower_bound(min_version); bucket != buckets.end(); ++bucket) {
    if (bucket->first > max_version) return;
    for (auto const& [utilization, number] : bucket->second) {
      if (visit(id_of(number))) break;
    }
  }
}

}  // namespace frostline::engines
