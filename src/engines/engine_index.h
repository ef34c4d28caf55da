/// @file Index of a pool's engines by loaded version and utilization. It is updated incrementally,
/// so that choosing an engine or planning the next load does not scan the whole pool.
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

/// State of one engine that the index depends on.
struct engine_summary {
  std::string id;
  bool ready = false;
  std::uint32_t slots = 1;
  std::uint32_t in_flight = 0;
  std::map<std::string, std::uint64_t> versions;
  /// Model and version of the load in progress.
  std::optional<std::pair<std::string, std::uint64_t>> load;
};

/// Compact identifier of an engine while it is in the index; reused after the engine's removal.
using engine_number = std::uint32_t;

/// Iterates over the engines that may be ordered to load a model, the best candidates first.
class load_candidates {
 public:
  /// Number of models that the engine holds in a recent version, number of its requests in flight,
  /// and the engine.
  using rank = std::tuple<std::uint32_t, std::uint32_t, engine_number>;
  using version_buckets = std::map<std::uint64_t, std::set<rank>>;

  /// @param newest version to load.
  /// @param allowed_lag number of versions behind the newest that jobs may use.
  load_candidates(version_buckets const& all, std::uint64_t newest, std::uint64_t allowed_lag);

  bool empty() const { return bucket_ == buckets_.size(); }
  engine_number number() const { return std::get<2>(*next_); }
  /// Version that the current engine holds.
  std::uint64_t version() const { return buckets_[bucket_]->first; }
  void pop();

 private:
  void enter_bucket();

  /// Buckets with versions too old for any job, then the others; both by descending version.
  std::vector<version_buckets::const_iterator> buckets_;
  std::size_t bucket_ = 0;
  std::set<rank>::const_iterator next_;
};

/// Totals over the ready engines that hold a version of one model.
struct model_counts {
  std::size_t engines = 0;
  /// Requests that the engines can execute concurrently.
  std::size_t total_slots = 0;
  /// Number of engines that hold the newest version, or are loading it.
  std::size_t up_to_date = 0;
  /// Number of engines that hold a version that jobs may use, or are loading one.
  std::size_t usable = 0;
};

class engine_index {
 public:
  engine_index() = default;
  // Not copyable: `engines_` holds pointers into `models_`.
  engine_index(engine_index const&) = delete;
  engine_index& operator=(engine_index const&) = delete;
  engine_index(engine_index&&) = default;
  engine_index& operator=(engine_index&&) = default;

  /// Adds an engine, or updates its position in the index.
  void put(engine_summary const& summary);
  void remove(std::string const& id);
  /// Sets the newest version of a model. The newest version and its predecessor count as recent;
  /// before version 3 is published, no version does.
  void set_newest(std::string const& model, std::uint64_t newest);

  model_counts count(std::string const& model, std::uint64_t newest,
                     std::uint64_t allowed_lag) const;
  load_candidates candidates(std::string const& model, std::uint64_t newest,
                             std::uint64_t allowed_lag) const;
  /// Total number of insertions of engines into the index, including updates of their positions.
  std::uint64_t index_updates() const { return index_updates_; }
  std::string const& id_of(engine_number number) const { return *ids_[number]; }
  /// Visits the engines with a free slot that hold a version from `min_version` to `max_version`:
  /// version by version, in the order of their utilization.
  /// @param visit returns true to skip the remaining engines of the current version.
  void visit_least_loaded(std::string const& model, std::uint64_t min_version,
                          std::uint64_t max_version,
                          std::function<bool(std::string const&)> const& visit) const;

 private:
  /// Requests in flight per slot, engine.
  using utilization_rank = std::pair<float, engine_number>;

  struct model_engines {
    std::size_t engines = 0;
    std::size_t total_slots = 0;
    std::map<std::uint64_t, std::set<engine_number>> by_version;
    /// Number of engines that load this model, by the version they hold and the one being loaded.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::size_t> loading;
    load_candidates::version_buckets candidates;
    /// Engines with a free slot that aren't loading this model.
    std::map<std::uint64_t, std::set<utilization_rank>> available;
    std::uint64_t newest = 0;
  };
  struct model_version {
    model_engines* model = nullptr;
    std::uint64_t version = 0;
  };
  struct indexed_engine {
    engine_number number = 0;
    bool ready = false;
    std::uint32_t slots = 1;
    std::uint32_t in_flight = 0;
    /// Number of models held in a recent version.
    std::uint32_t recent_models = 0;
    std::vector<model_version> versions;
    /// Null if no load is in progress.
    model_engines* loading_model = nullptr;
    /// Version being loaded; 0 if no load is in progress.
    std::uint64_t loaded_version = 0;

    bool has_room() const { return in_flight < slots; }
    utilization_rank utilization() const;
  };

  static std::uint32_t count_recent_models(indexed_engine const& engine);
  engine_number number_of(std::string const& id);
  void add_to_buckets(indexed_engine const& engine);
  void remove_from_buckets(indexed_engine const& engine);

  std::map<std::string, indexed_engine> engines_;
  /// Identifiers by engine number; null for free numbers.
  std::vector<std::string const*> ids_;
  std::vector<engine_number> free_numbers_;
  std::map<std::string, model_engines> models_;
  std::uint64_t index_updates_ = 0;
};

}  // namespace frostline::engines
