/// @file The delivered samples of a shard: a watermark and a bitmap for each partly delivered group
/// above it, as in the delivery record. No I/O.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "schema/frostline_generated.h"

namespace frostline::delivery {

/// Identity of a sample within its task; the trainer numbers the groups.
struct sample_key {
  std::uint64_t group = 0;
  std::uint32_t index = 0;

  auto operator<=>(sample_key const&) const = default;
};

class delivered_set {
 public:
  /// @param first lowest group of the shard. @param stride distance between its groups.
  delivered_set(std::uint64_t first, std::uint64_t stride) : watermark_(first), stride_(stride) {}

  bool contains(sample_key key) const;
  /// @param group_size number of samples in the key's group.
  void insert(sample_key key, std::uint32_t group_size);
  /// Removes a sample; moves the watermark back if the sample lies below it.
  void remove(sample_key key, std::uint32_t group_size);
  /// All groups of the shard below this one are fully delivered.
  std::uint64_t watermark() const { return watermark_; }
  /// Number of delivered samples in the groups at or above the watermark, except groups that are
  /// stored as fully delivered by an empty bitmap.
  std::uint64_t partial_count() const;

  void write_to(rpc::DeliveryRecordT& record) const;
  /// Replaces the content by that of a record.
  void read_from(rpc::DeliveryRecordT const& record);

 private:
  /// An empty bitmap stands for a fully delivered group of any size.
  using bitmap = std::vector<bool>;
  inline static bitmap const k_full_group{};
  static bool is_full(bitmap const& bits);
  void raise_watermark();

  std::uint64_t watermark_;
  std::uint64_t stride_;
  std::map<std::uint64_t, bitmap> partial_;
};

}  // namespace frostline::delivery
