/// @file A TCP proxy with its own thread that injects connection faults.
#pragma once

#include <atomic>
#include <cstdint>
#include <thread>

#include "base/asio.h"
#include "base/endpoint.h"

namespace frostline::testing {

/// Faults applied to each new connection; -1 disables a byte limit.
struct proxy_faults {
  /// Resets both sides after forwarding this many bytes from the client.
  std::int64_t reset_after_request_bytes = -1;
  /// Resets both sides after forwarding this many bytes from the server.
  std::int64_t reset_after_answer_bytes = -1;
  /// Forwards nothing but keeps connections open.
  bool stall = false;
  /// Resets new connections immediately.
  bool refuse = false;
  /// Delay before each chunk is forwarded.
  std::int64_t delay_ms = 0;
};

class fault_proxy {
 public:
  explicit fault_proxy(endpoint target);
  ~fault_proxy();
  fault_proxy(fault_proxy const&) = delete;
  fault_proxy& operator=(fault_proxy const&) = delete;

  endpoint const& listen() const { return listen_; }
  /// Sets the faults for new connections; `stall` and `delay_ms` also apply to open ones.
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
