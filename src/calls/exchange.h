/// @file One request at one server, and the connections pooled for it. The answer is read piece by
/// piece; the exchange knows how far the request came, which decides whether it may be sent again.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/asio.h"
#include "calls/header_names.h"
#include "directory/server_directory.h"
#include "http/message.h"

namespace frostline::calls {

/// Why an exchange gave no whole answer.
enum class exchange_failure {
  none,
  /// No connection: no byte was sent, the request has not run.
  not_connected,
  /// The connection ended after bytes were sent: it may have run.
  broken,
  /// As broken, on a pooled connection that gave no byte of an answer: the server may have closed
  /// it before it read the request.
  stale_connection,
  /// Nothing came in time; it may have run.
  timed_out,
  /// The bytes are no answer to this request.
  foreign_answer,
  /// Given up by this side.
  aborted,
};

inline constexpr std::size_t k_exchange_failures = 7;

std::string_view to_string(exchange_failure failure);

/// Which connections may carry a request.
enum class connection_choice {
  /// A pooled one, else a new one.
  pooled,
  /// A pooled one only if it rested so briefly that the server can't have closed it.
  recently_used,
  /// A new one.
  new_connection,
};

class exchange;

/// Kept connections by server life. A connection of a life that has ended is never used again.
class connection_pool {
 public:
  explicit connection_pool(asio::io_context& context) : context_(context) {}

  struct connection {
    explicit connection(asio::io_context& context) : stream(context) {}
    explicit connection(http::beast::tcp_stream opened) : stream(std::move(opened)) {}
    http::beast::tcp_stream stream;
    http::beast::flat_buffer buffer;
    time_point opened_at{};
    time_point idle_since{};
    /// How long it may rest: the server tells, or closes it, which is seen before it is used.
    milliseconds keep{20'000};
    bool reused = false;
    /// What is sent has to be acknowledged soon, see `exchange::open`.
    bool bounds_acknowledgement = false;
  };

  /// @return null if no pooled connection fits.
  std::unique_ptr<connection> take(std::string const& server, connection_choice choice);
  void give_back(std::string const& server, std::unique_ptr<connection> one);
  /// Keeps a connection that was opened for no request.
  void keep(std::string const& server, http::beast::tcp_stream stream);
  /// Whether a pooled connection is open that was made at `made_before` or earlier. It shows that
  /// the server's process has not ended since.
  bool has_open(std::string const& server, time_point made_before) const;
  /// Closes the pooled connections to a server that have not been used since: one of them gave no
  /// byte of an answer in time, and those that went silent with it would cost a timeout each.
  void forget(std::string const& server, time_point unused_since);
  void forget(std::string const& server) { kept_.erase(server); }
  /// Closes connections of servers that are gone, and those that rested for long.
  void clean(directory::server_directory const& servers);
  /// Exchanges under way, for `end_overdue`.
  void add(exchange& one) { under_way_.insert(&one); }
  void remove(exchange& one) { under_way_.erase(&one); }
  /// Times out exchanges that wait beyond their deadlines; to be called a few times a second. Their
  /// own timers count no suspension of the machine: without this callers hear of their deadline
  /// later by as long as the machine slept.
  void end_overdue(time_point now);
  asio::io_context& context() { return context_; }
  std::uint64_t opened() const { return opened_; }
  void note_opened() { ++opened_; }

 private:
  asio::io_context& context_;
  std::map<std::string, std::deque<std::unique_ptr<connection>>> kept_;
  std::set<exchange*> under_way_;
  std::uint64_t opened_ = 0;
};

class exchange {
 public:
  exchange(connection_pool& pool, header_names const& names, directory::server const& server);
  ~exchange();
  exchange(exchange const&) = delete;
  exchange& operator=(exchange const&) = delete;

  /// Connects if need be and sends. @param message complete with all headers but the instance's.
  awaitable<exchange_failure> send(http::request const& message, connection_choice choice,
                                   time_point deadline);
  /// Reads the answer's status and headers, and checks that they answer this request.
  awaitable<exchange_failure> read_head(time_point deadline);
  http::response const& head() const { return parser_->get(); }
  /// Reads more of the body into `piece`, which stays empty at the end of the whole body.
  awaitable<exchange_failure> read_piece(std::string& piece, time_point deadline);
  bool is_whole() const { return parser_ && parser_->is_done(); }
  /// Keeps the connection if the answer is whole and the server allows it.
  void finish();
  /// Closes the connection at once; what waits on it fails with `aborted`.
  void abort();
  /// Fails with `timed_out` if it waits beyond its deadline.
  void end_if_overdue(time_point now);
  /// Something that lasts as long as the exchange.
  void hold(std::shared_ptr<void> one) { held_ = std::move(one); }
  bool is_aborted() const { return aborted_; }
  /// Whether a pooled connection of this exchange gave no byte of an answer in time: others may
  /// have gone silent with it.
  bool has_met_silence() const { return has_met_silence_; }
  /// Whether the server may have begun to read the request: there was a connection to send it on.
  bool may_have_reached_server() const { return may_have_reached_server_; }
  /// Whether a connection of this exchange ended after bytes were sent, without a whole answer.
  bool has_broken() const { return has_broken_; }
  /// The request goes to the same server once more, on a new connection.
  void note_resent() { resent_ = true; }
  bool is_resent() const { return resent_; }
  /// How long the pooled connection that carried the request had rested; nothing for a new one.
  std::optional<milliseconds> rested() const { return rested_; }
  directory::server const& server() const { return server_; }

 private:
  /// A wait for the server, which has to end by `deadline`.
  class timed_wait {
   public:
    timed_wait(exchange& one, time_point deadline);
    ~timed_wait() { one_.deadline_.reset(); }
    timed_wait(timed_wait const&) = delete;
    timed_wait& operator=(timed_wait const&) = delete;

   private:
    exchange& one_;
  };

  awaitable<exchange_failure> open(connection_choice choice, time_point deadline);
  awaitable<http::beast::error_code> write(http::request const& message);
  void close();
  exchange_failure classify(http::beast::error_code const& failure);
  /// Ends a pooled connection on which the server's machine acknowledges nothing, if the request
  /// may be sent again.
  void bound_acknowledgement(bool bounded);
  void note_silence();

  connection_pool& pool_;
  header_names const& names_;
  directory::server server_;
  std::string request_id_;
  std::unique_ptr<connection_pool::connection> connection_;
  std::optional<http::bhttp::response_parser<http::bhttp::string_body>> parser_;
  /// Of what it waits for now; none between two waits.
  std::optional<time_point> deadline_;
  bool overdue_ = false;
  bool head_only_ = false;
  bool request_whole_ = false;
  bool answer_begun_ = false;
  bool aborted_ = false;
  bool resent_ = false;
  bool may_have_reached_server_ = false;
  bool has_broken_ = false;
  bool has_met_silence_ = false;
  std::optional<milliseconds> rested_;
  time_point opened_at_{};
  std::shared_ptr<void> held_;
};

}  // namespace frostline::calls
