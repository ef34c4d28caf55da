#include "http/request_memory.h"

#include <algorithm>

namespace frostline::http {

bool request_memory::reservation::grow_to(std::size_t body_bytes) {
  if (is_refused_) return false;
  if (body_bytes <= k_uncounted_bytes + bytes_) return true;
  std::size_t const more = body_bytes - k_uncounted_bytes - bytes_;
  memory_.held_ += more;
  bytes_ += more;
  memory_.reading_.insert(this);
  while (memory_.held_ > memory_.capacity_ && !is_refused_) {
    auto const largest = std::max_element(
        memory_.reading_.begin(), memory_.reading_.end(),
        [](auto const* one, auto const* other) { return one->bytes_ < other->bytes_; });
    memory_.refuse(**largest);
  }
  return !is_refused_;
}

void request_memory::reservation::finish_reading() { memory_.reading_.erase(this); }

void request_memory::refuse(reservation& request) {
  release(request);
  request.is_refused_ = true;
  ++refused_;
  request.on_refused_();
}

void request_memory::release(reservation& request) {
  reading_.erase(&request);
  held_ -= request.bytes_;
  request.bytes_ = 0;
}

}  // namespace frostline::http
