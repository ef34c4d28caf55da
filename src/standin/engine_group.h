/// @file Runs many stand-ins of engines in one process, for large emulated systems.
#pragma once

#include <memory>
#include <vector>

#include "base/asio.h"
#include "standin/options.h"

namespace frostline::standin {

class engine_group {
 public:
  engine_group();
  ~engine_group();

  /// Starts another engine. @return its port; 0 if it can't listen.
  std::uint16_t add(asio::io_context& context, options const& settings);

 private:
  struct member;
  std::vector<std::unique_ptr<member>> members_;
};

}  // namespace frostline::standin
