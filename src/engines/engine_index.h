/// @file Engines by what they hold and how full they are, kept up as single engines change, so that
/// neither the choice of an engine for a run nor the next order looks through the whole pool. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace frostline::engines {

/// How one engine stands; what the index files it by.
struct engine_standing {
  std::string id;
  bool ready = false;
  std::uint32_t slots = 1;
  std::uint32_t in_flight = 0;
  std::map<std::string, std::uint64_t> versions;
  /// The load that is under way, if one is.
  std::optional<std::pair<std::string, std::uint64_t>> load;
};

/// Stands for an engine's identifier while the engine is filed.
using engine_number = std::uint32_t;

/// Engines of one model that may be ordered to load it, the best first.
class load_candidates {
 public:
  /// Models that an engine serves with a recent version, runs on it, engine.
  using rank = std::tuple<std::uint32_t, std::uint32_t, engine_number>;
  using by_version = std::map<std::uint64_t, std::set<rank>>;

  /// @param newest version to be loaded. @param slack how many versions behind it a job may use.
  load_candidates(by_version const& all, std::uint64_t newest, std::uint64_t slack);

  bool empty() const { return turn_ == buckets_.size(); }
  engine_number number() const { return std::get<2>(*next_); }
  /// Version that it holds.
  std::uint64_t version() const { return buckets_[turn_]->first; }
  void pop();

 private:
  void enter();

  /// Engines that no job can use, then the others; of each those that held the latest version
  /// first.
  std::vector<by_version::const_iterator> buckets_;
  std::size_t turn_ = 0;
  std::set<rank>::const_iterator next_;
};

/// Counts for one model, over its ready engines.
struct model_counts {
  std::size_t engines = 0;
  /// Requests that they take at once.
  std::size_t places = 0;
  /// Hold the newest version, or load it.
  std::size_t fresh = 0;
  /// Hold a version that a job may use, or load one.
  std::size_t usable = 0;
};

class engine_index {
 public:
  engine_index() = default;
  // Engines point to their models.
  engine_index(engine_index const&) = delete;
  engine_index& operator=(engine_index const&) = delete;
  engine_index(engine_index&&) = default;
  engine_index& operator=(engine_index&&) = default;

  /// Files an engine anew.
  void put(engine_standing const& one);
  void remove(std::string const& id);
  /// Versions of a model within one of the newest count as recent. Nothing is recent before the
  /// third version.
  void set_newest(std::string const& model, std::uint64_t newest);

  model_counts count(std::string const& model, std::uint64_t newest, std::uint64_t slack) const;
  load_candidates candidates(std::string const& model, std::uint64_t newest,
                             std::uint64_t slack) const;
  /// Times that an engine was filed, so far.
  std::uint64_t filings() const { return filings_; }
  std::string const& id_of(engine_number number) const { return *ids_[number]; }
  /// Engines with room for a run, the emptiest first, for each version from `least` to `most`.
  /// @param visit returns true if the rest of this version's engines need not be seen.
  void visit_emptiest(std::string const& model, std::uint64_t least, std::uint64_t most,
                      std::function<bool(std::string const&)> const& visit) const;

 private:
  /// Requests under way for each slot, engine.
  using fullness = std::pair<float, engine_number>;

  struct model_engines {
    std::size_t engines = 0;
    std::size_t places = 0;
    std::map<std::uint64_t, std::set<engine_number>> holders;
    /// Engines that load, by the version that they hold and the one that they load.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::size_t> loading;
    load_candidates::by_version candidates;
    std::map<std::uint64_t, std::set<fullness>> with_room;
    std::uint64_t newest = 0;
  };
  struct held_version {
    model_engines* model = nullptr;
    std::uint64_t version = 0;
  };
  struct filed_engine {
    engine_number number = 0;
    bool ready = false;
    std::uint32_t slots = 1;
    std::uint32_t in_flight = 0;
    std::uint32_t homes = 0;
    std::vector<held_version> versions;
    /// Null: none is under way.
    model_engines* loads = nullptr;
    std::uint64_t loaded_version = 0;

    bool has_room() const { return in_flight < slots; }
    fullness full() const;
  };

  static std::uint32_t count_homes(filed_engine const& one);
  engine_number number_of(std::string const& id);
  void file(filed_engine const& one);
  void unfile(filed_engine const& one);

  std::map<std::string, filed_engine> engines_;
  /// Null for numbers that are free.
  std::vector<std::string const*> ids_;
  std::vector<engine_number> free_numbers_;
  std::map<std::string, model_engines> models_;
  std::uint64_t filings_ = 0;
};

}  // namespace frostline::engines
