#include "http/listener.h"

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <iterator>
#include <system_error>

#include "base/log.h"
#include "http/connection_health.h"

namespace frostline::http {
namespace {

constexpr milliseconds k_accept_retry_delay{10};

}  // namespace

std::string listener::listen(endpoint const& listen_endpoint) {
  boost::system::error_code failure;
  tcp::endpoint const local(asio::ip::make_address(listen_endpoint.address, failure),
                            listen_endpoint.port);
  if (!failure) acceptor_.open(local.protocol(), failure);
  if (!failure) acceptor_.set_option(asio::socket_base::reuse_address(true), failure);
  if (!failure) acceptor_.bind(local, failure);
  if (!failure) acceptor_.listen(asio::socket_base::max_listen_connections, failure);
  if (failure) {
    // A later call opens the socket anew.
    close();
    return listen_endpoint.to_string() + ": " + failure.message();
  }
  spawn(context_, accept_loop());
  return {};
}

std::uint16_t listener::port() const {
  boost::system::error_code failure;
  return acceptor_.local_endpoint(failure).port();
}

void listener::close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

awaitable<std::size_t> listener::close_gracefully() {
  if (!acceptor_.is_open()) co_return 0;
  std::size_t const queued = listen_queue_length(acceptor_);
  // Without the filter, a connection that is established between the last accept and the close is
  // reset.
  if (ignore_new_handshakes()) co_await wait_for(k_handshake_time);
  accept_established();
  close();
  co_return queued;
}

awaitable<void> listener::accept_loop() {
  while (acceptor_.is_open()) {
    auto [failure, socket] = co_await acceptor_.async_accept(k_as_tuple);
    if (!failure) {
      take(std::move(socket));
      continue;
    }
    if (failure == asio::error::operation_aborted) co_return;
    log_line(log_level::warning, component_, "Accept failed.", {{"error", failure.message()}});
    co_await wait_for(k_accept_retry_delay);
  }
}

void listener::take(tcp::socket socket) {
  try {
    on_connection_(std::move(socket));
  } catch (...) {
    // The connection is closed; the others go on.
    log_unhandled_exception(std::current_exception());
  }
}

/// Accepts all connections that the kernel has established.
void listener::accept_established() {
  boost::system::error_code failure;
  acceptor_.non_blocking(true, failure);
  while (!failure) {
    tcp::socket socket(context_);
    acceptor_.accept(socket, failure);
    if (!failure) take(std::move(socket));
  }
  if (failure == asio::error::would_block) return;
  log_line(log_level::warning, component_, "Accept failed.", {{"error", failure.message()}});
}

/// Attaches a socket filter that drops the first segment of a handshake. Segments of handshakes
/// that have been answered pass, so these connections are still established.
/// @return false if the kernel does not take the filter.
bool listener::ignore_new_handshakes() {
  constexpr std::uint32_t flags_offset = 13;  // in the TCP header, where the filter's data begins
  constexpr std::uint32_t pass_whole_segment = 0xffffffff;
  sock_filter program[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, pass_whole_segment),
  };
  sock_fprog const filter{static_cast<unsigned short>(std::size(program)), program};
  if (::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                   sizeof(filter)) == 0) {
    return true;
  }
  std::error_code const failure(errno, std::system_category());
  log_line(log_level::warning, component_, "New connections can't be held off.",
           {{"error", failure.message()}});
  return false;
}

}  // namespace frostline::http
