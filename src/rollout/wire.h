/// @file Conversion of samples and groups between internal types and RPC messages.
#pragma once

#include <memory>

#include "rollout/sample_table.h"
#include "schema/frostline_generated.h"

namespace frostline::rollout {

inline sample_group from_wire(rpc::SampleGroupT const& wire) {
  return {wire.group, wire.prompt, wire.samples, wire.max_tokens};
}

inline std::unique_ptr<rpc::SampleGroupT> to_wire(sample_group const& group) {
  auto wire = std::make_unique<rpc::SampleGroupT>();
  wire->group = group.group;
  wire->prompt = group.prompt;
  wire->samples = group.samples;
  wire->max_tokens = group.max_tokens;
  return wire;
}

inline finished_sample from_wire(rpc::SampleT const& wire) {
  finished_sample sample;
  sample.key = {wire.group, wire.index};
  sample.attempt = wire.attempt;
  sample.text = wire.text;
  sample.spans = engines::from_wire(wire.spans);
  sample.score = wire.score;
  sample.scored = wire.scored;
  sample.failed = wire.failed;
  return sample;
}

inline std::unique_ptr<rpc::SampleT> to_wire(finished_sample const& sample) {
  auto wire = std::make_unique<rpc::SampleT>();
  wire->group = sample.key.group;
  wire->index = sample.key.index;
  wire->attempt = sample.attempt;
  wire->text = sample.text;
  wire->tokens = engines::token_count(sample.spans);
  wire->spans = engines::to_wire(sample.spans);
  wire->score = sample.score;
  wire->scored = sample.scored;
  wire->failed = sample.failed;
  return wire;
}

}  // namespace frostline::rollout
