/// @file Which samples of a shard are delivered: a watermark and, above it, a bitmap for each
/// group. Pure; it is what the delivery record stores.
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
  /// @param first the lowest group of the shard; @param stride distance of its groups.
  delivered_set(std::uint64_t first, std::uint64_t stride) : watermark_(first), stride_(stride) {}

  bool contains(sample_key key) const;
  /// @param group_size samples in the key's group.
  void insert(sample_key key, std::uint32_t group_size);
  /// Takes a sample out again; it lies above the watermark or the watermark goes back to it.
  void remove(sample_key key, std::uint32_t group_size);
  /// All groups below are delivered in full.
  std::uint64_t watermark() const { return watermark_; }
  /// Samples delivered above the watermark.
  std::uint64_t partial_count() const;

  void write_to(rpc::DeliveryRecordT& record) const;
  /// Takes over what a record holds.
  void read_from(rpc::DeliveryRecordT const& record);

 private:
  /// An empty bitmap stands for a group of any size that is delivered in full.
  using bitmap = std::vector<bool>;
  inline static bitmap const k_full_group{};
  static bool is_full(bitmap const& bits);
  void raise_watermark();

  std::uint64_t watermark_;
  std::uint64_t stride_;
  std::map<std::uint64_t, bitmap> partial_;
};

}  // namespace frostline::delivery
