/// @file Converts group subsets to and from their form in polls between nodes.
#pragma once

#include <memory>
#include <vector>

#include "relay/record_selection.h"
#include "schema/frostline_generated.h"

namespace frostline::relay {

std::vector<std::unique_ptr<rpc::GroupPartT>> encode_subsets(group_subsets const& subsets);
group_subsets decode_subsets(std::vector<std::unique_ptr<rpc::GroupPartT>> const& subsets);

}  // namespace frostline::relay
