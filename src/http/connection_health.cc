#include "http/connection_health.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace frostline::http {
namespace {

using seconds_until_probe =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;  // seconds
using seconds_between_probes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using probe_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using acknowledgement_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;  // milliseconds

/// Smallest interval that the kernel accepts.
constexpr int k_probe_seconds = 1;
/// More than one, so that a single lost probe does not close a connection on a lossy link. If one
/// packet in twenty is lost, one probe would close one idle connection in twenty for each second,
/// two in a row close one in four hundred.
constexpr int k_probes = 2;

}  // namespace

void enable_keepalive_probes(tcp::socket& socket) {
  // Errors are ignored: without the options a dead connection is only detected later.
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(seconds_until_probe(k_probe_seconds), ignored);
  socket.set_option(seconds_between_probes(k_probe_seconds), ignored);
  socket.set_option(probe_count(k_probes), ignored);
}

void set_acknowledgement_timeout(tcp::socket& socket, milliseconds timeout) {
  boost::system::error_code ignored;
  socket.set_option(acknowledgement_timeout(static_cast<int>(timeout.count())), ignored);
}

std::size_t listen_queue_length(tcp::acceptor& acceptor) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  int const failed = ::getsockopt(acceptor.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  // For a listening socket the kernel reports the length of its queue in this field.
  return failed == 0 ? info.tcpi_unacked : 0;
}

std::size_t unread_bytes(tcp::socket const& socket) {
  boost::system::error_code failure;
  std::size_t const count = socket.available(failure);
  return failure ? 0 : count;
}

bool is_reusable(tcp::socket& socket) {
  boost::system::error_code failure;
  char probe = 0;
  socket.non_blocking(true, failure);
  socket.receive(asio::buffer(&probe, 1), tcp::socket::message_peek, failure);
  return failure == asio::error::would_block;
}

}  // namespace frostline::http
