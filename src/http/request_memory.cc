#include "http/request_memory.h"

#include <algorithm>

namespace frostline::http {
namespace {

std::size_t counted_part(std::size_t bytes) {
  return bytes - std::min(bytes, request_memory::k_uncounted_bytes);
}

}  // namespace

bool request_memory::reservation::grow_to(std::size_t body_bytes) {
  body_bytes_ = body_bytes;
  return take();
}

bool request_memory::reservation::grow_buffer_to(std::size_t buffer_bytes) {
  buffer_bytes_ = buffer_bytes;
  return take();
}

bool request_memory::reservation::take() {
  if (is_refused_) return false;
  std::size_t const counted = counted_part(body_bytes_) + counted_part(buffer_bytes_);
  if (counted <= bytes_) return true;
  std::size_t const more = counted - bytes_;
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
