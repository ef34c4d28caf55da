/// @file The cases that are shown with a script.
#pragma once

#include <string>

#include "record.h"

namespace frostline::review {

enum class verdict { held = 0, broken = 1, not_run = 2 };

struct case_options {
  std::string repository;
  /// Without trouble, the case does the same but for the disruption.
  bool trouble = true;
};

verdict play_broken_answers(case_options const& options, record& log);
verdict play_unlucky_item(case_options const& options, record& log);
verdict play_moved_route(case_options const& options, record& log);
verdict play_two_pools(case_options const& options, record& log);

}  // namespace frostline::review
