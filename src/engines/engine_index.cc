#include "engines/engine_index.h"

#include <algorithm>
#include <limits>

namespace frostline::engines {
namespace {

/// Before this version nothing was named that an engine could be recent by.
constexpr std::uint64_t k_first_recent_newest = 3;

/// The oldest version that counts as recent once `newest` is named.
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

load_candidates::load_candidates(by_version const& all, std::uint64_t newest, std::uint64_t slack) {
  std::vector<by_version::const_iterator> useful;
  for (auto bucket = all.begin(); bucket != all.end() && bucket->first < newest; ++bucket) {
    bool const useless = bucket->first + slack < newest;
    (useless ? buckets_ : useful).push_back(bucket);
  }
  std::reverse(buckets_.begin(), buckets_.end());
  buckets_.insert(buckets_.end(), useful.rbegin(), useful.rend());
  enter();
}

void load_candidates::enter() {
  if (!empty()) next_ = buckets_[turn_]->second.begin();
}

void load_candidates::pop() {
  if (++next_ != buckets_[turn_]->second.end()) return;
  ++turn_;
  enter();
}

engine_index::fullness engine_index::filed_engine::full() const {
  return {static_cast<float>(in_flight) / static_cast<float>(std::max(slots, 1U)), number};
}

std::uint32_t engine_index::count_homes(filed_engine const& one) {
  return static_cast<std::uint32_t>(std::count_if(
      one.versions.begin(), one.versions.end(),
      [](held_version const& held) { return held.version >= oldest_recent(held.model->newest); }));
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

void engine_index::put(engine_standing const& one) {
  auto const [place, fresh] = engines_.try_emplace(one.id);
  filed_engine& filed = place->second;
  if (fresh) {
    filed.number = number_of(place->first);
  } else {
    unfile(filed);
  }
  filed.ready = one.ready;
  filed.slots = one.slots;
  filed.in_flight = one.in_flight;
  filed.versions.clear();
  for (auto const& [name, version] : one.versions) {
    filed.versions.push_back({&models_[name], version});
  }
  filed.loads = one.load ? &models_[one.load->first] : nullptr;
  filed.loaded_version = one.load ? one.load->second : 0;
  filed.homes = count_homes(filed);
  file(filed);
}

void engine_index::remove(std::string const& id) {
  auto const found = engines_.find(id);
  if (found == engines_.end()) return;
  unfile(found->second);
  ids_[found->second.number] = nullptr;
  free_numbers_.push_back(found->second.number);
  engines_.erase(found);
}

void engine_index::file(filed_engine const& one) {
  ++filings_;
  if (!one.ready) return;
  for (auto const& [model, version] : one.versions) {
    ++model->engines;
    model->places += one.slots;
    model->holders[version].insert(one.number);
    bool const loads_it = one.loads == model;
    if (loads_it) ++model->loading[{version, one.loaded_version}];
    if (one.loads == nullptr) {
      model->candidates[version].insert({one.homes, one.in_flight, one.number});
    }
    if (one.has_room() && !loads_it) model->with_room[version].insert(one.full());
  }
}

void engine_index::unfile(filed_engine const& one) {
  if (!one.ready) return;
  for (auto const& [model, version] : one.versions) {
    --model->engines;
    model->places -= one.slots;
    erase_from(model->holders, version, one.number);
    bool const loads_it = one.loads == model;
    if (loads_it) {
      auto const loading = model->loading.find({version, one.loaded_version});
      if (--loading->second == 0) model->loading.erase(loading);
    }
    if (one.loads == nullptr) {
      erase_from(model->candidates, version,
                 load_candidates::rank{one.homes, one.in_flight, one.number});
    }
    if (one.has_room() && !loads_it) erase_from(model->with_room, version, one.full());
  }
}

void engine_index::set_newest(std::string const& model, std::uint64_t newest) {
  model_engines& own = models_[model];
  if (own.newest == newest) return;
  // Others are recent by both or by neither.
  auto const [least, most] = std::minmax({oldest_recent(own.newest), oldest_recent(newest)});
  std::vector<engine_number> concerned;
  for (auto bucket = own.holders.lower_bound(least); bucket != own.holders.lower_bound(most);
       ++bucket) {
    concerned.insert(concerned.end(), bucket->second.begin(), bucket->second.end());
  }
  for (engine_number const number : concerned) unfile(engines_.at(id_of(number)));
  own.newest = newest;
  for (engine_number const number : concerned) {
    filed_engine& one = engines_.at(id_of(number));
    one.homes = count_homes(one);
    file(one);
  }
}

model_counts engine_index::count(std::string const& model, std::uint64_t newest,
                                 std::uint64_t slack) const {
  model_counts counts;
  auto const found = models_.find(model);
  if (found == models_.end()) return counts;
  counts.engines = found->second.engines;
  counts.places = found->second.places;
  for (auto const& [version, engines] : found->second.holders) {
    if (version >= newest) counts.fresh += engines.size();
    if (version + slack >= newest) counts.usable += engines.size();
  }
  for (auto const& [versions, engines] : found->second.loading) {
    auto const& [held, loaded] = versions;
    if (held >= newest || loaded < newest) continue;
    counts.fresh += engines;
    if (held + slack < newest) counts.usable += engines;
  }
  return counts;
}

load_candidates engine_index::candidates(std::string const& model, std::uint64_t newest,
                                         std::uint64_t slack) const {
  static load_candidates::by_version const none;
  auto const found = models_.find(model);
  return {found == models_.end() ? none : found->second.candidates, newest, slack};
}

void engine_index::visit_emptiest(std::string const& model, std::uint64_t least, std::uint64_t most,
                                  std::function<bool(std::string const&)> const& visit) const {
  auto const found = models_.find(model);
  if (found == models_.end()) return;
  auto const& buckets = found->second.with_room;
  for (auto bucket = buckets.lower_bound(least); bucket != buckets.end(); ++bucket) {
    if (bucket->first > most) return;
    for (auto const& [full, number] : bucket->second) {
      if (visit(id_of(number))) break;
    }
  }
}

}  // namespace frostline::engines
