#include "relay/subset_codec.h"

namespace frostline::relay {

std::vector<std::unique_ptr<rpc::GroupPartT>> encode_subsets(group_subsets const& subsets) {
  std::vector<std::unique_ptr<rpc::GroupPartT>> encoded;
  for (auto const& [group, divisor] : subsets) {
    auto part = std::make_unique<rpc::GroupPartT>();
    part->group = group;
    part->one_in = divisor;
    encoded.push_back(std::move(part));
  }
  return encoded;
}

group_subsets decode_subsets(std::vector<std::unique_ptr<rpc::GroupPartT>> const& subsets) {
  group_subsets decoded;
  for (auto const& part : subsets) decoded[part->group] = part->one_in;
  return decoded;
}

}  // namespace frostline::relay
