/// @file Checks that the requests of a job's items can be sent as the submitter wrote them.
#pragma once

#include <string>

#include "schema/frostline_generated.h"

namespace frostline::jobs {

/// @return what keeps the item's request from being sent; empty if nothing does.
std::string find_fault(rpc::JobItemT const& item);

/// @return what keeps the scorer's call from being sent; empty if nothing does.
std::string find_fault(rpc::ScorerCallT const& call);

/// @return the fault of the first item that has one, with the item's position; empty if none has.
std::string find_fault(rpc::JobRecordT const& job);

}  // namespace frostline::jobs
