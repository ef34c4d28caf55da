#include "record.h"

#include <iomanip>
#include <stdexcept>

namespace frostline::review {
namespace {

constexpr int k_time_width = 7;

}  // namespace

record::record(std::string const& path) : file_(path) {
  if (!file_) throw std::runtime_error("can't write " + path);
}

void record::write(std::string const& source, std::string const& event) {
  std::lock_guard const lock(mutex_);
  file_ << std::setw(k_time_width) << now() << " ms  " << source << ": " << event << std::endl;
}

std::int64_t record::now() const {
  return std::chrono::duration_cast<milliseconds>(boot_clock::now() - started_at_).count();
}

}  // namespace frostline::review
