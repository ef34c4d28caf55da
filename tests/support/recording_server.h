/// @file A server that records what arrives on its connections and how they end.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"

namespace frostline::testing {

/// Listens on the loopback interface and serves until its io_context is destroyed.
class recording_server {
 public:
  /// @param answer bytes sent for the head of each request; empty for none.
  recording_server(asio::io_context& context, std::string answer);

  endpoint const& address() const { return address_; }
  void set_answer(std::string answer) { answer_ = std::move(answer); }
  /// Everything that has arrived, on all connections.
  std::string const& received() const { return received_; }
  std::size_t connections() const { return connections_; }
  /// How connections have ended, in this order.
  std::vector<boost::system::error_code> const& ends() const { return ends_; }

 private:
  awaitable<void> accept();
  awaitable<void> serve(std::shared_ptr<tcp::socket> socket);

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  endpoint address_;
  std::string answer_;
  std::string received_;
  std::size_t connections_ = 0;
  std::vector<boost::system::error_code> ends_;
};

/// Runs `context` until a condition holds. @return false if it does not within a few seconds.
bool run_until(asio::io_context& context, std::function<bool()> const& condition);

}  // namespace frostline::testing
