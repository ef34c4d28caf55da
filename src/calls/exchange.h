/// @file One HTTP request to one server, and the pool of connections to servers.
///
/// The answer is read piece by piece. The failure of an exchange tells whether the server may
/// have run the request, and so whether the request may be sent again.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/asio.h"
#include "calls/header_names.h"
#include "directory/server_directory.h"
#include "http/message.h"
#include "http/request_stream.h"
#include "http/response_reader.h"

namespace frostline::calls {

/// Why an exchange gave no complete answer.
enum class exchange_failure {
  none,
  /// No connection could be opened: no byte was sent, and the request has not run.
  not_connected,
  /// The connection ended after bytes were sent: the request may have run.
  broken,
  /// A pooled connection ended, or sent data was not acknowledged in time, before any byte of an
  /// answer: the server may have closed the connection before it read the request.
  stale_connection,
  /// The deadline passed or sent data was not acknowledged in time; the request may have run.
  timed_out,
  /// The answer's request id is not that of the request.
  foreign_answer,
  /// `exchange::abort` was called.
  aborted,
  /// The answer is larger than this node keeps in memory; the request has run.
  answer_too_large,
  /// The answer's event stream ended in the middle of an event.
  partial_event,
};

inline constexpr std::size_t k_exchange_failures = 9;

std::string_view to_string(exchange_failure failure);

/// Which connections may carry a request.
enum class connection_choice {
  /// A pooled connection if there is one, else a new one.
  pooled,
  /// Like `pooled`, but only a connection that was idle too briefly for the server to have closed
  /// it.
  recently_used,
  new_connection,
};

class exchange;

/// Idle connections by server incarnation. A connection is never used for a later incarnation.
class connection_pool {
 public:
  explicit connection_pool(asio::io_context& context) : context_(context) {}

  struct connection {
    explicit connection(asio::io_context& context) : stream(context) {}
    explicit connection(http::beast::tcp_stream opened) : stream(std::move(opened)) {}
    http::request_stream stream;
    http::beast::flat_buffer buffer{http::k_max_unparsed_bytes};
    time_point opened_at{};
    time_point idle_since{};
    /// Longest idle time in the pool. Replaced if the server announces a timeout in a Keep-Alive
    /// header.
    milliseconds idle_timeout{20'000};
    bool reused = false;
    /// True while a timeout for the acknowledgement of sent data is set on the socket.
    bool has_acknowledgement_timeout = false;
  };

  /// Removes and returns an idle connection to a server incarnation. @return null if no pooled
  /// connection satisfies `choice`.
  std::unique_ptr<connection> take(std::string const& server, connection_choice choice);
  void give_back(std::string const& server, std::unique_ptr<connection> idle);
  /// Adds a connection that was opened without a request.
  void add_idle(std::string const& server, http::beast::tcp_stream stream);
  /// Returns true if a pooled connection that was opened at `opened_before` or earlier is still
  /// open, which shows that the server process has run without interruption since then.
  bool has_open(std::string const& server, time_point opened_before) const;
  /// Closes the pooled connections to a server that were last used before `unused_since`. Called
  /// after one of them was silent: others have probably failed with it, and each would cost a
  /// timeout.
  void forget(std::string const& server, time_point unused_since);
  void forget(std::string const& server) { idle_.erase(server); }
  /// Closes expired connections, and those of servers that have left the directory.
  void clean(directory::server_directory const& servers);
  /// Registers an exchange in flight, so that `expire_overdue` checks its deadline.
  void add(exchange& active) { in_flight_.insert(&active); }
  void remove(exchange& active) { in_flight_.erase(&active); }
  /// Fails exchanges in flight whose deadlines have passed; to be called a few times a second. The
  /// timers of the exchanges don't advance while the machine is suspended.
  void expire_overdue(time_point now);
  asio::io_context& context() { return context_; }
  std::uint64_t opened() const { return opened_; }
  void note_opened() { ++opened_; }

 private:
  asio::io_context& context_;
  std::map<std::string, std::deque<std::unique_ptr<connection>>> idle_;
  std::set<exchange*> in_flight_;
  std::uint64_t opened_ = 0;
};

class exchange {
 public:
  exchange(connection_pool& pool, header_names const& names, directory::server const& server);
  ~exchange();
  exchange(exchange const&) = delete;
  exchange& operator=(exchange const&) = delete;

  /// Connects if necessary and sends the request. @param message complete with all headers.
  awaitable<exchange_failure> send(http::request const& message, connection_choice choice,
                                   time_point deadline);
  /// Reads the status and headers of the answer. If both the request and the answer have a request
  /// id, checks that they are equal.
  awaitable<exchange_failure> read_head(time_point deadline);
  http::response const& head() const { return parser_->get(); }
  /// Reads more of the body into `piece`, which is empty at the end of the body.
  awaitable<exchange_failure> read_piece(std::string& piece, time_point deadline);
  bool is_whole() const { return parser_ && parser_->is_done(); }
  /// Size of the body in bytes as the head announces it; nullopt if it does not.
  std::optional<std::uint64_t> announced_body_size() const {
    auto const size = parser_->content_length();
    return size ? std::optional<std::uint64_t>(*size) : std::nullopt;
  }
  /// Returns true if the answer was read to its end and carries the id of the request. Only such an
  /// answer proves that the server ended this request with the answer's status.
  bool is_whole_own_answer() const;
  /// Returns the connection to the pool if the answer is complete and the server keeps it open.
  /// Closes it after a server error: a faulty server may send the answer twice, and a repeated
  /// request, which keeps its id, would take the copy for a second error.
  void finish();
  /// Closes the connection at once; pending operations fail with `aborted`.
  void abort();
  /// Fails with `timed_out` if the current deadline has passed.
  void expire_if_overdue(time_point now);
  /// Closes the connection; the operation in progress fails as if its deadline had passed.
  void expire();
  /// Keeps `resource` alive until the exchange is destroyed.
  void hold(std::shared_ptr<void> resource) { held_resources_.push_back(std::move(resource)); }
  bool is_aborted() const { return aborted_; }
  /// Returns true if a pooled connection of this exchange gave no byte of an answer in time. Other
  /// pooled connections may have failed with it.
  bool saw_silent_connection() const { return saw_silent_connection_; }
  /// Returns true if the server may have begun to read the request.
  bool may_have_reached_server() const { return may_have_reached_server_; }
  /// Returns true if a connection of this exchange ended after bytes were sent, without a complete
  /// answer.
  bool has_broken() const { return has_broken_; }
  /// Notes that the request is sent to the same server again, on a new connection.
  void note_resent() { resent_ = true; }
  bool is_resent() const { return resent_; }
  /// How long the connection was idle in the pool before this request; nullopt for a new
  /// connection.
  std::optional<milliseconds> idle_time() const { return idle_time_; }
  directory::server const& server() const { return server_; }

 private:
  /// Sets the deadline of the exchange and its connection for the operations in its scope.
  class timed_wait {
   public:
    timed_wait(exchange& waiting, time_point deadline);
    ~timed_wait() { exchange_.deadline_.reset(); }
    timed_wait(timed_wait const&) = delete;
    timed_wait& operator=(timed_wait const&) = delete;

   private:
    exchange& exchange_;
  };

  awaitable<exchange_failure> open(connection_choice choice, time_point deadline);
  awaitable<http::beast::error_code> write(http::request const& message);
  void close();
  exchange_failure classify(http::beast::error_code const& failure);
  /// Enables or disables a timeout for the acknowledgement of sent data. It is enabled only if the
  /// request may be sent again.
  void set_acknowledgement_timeout(bool bounded);
  void note_silent_connection();

  connection_pool& pool_;
  header_names const& names_;
  directory::server server_;
  std::string request_id_;
  std::unique_ptr<connection_pool::connection> connection_;
  std::optional<http::response_parser> parser_;
  /// Deadline of the operation in progress, if any.
  std::optional<time_point> deadline_;
  bool overdue_ = false;
  bool head_only_ = false;
  bool request_sent_ = false;
  bool answer_begun_ = false;
  bool aborted_ = false;
  bool resent_ = false;
  bool may_have_reached_server_ = false;
  bool has_broken_ = false;
  bool saw_silent_connection_ = false;
  std::optional<milliseconds> idle_time_;
  time_point opened_at_{};
  std::vector<std::shared_ptr<void>> held_resources_;
};

}  // namespace frostline::calls
