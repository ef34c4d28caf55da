#include "base/asio.h"

namespace frostline {

void run_logged(asio::io_context& context) {
  try {
    context.run();
  } catch (...) {
    log_unhandled_exception(std::current_exception());
    throw;
  }
}

}  // namespace frostline
