/// @file Number of stream events per token of the submitter's length hint, learned by model from
/// completed runs. No I/O; reads no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace frostline::scheduling {

class event_ratios {
 public:
  /// Records a completed run. Ignores runs without a length hint.
  void note_completed(std::string const& model, std::uint64_t length_hint, std::uint64_t events);
  /// Returns the number of events in which a run of this length is generated; 0 while too few runs
  /// of the model were completed.
  /// @param tokens output of the run.
  double events_for(std::string const& model, std::uint64_t tokens) const;

 private:
  static constexpr std::size_t k_samples = 31;

  struct model_ratios {
    /// Latest ratios, as a ring.
    std::array<float, k_samples> samples{};
    std::size_t count = 0;
    std::size_t next = 0;
    /// Events per token; 0 if unknown.
    double median = 0;
  };

  std::map<std::string, model_ratios> models_;
};

}  // namespace frostline::scheduling
