#include "calls/answer_memory.h"

namespace frostline::calls {

bool answer_memory::reader::add(std::size_t bytes) {
  bytes_ += bytes;
  memory_.used_bytes_ += bytes;
  if (memory_.used_bytes_ <= memory_.limit_bytes_) return true;
  return bytes_ * memory_.readers_ < memory_.limit_bytes_;
}

}  // namespace frostline::calls
