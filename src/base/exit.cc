#include "base/exit.h"

#include <cstdlib>

#include "base/log.h"

namespace frostline {

void exit_without_destruction() {
  flush_logs();
  std::_Exit(EXIT_SUCCESS);
}

}  // namespace frostline
