/// @file Many clients at once, each of which sends one message that may be far too long, and keeps
/// its connection open.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"

namespace frostline::testing {

/// What a client sends: a beginning, the same piece again and again, and an end.
struct long_message {
  std::string begin;
  std::string piece;
  std::size_t pieces = 0;
  std::string end;
  /// The client reads from the beginning, else only after `start_reading`.
  bool reads = true;
};

/// Connects all clients at once. Each sends its message as fast as the peer reads it, reads what it
/// gets meanwhile, and then stays connected until the crowd is destroyed or the peer closes.
class client_crowd {
 public:
  /// @param make_message returns the message of the client with this number.
  client_crowd(endpoint where, std::size_t clients,
               std::function<long_message(std::size_t client)> make_message);
  ~client_crowd();
  client_crowd(client_crowd const&) = delete;
  client_crowd& operator=(client_crowd const&) = delete;

  /// Waits until each client has sent its whole message, or can't send any more.
  void wait_until_sent();
  void start_reading();
  /// Waits until each client has got an answer or its connection is closed.
  void wait_until_answered();
  /// Returns the status of each client's first answer; 0 without one.
  std::vector<unsigned> statuses();
  /// Returns the head of a client's first answer, as far as it was received.
  std::string answer_of(std::size_t number);

 private:
  struct client {
    explicit client(asio::io_context& context) : socket(context) {}

    tcp::socket socket;
    long_message message;
    std::string received;
    bool sent = false;
    bool closed = false;
  };

  awaitable<void> run(client& sender);
  awaitable<void> receive(client& reader);
  bool all(std::function<bool(client const&)> const& condition);
  template <class Work>
  auto on_thread(Work work);

  asio::io_context context_{1};
  endpoint where_;
  std::deque<client> clients_;
  std::thread thread_;
};

}  // namespace frostline::testing
