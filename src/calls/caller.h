/// @file Whoever sent a request and waits for its answer, as the services that answer see it.
#pragma once

#include <functional>
#include <string>

#include "base/asio.h"
#include "http/message.h"

namespace frostline::calls {

class caller {
 public:
  virtual ~caller() = default;

  /// Sends a whole answer.
  virtual awaitable<void> answer(http::response whole) = 0;
  /// Sends the head of an answer that comes in pieces. @return false if the caller is gone.
  virtual awaitable<bool> begin(http::response head) = 0;
  virtual awaitable<bool> send(std::string piece) = 0;
  /// Ends an answer in pieces as complete. One that is not ended shows the caller that it is cut.
  virtual awaitable<void> end() = 0;
  virtual bool is_gone() const = 0;
  /// `listener` runs once when the caller leaves before its answer is whole; empty for none.
  virtual void on_gone(std::function<void()> listener) = 0;
};

}  // namespace frostline::calls
