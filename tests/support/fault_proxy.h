/// @file A TCP proxy in a thread of its own that breaks connections in chosen ways.
#pragma once

#include <atomic>
#include <cstdint>
#include <thread>

#include "base/asio.h"
#include "base/endpoint.h"

namespace frostline::testing {

/// What happens to each new connection; -1 switches a fault off.
struct proxy_faults {
  /// Reset both sides after so many bytes from the client have been passed on.
  std::int64_t reset_after_request_bytes = -1;
  /// Reset both sides after so many bytes from the server have been passed on.
  std::int64_t reset_after_answer_bytes = -1;
  /// Pass nothing on, keep connections open.
  bool stall = false;
  /// Close new connections at once.
  bool refuse = false;
  /// Pass each piece on this much later.
  std::int64_t delay_ms = 0;
};

class fault_proxy {
 public:
  explicit fault_proxy(endpoint target);
  ~fault_proxy();
  fault_proxy(fault_proxy const&) = delete;
  fault_proxy& operator=(fault_proxy const&) = delete;

  endpoint const& listen() const { return listen_; }
  /// Holds for connections that come from now on; `stall` and `delay_ms` for all.
  void set(proxy_faults faults);
  /// Resets all connections.
  void reset_all();
  std::uint64_t connections() const { return connections_; }

 private:
  struct link;
  awaitable<void> accept_loop();
  awaitable<void> serve(std::shared_ptr<link> connection);
  awaitable<void> pump(std::shared_ptr<link> connection, bool from_client, std::int64_t limit);

  endpoint target_;
  endpoint listen_;
  asio::io_context context_{1};
  tcp::acceptor acceptor_;
  proxy_faults faults_;
  std::list<std::weak_ptr<link>> links_;
  std::atomic<std::uint64_t> connections_{0};
  std::thread thread_;
};

}  // namespace frostline::testing
