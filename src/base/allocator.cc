#include "base/allocator.h"

#include <malloc.h>

namespace frostline {
namespace {

constexpr int k_large_buffer_bytes = 1024 * 1024;
/// Free memory at the end of the heap that is kept. A fixed size of large buffers fixes this to 128
/// KiB as well, and the heap would shrink and grow again all the time.
constexpr int k_kept_bytes = 8 * 1024 * 1024;

}  // namespace

void map_large_buffers() {
  ::mallopt(M_MMAP_THRESHOLD, k_large_buffer_bytes);
  ::mallopt(M_TRIM_THRESHOLD, k_kept_bytes);
}

}  // namespace frostline
