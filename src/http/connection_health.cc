#include "http/connection_health.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace frostline::http {
namespace {

using seconds_until_probe =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;  // seconds
using seconds_between_probes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using most_probes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using acknowledgement_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;  // milliseconds

/// The smallest times that the kernel takes.
constexpr int k_probe_seconds = 1;
/// On a link that loses a packet in twenty on its way and back, a single lost probe would end one
/// connection in twenty for each second that it rests; two in a row end one in four hundred.
constexpr int k_probes = 2;

}  // namespace

void enable_keepalive_probes(tcp::socket& socket) {
  // Without the options a connection still works; its end is found out later.
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(seconds_until_probe(k_probe_seconds), ignored);
  socket.set_option(seconds_between_probes(k_probe_seconds), ignored);
  socket.set_option(most_probes(k_probes), ignored);
}

void set_acknowledgement_timeout(tcp::socket& socket, milliseconds patience) {
  boost::system::error_code ignored;
  socket.set_option(acknowledgement_timeout(static_cast<int>(patience.count())), ignored);
}

bool is_reusable(tcp::socket& socket) {
  boost::system::error_code failure;
  char probe = 0;
  socket.non_blocking(true, failure);
  socket.receive(asio::buffer(&probe, 1), tcp::socket::message_peek, failure);
  return failure == asio::error::would_block;
}

}  // namespace frostline::http
