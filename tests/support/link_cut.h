/// @file A cut of the path to sockets of the calling process, and what the kernel still sends.
#pragma once

#include <cstddef>
#include <vector>

#include "base/endpoint.h"

namespace frostline::testing {

/// Stands for a partition of the network: until it heals, no data arrives on connections to these
/// local addresses and none of it is acknowledged, so the senders' kernels keep sending it. Ends
/// and resets of connections don't arrive either. Handshakes succeed, as those do that were made
/// just before a partition. What the addresses' owners send is not affected.
///
/// Throws std::system_error if the kernel refuses the socket filter.
class link_cut {
 public:
  explicit link_cut(std::vector<endpoint> addresses);
  ~link_cut();
  link_cut(link_cut const&) = delete;
  link_cut& operator=(link_cut const&) = delete;

  void heal();

 private:
  std::vector<endpoint> addresses_;
  bool healed_ = false;
};

/// Returns the number of bytes, and of ends of connections, that kernels of this machine have sent
/// to `peer` without an acknowledgement, also for processes that have ended.
std::size_t unacknowledged_bytes(endpoint const& peer);

}  // namespace frostline::testing
