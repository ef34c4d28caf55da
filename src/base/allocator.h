/// @file Settings of the C library's memory allocator.
#pragma once

namespace frostline {

/// Makes the allocator map each large buffer separately, so that its memory goes back to the system
/// when it is freed. By default glibc takes large buffers from the heap once one of that size has
/// been freed; there, buffers that grow side by side leave gaps that nothing fits into, and the
/// process holds several times what it uses. Call it before other threads start.
void map_large_buffers();

}  // namespace frostline
