/// @file What nodes keep views of: each topic is the records below one prefix of the record store.
#pragma once

#include <array>
#include <cstddef>
#include <string>

#include "schema/frostline_generated.h"

namespace frostline::relay {

using topic = rpc::RecordTopic;

inline constexpr std::array<topic, 5> k_topics = {topic::CONFIGURATION, topic::OWNERS,
                                                  topic::RELAYS, topic::SERVERS, topic::QUARANTINE};

constexpr std::size_t index_of(topic one) { return static_cast<std::size_t>(one); }

/// Prefix of each topic's keys, by index_of.
using topic_prefixes = std::array<std::string, k_topics.size()>;

}  // namespace frostline::relay
