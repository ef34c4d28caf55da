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

double fullness_of(engine_standing const& one) {
  return static_cast<double>(one.in_flight) / std::max(one.slots, 1U);
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

bool engine_index::is_recent(std::string const& model, std::uint64_t version) const {
  auto const found = models_.find(model);
  return found != models_.end() && version >= oldest_recent(found->second.newest);
}

std::size_t engine_index::count_homes(engine_standing const& one) const {
  return static_cast<std::size_t>(
      std::count_if(one.versions.begin(), one.versions.end(),
                    [&](auto const& held) { return is_recent(held.first, held.second); }));
}

void engine_index::put(engine_standing const& one) {
  remove(one.id);
  filed_engine& filed = engines_[one.id];
  filed.standing = one;
  filed.homes = count_homes(one);
  file(filed);
}

void engine_index::remove(std::string const& id) {
  auto const found = engines_.find(id);
  if (found == engines_.end()) return;
  unfile(found->second);
  engines_.erase(found);
}

void engine_index::file(filed_engine const& one) {
  ++filings_;
  engine_standing const& standing = one.standing;
  if (!standing.ready) return;
  for (auto const& [name, version] : standing.versions) {
    model_engines& model = models_[name];
    ++model.engines;
    model.places += standing.slots;
    model.holders[version].insert(standing.id);
    bool const loads_it = standing.load && standing.load->first == name;
    if (loads_it) ++model.loading[{version, standing.load->second}];
    if (!standing.load) {
      model.candidates[version].insert({one.homes, standing.in_flight, standing.id});
    }
    bool const has_room = standing.in_flight < standing.slots && !loads_it;
    if (has_room) model.with_room[version].insert({fullness_of(standing), standing.id});
  }
}

void engine_index::unfile(filed_engine const& one) {
  engine_standing const& standing = one.standing;
  if (!standing.ready) return;
  for (auto const& [name, version] : standing.versions) {
    model_engines& model = models_[name];
    --model.engines;
    model.places -= standing.slots;
    erase_from(model.holders, version, standing.id);
    bool const loads_it = standing.load && standing.load->first == name;
    if (loads_it) {
      auto const loading = model.loading.find({version, standing.load->second});
      if (--loading->second == 0) model.loading.erase(loading);
    }
    if (!standing.load) {
      erase_from(model.candidates, version,
                 load_candidates::rank{one.homes, standing.in_flight, standing.id});
    }
    bool const has_room = standing.in_flight < standing.slots && !loads_it;
    if (has_room) {
      erase_from(model.with_room, version, fullness{fullness_of(standing), standing.id});
    }
  }
}

void engine_index::set_newest(std::string const& model, std::uint64_t newest) {
  std::uint64_t const before = models_[model].newest;
  if (before == newest) return;
  // Others are recent by both or by neither.
  auto const [least, most] = std::minmax({oldest_recent(before), oldest_recent(newest)});
  std::vector<std::string> concerned;
  auto const& holders = models_[model].holders;
  for (auto bucket = holders.lower_bound(least); bucket != holders.lower_bound(most); ++bucket) {
    concerned.insert(concerned.end(), bucket->second.begin(), bucket->second.end());
  }
  for (std::string const& id : concerned) unfile(engines_.at(id));
  models_[model].newest = newest;
  for (std::string const& id : concerned) {
    filed_engine& one = engines_.at(id);
    one.homes = count_homes(one.standing);
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
    for (auto const& [full, id] : bucket->second) {
      if (visit(id)) break;
    }
  }
}

}  // namespace frostline::engines
