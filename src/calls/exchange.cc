#include "calls/exchange.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <charconv>

#include "http/connection_health.h"

namespace frostline::calls {
namespace {

namespace bhttp = http::bhttp;
namespace beast = http::beast;

constexpr std::size_t k_max_pooled_per_server = 24;
constexpr milliseconds k_connect_timeout{300};
/// Servers keep an idle connection open for at least this long, so one that was idle for less is
/// `recently_used`.
constexpr milliseconds k_recent_use{400};
/// Subtracted from the idle timeout that a server announces, so that this side closes first.
constexpr milliseconds k_keep_margin{400};
/// Time for the acknowledgement of a request on a pooled connection, enough for two retransmissions
/// on links with a round trip of a few milliseconds. Without this timeout, a call with a single
/// attempt would wait on a dead connection until its deadline.
constexpr milliseconds k_acknowledgement_timeout{400};
/// Minimum size in bytes of a request body during whose sending an early answer is detected.
constexpr std::size_t k_large_body = 16 * 1024;

/// Parses the seconds of "timeout=N" in a Keep-Alive header.
std::optional<milliseconds> keep_alive_timeout(http::response const& head) {
  std::string_view const value = http::to_string_view(head[http::field::keep_alive]);
  constexpr std::string_view k_parameter = "timeout=";
  auto const place = value.find(k_parameter);
  if (place == std::string_view::npos) return std::nullopt;
  std::string_view const digits = value.substr(place + k_parameter.size());
  std::uint32_t number = 0;
  auto const parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (parsed.ec != std::errc()) return std::nullopt;
  return seconds(number);
}

}  // namespace

std::string_view to_string(exchange_failure failure) {
  switch (failure) {
    case exchange_failure::none:
      return "none";
    case exchange_failure::not_connected:
      return "not_connected";
    case exchange_failure::broken:
      return "broken";
    case exchange_failure::stale_connection:
      return "stale_connection";
    case exchange_failure::timed_out:
      return "timed_out";
    case exchange_failure::foreign_answer:
      return "foreign_answer";
    case exchange_failure::aborted:
      return "aborted";
    case exchange_failure::answer_too_large:
      return "answer_too_large";
    case exchange_failure::partial_event:
      return "partial_event";
  }
  return "unknown";
}

std::unique_ptr<connection_pool::connection> connection_pool::take(std::string const& server,
                                                                   connection_choice choice) {
  auto const entry = idle_.find(server);
  if (entry == idle_.end() || choice == connection_choice::new_connection) return nullptr;
  time_point const now = boot_clock::now();
  while (!entry->second.empty()) {
    auto idle = std::move(entry->second.back());
    entry->second.pop_back();
    milliseconds const limit = choice == connection_choice::recently_used
                                   ? std::min(k_recent_use, idle->idle_timeout)
                                   : idle->idle_timeout;
    if (now - idle->idle_since > limit) continue;
    if (!http::is_reusable(idle->stream.socket())) continue;
    idle->reused = true;
    return idle;
  }
  return nullptr;
}

void connection_pool::give_back(std::string const& server, std::unique_ptr<connection> idle) {
  auto& pooled = idle_[server];
  if (pooled.size() >= k_max_pooled_per_server) return;
  idle->idle_since = boot_clock::now();
  idle->stream.expires_never();
  pooled.push_back(std::move(idle));
}

void connection_pool::add_idle(std::string const& server, http::beast::tcp_stream stream) {
  auto idle = std::make_unique<connection>(std::move(stream));
  idle->opened_at = boot_clock::now();
  note_opened();
  http::enable_keepalive_probes(idle->stream.socket());
  give_back(server, std::move(idle));
}

bool connection_pool::has_open(std::string const& server, time_point opened_before) const {
  auto const entry = idle_.find(server);
  if (entry == idle_.end()) return false;
  return std::any_of(entry->second.begin(), entry->second.end(), [&](auto const& idle) {
    return idle->opened_at <= opened_before && http::is_reusable(idle->stream.socket());
  });
}

void connection_pool::forget(std::string const& server, time_point unused_since) {
  auto const entry = idle_.find(server);
  if (entry == idle_.end()) return;
  std::erase_if(entry->second, [&](auto const& idle) { return idle->idle_since < unused_since; });
}

void connection_pool::clean(directory::server_directory const& servers) {
  time_point const now = boot_clock::now();
  for (auto& [server, pooled] : idle_) {
    std::erase_if(pooled,
                  [&](auto const& idle) { return now - idle->idle_since > idle->idle_timeout; });
  }
  std::erase_if(idle_, [&](auto const& entry) {
    return entry.second.empty() || servers.find(entry.first) == nullptr;
  });
}

void connection_pool::expire_overdue(time_point now) {
  for (exchange* const active : in_flight_) active->expire_if_overdue(now);
}

exchange::exchange(connection_pool& pool, header_names const& names,
                   directory::server const& server)
    : pool_(pool), names_(names), server_(server) {
  pool_.add(*this);
}

exchange::~exchange() { pool_.remove(*this); }

exchange::timed_wait::timed_wait(exchange& waiting, time_point deadline) : exchange_(waiting) {
  exchange_.deadline_ = deadline;
  exchange_.connection_->stream.expires_after(time_left(deadline));
}

exchange_failure exchange::classify(beast::error_code const& failure) {
  if (aborted_) return exchange_failure::aborted;
  bool const unanswered_reuse = connection_ && connection_->reused && !answer_begun_;
  bool const acknowledgement_timed_out = failure == asio::error::timed_out;
  bool const deadline_passed = overdue_ || failure == beast::error::timeout;
  if (unanswered_reuse && (deadline_passed || acknowledgement_timed_out)) note_silent_connection();
  if (deadline_passed) return exchange_failure::timed_out;
  // A missing acknowledgement does not show that the server process ended, so has_broken_ stays
  // false.
  if (acknowledgement_timed_out) {
    return unanswered_reuse ? exchange_failure::stale_connection : exchange_failure::timed_out;
  }
  has_broken_ = true;
  return unanswered_reuse ? exchange_failure::stale_connection : exchange_failure::broken;
}

void exchange::note_silent_connection() {
  saw_silent_connection_ = true;
  // Connections that were used since this exchange began have proven to be alive and stay pooled.
  pool_.forget(server_.id, opened_at_);
}

void exchange::set_acknowledgement_timeout(bool bounded) {
  if (connection_->has_acknowledgement_timeout == bounded) return;
  connection_->has_acknowledgement_timeout = bounded;
  milliseconds const timeout = bounded ? k_acknowledgement_timeout : milliseconds(0);
  http::set_acknowledgement_timeout(connection_->stream.socket(), timeout);
}

awaitable<exchange_failure> exchange::open(connection_choice choice, time_point deadline) {
  opened_at_ = boot_clock::now();
  connection_ = pool_.take(server_.id, choice);
  idle_time_.reset();
  if (connection_) {
    idle_time_ = milliseconds(milliseconds_since(connection_->idle_since));
    set_acknowledgement_timeout(choice == connection_choice::pooled);
    co_return exchange_failure::none;
  }
  connection_ = std::make_unique<connection_pool::connection>(pool_.context());
  pool_.note_opened();
  beast::error_code ignored;
  tcp::endpoint const remote(asio::ip::make_address(server_.address.address, ignored),
                             server_.address.port);
  time_point const connect_deadline = std::min(deadline, boot_clock::now() + k_connect_timeout);
  timed_wait const wait(*this, connect_deadline);
  auto [failure] = co_await connection_->stream.async_connect(remote, k_as_tuple);
  if (failure) {
    co_return aborted_ ? exchange_failure::aborted : exchange_failure::not_connected;
  }
  connection_->opened_at = opened_at_;
  connection_->stream.socket().set_option(tcp::no_delay(true), ignored);
  http::enable_keepalive_probes(connection_->stream.socket());
  co_return exchange_failure::none;
}

awaitable<beast::error_code> exchange::write(http::request const& message) {
  if (message.body().size() < k_large_body) {
    auto [failure, count] = co_await bhttp::async_write(connection_->stream, message, k_as_tuple);
    request_sent_ = !failure;
    co_return failure;
  }
  // The server may answer before it has read all of a large body.
  using namespace asio::experimental::awaitable_operators;
  auto first =
      co_await (bhttp::async_write(connection_->stream, message, k_as_tuple) ||
                connection_->stream.socket().async_wait(tcp::socket::wait_read, k_as_tuple));
  if (first.index() == 1) {
    // The wait itself fails only if this side closes the socket, at the latest at the time limit.
    beast::error_code const closed = std::get<0>(std::get<1>(first));
    co_return closed ? beast::error_code(beast::error::timeout) : beast::error_code();
  }
  beast::error_code const failure = std::get<0>(std::get<0>(first));
  request_sent_ = !failure;
  co_return failure;
}

awaitable<exchange_failure> exchange::send(http::request const& message, connection_choice choice,
                                           time_point deadline) {
  request_id_ = std::string(http::header(message, names_.request_id));
  head_only_ = message.method() == http::verb::head;
  exchange_failure const opened = co_await open(choice, deadline);
  if (opened != exchange_failure::none) co_return opened;
  may_have_reached_server_ = true;
  timed_wait const wait(*this, deadline);
  beast::error_code const failure = co_await write(message);
  if (failure) co_return classify(failure);
  co_return exchange_failure::none;
}

awaitable<exchange_failure> exchange::read_head(time_point deadline) {
  timed_wait const wait(*this, deadline);
  http::head_outcome const read = co_await http::read_final_head(
      connection_->stream, connection_->buffer, parser_, [this](http::response_parser& created) {
        created.body_limit(boost::none);
        created.eager(true);
        created.skip(head_only_);
      });
  answer_begun_ = read.bytes_received > 0 || connection_->buffer.size() > 0;
  if (read.failure) co_return classify(read.failure);
  std::string_view const answered = http::header(parser_->get(), names_.request_id);
  if (!answered.empty() && !request_id_.empty() && answered != request_id_) {
    co_return exchange_failure::foreign_answer;
  }
  // An early answer to a long body leaves the rest of the request unsent.
  if (request_sent_) connection_->stream.end_request();
  co_return exchange_failure::none;
}

awaitable<exchange_failure> exchange::read_piece(std::string& piece, time_point deadline) {
  piece.clear();
  std::string& body = parser_->get().body();
  timed_wait const wait(*this, deadline);
  while (body.empty() && !parser_->is_done()) {
    auto [failure, count] = co_await bhttp::async_read_some(
        connection_->stream, connection_->buffer, *parser_, k_as_tuple);
    if (failure) co_return classify(failure);
  }
  piece.swap(body);
  co_return exchange_failure::none;
}

bool exchange::is_whole_own_answer() const {
  return is_whole() && !request_id_.empty() &&
         http::header(parser_->get(), names_.request_id) == request_id_;
}

void exchange::finish() {
  if (!connection_ || !is_whole() || aborted_ || overdue_) return;
  bool const failed = parser_->get().result() == http::status::internal_server_error;
  bool const clean = !failed && parser_->get().keep_alive() && !parser_->get().need_eof() &&
                     request_sent_ && connection_->buffer.size() == 0;
  if (!clean) {
    connection_.reset();
    return;
  }
  if (auto const timeout = keep_alive_timeout(parser_->get())) {
    connection_->idle_timeout = std::max(*timeout - k_keep_margin, milliseconds(0));
  }
  pool_.give_back(server_.id, std::move(connection_));
}

void exchange::close() {
  if (!connection_) return;
  beast::error_code ignored;
  connection_->stream.socket().close(ignored);
}

void exchange::abort() {
  aborted_ = true;
  close();
}

void exchange::expire_if_overdue(time_point now) {
  if (deadline_ && now >= *deadline_) expire();
}

void exchange::expire() {
  overdue_ = true;
  close();
}

}  // namespace frostline::calls
