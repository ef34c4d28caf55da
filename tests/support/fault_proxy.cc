#include "fault_proxy.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <future>

namespace frostline::testing {
namespace {

constexpr std::size_t k_piece = 16 * 1024;
constexpr milliseconds k_stall_poll{5};

/// Closes the socket with a TCP reset instead of an orderly shutdown.
void reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct fault_proxy::link {
  explicit link(asio::io_context& context) : client(context), server(context) {}

  void reset_both() {
    reset(client);
    reset(server);
  }

  tcp::socket client;
  tcp::socket server;
};

fault_proxy::fault_proxy(endpoint target) : target_(std::move(target)), acceptor_(context_) {
  tcp::endpoint const local(asio::ip::make_address("127.0.0.1"), 0);
  acceptor_.open(local.protocol());
  acceptor_.bind(local);
  acceptor_.listen();
  listen_ = {"127.0.0.1", acceptor_.local_endpoint().port()};
  spawn(context_, accept_loop());
  thread_ = std::thread([this] { context_.run(); });
}

fault_proxy::~fault_proxy() {
  asio::post(context_, [this] { context_.stop(); });
  thread_.join();
}

void fault_proxy::set(proxy_faults faults) {
  std::promise<void> done;
  asio::post(context_, [&] {
    faults_ = faults;
    done.set_value();
  });
  done.get_future().wait();
}

void fault_proxy::reset_all() {
  std::promise<void> done;
  asio::post(context_, [&] {
    for (auto const& weak : links_) {
      if (auto const connection = weak.lock()) connection->reset_both();
    }
    links_.clear();
    done.set_value();
  });
  done.get_future().wait();
}

awaitable<void> fault_proxy::accept_loop() {
  while (true) {
    auto connection = std::make_shared<link>(context_);
    auto [failure] = co_await acceptor_.async_accept(connection->client, k_as_tuple);
    if (failure) co_return;
    ++connections_;
    if (faults_.refuse) {
      reset(connection->client);
      continue;
    }
    links_.push_back(connection);
    spawn(context_, serve(connection));
  }
}

awaitable<void> fault_proxy::serve(std::shared_ptr<link> connection) {
  tcp::endpoint const remote(asio::ip::make_address(target_.address), target_.port);
  auto [failure] = co_await connection->server.async_connect(remote, k_as_tuple);
  if (failure) {
    reset(connection->client);
    co_return;
  }
  spawn(context_, pump(connection, true, faults_.reset_after_request_bytes));
  spawn(context_, pump(connection, false, faults_.reset_after_answer_bytes));
}

awaitable<void> fault_proxy::pump(std::shared_ptr<link> connection, bool from_client,
                                  std::int64_t limit) {
  tcp::socket& from = from_client ? connection->client : connection->server;
  tcp::socket& to = from_client ? connection->server : connection->client;
  std::array<char, k_piece> buffer{};
  std::int64_t passed = 0;
  while (limit != 0) {
    auto [failure, count] = co_await from.async_read_some(asio::buffer(buffer), k_as_tuple);
    if (failure) break;
    while (faults_.stall) co_await wait_for(k_stall_poll);
    if (faults_.delay_ms > 0) co_await wait_for(milliseconds(faults_.delay_ms));
    std::size_t allowed = count;
    if (limit > 0) {
      allowed = std::min<std::size_t>(count, static_cast<std::size_t>(limit - passed));
    }
    auto [write_failure, written] =
        co_await asio::async_write(to, asio::buffer(buffer.data(), allowed), k_as_tuple);
    passed += static_cast<std::int64_t>(allowed);
    if (write_failure || (limit > 0 && passed >= limit)) break;
  }
  bool const cut = limit >= 0 && passed >= limit;
  if (cut) {
    connection->reset_both();
  } else {
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
  }
}

}  // namespace frostline::testing
