/// @file Parts of groups of records as nodes tell them to each other.
#pragma once

#include <memory>
#include <vector>

#include "relay/record_selection.h"
#include "schema/frostline_generated.h"

namespace frostline::relay {

std::vector<std::unique_ptr<rpc::GroupPartT>> write_parts(group_parts const& parts);
group_parts read_parts(std::vector<std::unique_ptr<rpc::GroupPartT>> const& parts);

}  // namespace frostline::relay
