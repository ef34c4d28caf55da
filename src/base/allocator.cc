#include "base/allocator.h"

#include <malloc.h>

namespace frostline {
namespace {

constexpr int k_large_buffer_bytes = 256 * 1024;

}  // namespace

void map_large_buffers() { ::mallopt(M_MMAP_THRESHOLD, k_large_buffer_bytes); }

}  // namespace frostline
