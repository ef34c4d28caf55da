/// @file A TCP connection on which a test sends raw bytes.
#pragma once

#include <string>

#include "base/asio.h"
#include "base/endpoint.h"

namespace frostline::testing {

class raw_connection {
 public:
  explicit raw_connection(endpoint const& where);

  void send(std::string const& bytes);
  /// Shuts down the sending side only.
  void finish_sending();
  /// Reads until the peer closes, `until` has been received, or `timeout` has passed.
  /// @return all unread bytes, or those up to and including `until` if it was received.
  std::string read(std::string const& until = {}, milliseconds timeout = milliseconds(5000));
  /// Returns true if a send or read has found the connection closed or reset.
  bool closed() const { return closed_; }

 private:
  asio::io_context context_{1};
  tcp::socket socket_{context_};
  std::string received_;
  bool closed_ = false;
};

}  // namespace frostline::testing
