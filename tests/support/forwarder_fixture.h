/// @file A forwarder between a recording client and servers that follow a script.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "calls/forwarder.h"
#include "memory_record_store.h"

namespace frostline::testing {

/// What a scripted server does with one request.
struct scripted_answer {
  std::string bytes;
  /// Closes the connection behind the bytes.
  bool closes = false;
  /// Closes the connection with a reset.
  bool resets = false;
  /// Sent again and again behind the bytes, until the other side closes; empty for none.
  std::string endless = {};
  /// Pause between two of these; 0 to send as fast as the connection takes them.
  milliseconds pause{0};
};

/// Runs a script, one step for each request, in the order in which requests arrive at any of its
/// servers. Requests beyond the script stay unanswered.
class scripted_servers {
 public:
  scripted_servers(asio::io_context& context, std::size_t count);

  directory::server describe(std::size_t index) const;
  std::size_t count() const { return acceptors_.size(); }
  void set_script(std::vector<scripted_answer> script) {
    script_ = std::move(script);
    next_step_ = 0;
  }
  /// Number of requests that have arrived.
  std::size_t arrivals() const { return arrivals_; }
  /// Bytes of endless answers that were sent.
  std::uint64_t endless_bytes() const { return endless_bytes_; }
  /// Endless answers that the other side ended.
  std::size_t endless_ended() const { return endless_ended_; }

 private:
  awaitable<void> send_endlessly(tcp::socket& socket, scripted_answer const& step);
  awaitable<void> accept(tcp::acceptor& acceptor);
  awaitable<void> serve(std::shared_ptr<tcp::socket> socket);

  asio::io_context& context_;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;
  std::vector<scripted_answer> script_;
  std::size_t next_step_ = 0;
  std::size_t arrivals_ = 0;
  std::uint64_t endless_bytes_ = 0;
  std::size_t endless_ended_ = 0;
};

/// A client that records what it gets.
class recording_caller final : public calls::caller {
 public:
  awaitable<void> answer(http::response whole) override;
  awaitable<bool> begin(http::response head) override;
  awaitable<bool> send(std::string piece) override;
  awaitable<void> end() override;
  bool is_disconnected() const override { return disconnected_; }
  void on_disconnect(std::function<void()> listener) override { listener_ = std::move(listener); }

  /// Disconnects, as a client does that closes its connection.
  void disconnect();
  /// Disconnects when the answer to a failed request is sent.
  void leave_during_answer() { leaves_during_answer_ = true; }

  unsigned status() const { return status_; }
  std::string const& retry_after() const { return retry_after_; }
  /// Body of the complete answer, or of the pieces received so far.
  std::string const& body() const { return body_; }
  /// The answer, whole or streamed, is complete.
  bool is_complete() const { return complete_; }
  /// A disconnect during the answer reached a listener.
  bool notified_during_answer() const { return notified_during_answer_; }

 private:
  std::function<void()> listener_;
  bool disconnected_ = false;
  bool leaves_during_answer_ = false;
  bool notified_during_answer_ = false;
  bool complete_ = false;
  unsigned status_ = 0;
  std::string retry_after_;
  std::string body_;
};

/// The forwarder with everything that it depends on.
class forwarder_fixture {
 public:
  explicit forwarder_fixture(std::size_t server_count = 2);

  /// Forwards one request on a route of this kind and waits until it is handled. Throws
  /// std::runtime_error if that takes too long.
  void forward(calls::route_kind kind, bool resumable, std::vector<scripted_answer> script);
  /// As `forward`, but the client disconnects after `patience`.
  void forward_until_client_leaves(calls::route_kind kind, std::vector<scripted_answer> script,
                                   milliseconds patience);
  /// Makes a call that no caller waits for, on a safe route, and waits until it has an outcome.
  /// Throws std::runtime_error if that takes too long.
  calls::call_outcome call_unattended(std::vector<scripted_answer> script);
  /// Delivers the quarantine's first records: there are none.
  void receive_no_records();
  /// Delivers a provisional record of the request that `forward` sends. The store has none.
  /// @param trials number of trials that other nodes have claimed.
  void receive_provisional_record(std::uint32_t trials);
  /// Delivers the removal of that record after a while.
  void receive_removal_after(milliseconds delay);
  /// Lets the servers notice that connections have been closed.
  void settle();
  /// Requests at all servers that the selector counts as running.
  std::size_t outstanding() const;

  asio::io_context context{1};
  scripted_servers servers;
  recording_caller client;

 private:
  awaitable<void> remove_record_after(milliseconds delay);

  memory_record_store store_{context};
  http::client transport_{context};
  directory::server_directory directory_;
  calls::connection_pool connections_{context};
  calls::server_selector selector_{"zone", 1};
  calls::header_names names_;
  usage::run_counter runs_;
  quarantine::service quarantine_{{context, store_, transport_, "node", endpoint{"127.0.0.1", 1},
                                   [] { return std::vector<endpoint>(); }, [] { return true; }}};

 public:
  calls::forwarder forwarder{{context, directory_, connections_, selector_, names_, runs_,
                              quarantine_, [] { return milliseconds(0); }}};
};

}  // namespace frostline::testing
