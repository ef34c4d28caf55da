/// @file Interface to the client that sent a request and waits for its answer.
#pragma once

#include <functional>
#include <string>

#include "base/asio.h"
#include "http/message.h"

namespace frostline::calls {

class caller {
 public:
  virtual ~caller() = default;

  /// Sends a complete answer.
  virtual awaitable<void> answer(http::response whole) = 0;
  /// Sends the head of a streamed answer. @return false if the client has disconnected.
  virtual awaitable<bool> begin(http::response head) = 0;
  /// Sends a piece of the body of a streamed answer. @return false if the client has disconnected.
  virtual awaitable<bool> send(std::string piece) = 0;
  /// Completes a streamed answer. Without it the client sees a truncated answer.
  virtual awaitable<void> end() = 0;
  virtual bool is_disconnected() const = 0;
  /// Sets a `listener` that runs once if the client disconnects before its answer is complete; an
  /// empty one removes it.
  virtual void on_disconnect(std::function<void()> listener) = 0;
};

/// Listens for a client's disconnect while it exists; the client must outlive it.
class disconnect_subscription {
 public:
  disconnect_subscription(caller& client, std::function<void()> listener) : client_(client) {
    client_.on_disconnect(std::move(listener));
  }
  ~disconnect_subscription() { client_.on_disconnect(nullptr); }
  disconnect_subscription(disconnect_subscription const&) = delete;
  disconnect_subscription& operator=(disconnect_subscription const&) = delete;

 private:
  caller& client_;
};

}  // namespace frostline::calls
