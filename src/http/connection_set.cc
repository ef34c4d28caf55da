#include "http/connection_set.h"

#include <algorithm>

#include "http/connection_health.h"

namespace frostline::http {
namespace {

constexpr milliseconds k_poll_interval{10};
/// Time for clients that have just connected to send their request before the connection is closed.
constexpr milliseconds k_first_request_time{150};
/// Longest time that a connection is read after its last response, until the client closes it too.
/// A client that sends after that is reset, which may reach it before it has read the response.
constexpr milliseconds k_linger_time{300};
static_assert(k_handshake_time + k_first_request_time + k_linger_time <= k_shutdown_time);
constexpr std::size_t k_discard_bytes = 4096;
/// Part of the limit of connections that may be open beyond it while others end; as many again
/// while these are aborted.
constexpr std::size_t k_ending_divisor = 8;

/// Cancels a connection's read and marks the connection for closing once a time has passed, unless
/// destroyed before.
class idle_limit {
 public:
  idle_limit(served_connection& peer, milliseconds timeout)
      : timer_(peer.stream.get_executor(), timeout),
        peer_(std::make_shared<served_connection*>(&peer)) {
    timer_.async_wait([watched = peer_](boost::system::error_code cancelled) {
      if (cancelled || *watched == nullptr) return;
      (*watched)->ends_when_unused = true;
      (*watched)->stream.cancel();
    });
  }
  // The handler may have been queued already; it must not touch the connection any more.
  ~idle_limit() { *peer_ = nullptr; }
  idle_limit(idle_limit const&) = delete;
  idle_limit& operator=(idle_limit const&) = delete;

 private:
  boot_timer timer_;
  std::shared_ptr<served_connection*> peer_;
};

}  // namespace

void connection_set::add(std::shared_ptr<served_connection> peer) {
  ++counts_[index_of(peer->phase)];
  connections_.insert(std::move(peer));
}

void connection_set::remove(std::shared_ptr<served_connection> const& peer) {
  if (connections_.erase(peer) > 0) --counts_[index_of(peer->phase)];
}

void connection_set::enter(served_connection& peer, connection_phase phase) {
  --counts_[index_of(peer.phase)];
  ++counts_[index_of(phase)];
  peer.phase = phase;
  peer.since = boot_clock::now();
}

served_connection* connection_set::find_oldest(
    std::initializer_list<connection_phase> phases) const {
  served_connection* oldest = nullptr;
  for (auto const& peer : connections_) {
    bool const counts = std::find(phases.begin(), phases.end(), peer->phase) != phases.end();
    bool const ends = peer->ends_when_unused && peer->waits_for_request();
    if (!counts || ends || !peer->stream.socket().is_open()) continue;
    if (oldest == nullptr || peer->since < oldest->since) oldest = peer.get();
  }
  return oldest;
}

bool connection_set::make_room(std::size_t limit) {
  if (size() < limit) return true;
  served_connection* unused =
      find_oldest({connection_phase::first_request, connection_phase::next_request});
  // The request of a client that has just connected may be on its way.
  if (unused == nullptr || boot_clock::now() - unused->since < k_first_request_time) {
    served_connection* const unfinished = find_oldest({connection_phase::reading});
    if (unfinished != nullptr) unused = unfinished;
  }
  if (unused == nullptr) return false;
  ++evicted_;
  unused->ends_when_unused = true;
  unused->stream.cancel();
  std::size_t const reserve = std::max<std::size_t>(limit / k_ending_divisor, 1);
  if (size() < limit + reserve) return true;
  abort_oldest_closing();
  return size() < limit + 2 * reserve;
}

void connection_set::abort_oldest_closing() {
  served_connection* const ending = find_oldest({connection_phase::closing});
  if (ending == nullptr) return;
  beast::error_code ignored;
  ending->stream.socket().close(ignored);
}

bool connection_set::is_evicted(served_connection const& peer, beast::error_code const& failure) {
  return failure == asio::error::operation_aborted && peer.ends_when_unused;
}

awaitable<bool> connection_set::wait_for_request(served_connection& peer,
                                                 milliseconds idle_timeout) {
  while (peer.buffer.size() == 0) {
    // A large request must not take memory for as long as its connection is kept open.
    if (peer.buffer.capacity() > k_idle_buffer_bytes) peer.buffer.shrink_to_fit();
    if (peer.ends_when_unused && unread_bytes(peer.stream.socket()) == 0) {
      co_await close_unused(peer);
      co_return false;
    }
    // A time limit of the stream itself would close the socket and reset a request in transit.
    peer.stream.expires_never();
    idle_limit const limit(peer, idle_timeout);
    auto [failure, count] =
        co_await peer.stream.async_read_some(peer.buffer.prepare(k_idle_buffer_bytes), k_as_tuple);
    // Cancelled by shut_down or the time limit; the client may have sent a request meanwhile.
    bool const told_to_end = failure == asio::error::operation_aborted && peer.ends_when_unused &&
                             peer.stream.socket().is_open();
    if (failure && !told_to_end) co_return false;
    peer.buffer.commit(count);
  }
  enter(peer, connection_phase::reading);
  co_return true;
}

awaitable<void> connection_set::close_unused(served_connection& peer) {
  enter(peer, connection_phase::closing);
  ++report_.closed_unused;
  peer.stream.expires_after(k_linger_time);
  auto [unsent, sent] = co_await bhttp::async_write(peer.stream, closing_notice_, k_as_tuple);
  if (unsent) co_return;
  beast::error_code ignored;
  peer.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  bool const has_crossed = co_await discard_input(peer);
  if (has_crossed) ++report_.crossed;
}

void connection_set::begin_closing(served_connection& peer) {
  enter(peer, connection_phase::closing);
  peer.buffer.clear();
  peer.buffer.shrink_to_fit();
}

awaitable<void> connection_set::linger(served_connection& peer) {
  peer.stream.expires_after(k_linger_time);
  beast::error_code ignored;
  peer.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  co_await discard_input(peer);
}

awaitable<bool> connection_set::discard_input(served_connection& peer) {
  peer.buffer.clear();
  peer.buffer.shrink_to_fit();
  bool has_received = false;
  while (true) {
    auto [failure, count] =
        co_await peer.stream.async_read_some(peer.buffer.prepare(k_discard_bytes), k_as_tuple);
    has_received = has_received || count > 0;
    if (failure) co_return has_received;
  }
}

awaitable<shutdown_report> connection_set::shut_down(listener& source, time_point deadline) {
  // Connections that were closed as idle before don't count.
  report_ = shutdown_report();
  report_.accepted_last = co_await source.close_gracefully();
  report_.awaited = count(connection_phase::first_request);
  time_point const send_until = std::min(boot_clock::now() + k_first_request_time, deadline);
  while (count(connection_phase::first_request) > 0 && boot_clock::now() < send_until) {
    co_await wait_for(k_poll_interval);
  }
  for (auto const& peer : connections_) {
    peer->ends_when_unused = true;
    if (peer->waits_for_request()) peer->stream.cancel();
  }
  while (size() > 0 && boot_clock::now() < deadline) co_await wait_for(k_poll_interval);
  report_.cut = count(connection_phase::reading) + count(connection_phase::answering);
  co_return report_;
}

void connection_set::abort() {
  beast::error_code ignored;
  for (auto const& peer : connections_) peer->stream.socket().close(ignored);
}

}  // namespace frostline::http
