#include "relay/part_codec.h"

namespace frostline::relay {

std::vector<std::unique_ptr<rpc::GroupPartT>> write_parts(group_parts const& parts) {
  std::vector<std::unique_ptr<rpc::GroupPartT>> written;
  for (auto const& [group, one_in] : parts) {
    auto part = std::make_unique<rpc::GroupPartT>();
    part->group = group;
    part->one_in = one_in;
    written.push_back(std::move(part));
  }
  return written;
}

group_parts read_parts(std::vector<std::unique_ptr<rpc::GroupPartT>> const& parts) {
  group_parts read;
  for (auto const& part : parts) read[part->group] = part->one_in;
  return read;
}

}  // namespace frostline::relay
