#include "delivery/delivered_set.h"

#include <algorithm>

namespace frostline::delivery {
namespace {

constexpr std::size_t k_bits = 8;

}  // namespace

bool delivered_set::is_full(bitmap const& bits) {
  return std::all_of(bits.begin(), bits.end(), [](bool bit) { return bit; });
}

bool delivered_set::contains(sample_key key) const {
  if (key.group < watermark_) return true;
  auto const found = partial_.find(key.group);
  if (found == partial_.end()) return false;
  bitmap const& bits = found->second;
  return bits.empty() || (key.index < bits.size() && bits[key.index]);
}

void delivered_set::raise_watermark() {
  auto lowest = partial_.find(watermark_);
  while (lowest != partial_.end() && is_full(lowest->second)) {
    partial_.erase(lowest);
    watermark_ += stride_;
    lowest = partial_.find(watermark_);
  }
}

void delivered_set::insert(sample_key key, std::uint32_t group_size) {
  if (key.index >= group_size || contains(key)) return;
  bitmap& bits = partial_[key.group];
  if (bits.size() < group_size) bits.resize(group_size);
  bits[key.index] = true;
  raise_watermark();
}

void delivered_set::remove(sample_key key, std::uint32_t group_size) {
  while (key.group < watermark_) {
    watermark_ -= stride_;
    partial_[watermark_] = k_full_group;
  }
  auto const found = partial_.find(key.group);
  if (found == partial_.end() || key.index >= group_size) return;
  bitmap& bits = found->second;
  if (bits.empty()) bits.assign(group_size, true);
  bits[key.index] = false;
}

std::uint64_t delivered_set::partial_count() const {
  std::uint64_t count = 0;
  for (auto const& [group, bits] : partial_) {
    count += static_cast<std::uint64_t>(std::count(bits.begin(), bits.end(), true));
  }
  return count;
}

void delivered_set::write_to(rpc::DeliveryRecordT& record) const {
  record.watermark = watermark_;
  record.partial.clear();
  for (auto const& [group, bits] : partial_) {
    auto item = std::make_unique<rpc::DeliveredGroupT>();
    item->group = group;
    item->size = static_cast<std::uint32_t>(bits.size());
    item->samples.resize((bits.size() + k_bits - 1) / k_bits);
    for (std::size_t index = 0; index < bits.size(); ++index) {
      if (!bits[index]) continue;
      item->samples[index / k_bits] |= static_cast<std::uint8_t>(1U << (index % k_bits));
    }
    record.partial.push_back(std::move(item));
  }
}

void delivered_set::read_from(rpc::DeliveryRecordT const& record) {
  watermark_ = record.watermark;
  partial_.clear();
  for (auto const& item : record.partial) {
    bitmap bits(item->size);
    for (std::size_t index = 0; index < bits.size(); ++index) {
      std::size_t const byte = index / k_bits;
      if (byte >= item->samples.size()) break;
      bits[index] = (item->samples[byte] >> (index % k_bits)) & 1;
    }
    partial_[item->group] = std::move(bits);
  }
}

}  // namespace frostline::delivery
