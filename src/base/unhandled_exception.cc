#include "base/unhandled_exception.h"

#include "base/log.h"

namespace frostline {
namespace {

std::uint64_t& counter() {
  static std::uint64_t count = 0;
  return count;
}

}  // namespace

std::string describe(std::exception_ptr const& failure) {
  try {
    std::rethrow_exception(failure);
  } catch (std::exception const& error) {
    return error.what();
  } catch (...) {
    return "not a std::exception";
  }
}

void log_unhandled_exception(std::exception_ptr const& failure, boost::source_location origin) {
  ++counter();
  log_line(log_level::error, "process", "Unhandled exception.",
           {{"error", describe(failure)},
            {"origin", origin.function_name()},
            {"file", origin.file_name()},
            {"line", origin.line()}});
  flush_logs();
}

std::uint64_t unhandled_exceptions() { return counter(); }

}  // namespace frostline
