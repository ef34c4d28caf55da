/// @file Topics that nodes keep views of. A topic is the set of records below one prefix of the
/// record store.
#pragma once

#include <array>
#include <cstddef>
#include <string>

#include "schema/frostline_generated.h"

namespace frostline::relay {

using topic = rpc::RecordTopic;

inline constexpr std::array<topic, 5> k_topics = {topic::CONFIGURATION, topic::OWNERS,
                                                  topic::RELAYS, topic::SERVERS, topic::QUARANTINE};

constexpr std::size_t index_of(topic topic_id) { return static_cast<std::size_t>(topic_id); }

/// Key prefix of each topic, indexed by index_of.
using topic_prefixes = std::array<std::string, k_topics.size()>;

}  // namespace frostline::relay
