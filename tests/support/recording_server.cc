#include "recording_server.h"

#include <array>
#include <boost/asio/write.hpp>

namespace frostline::testing {
namespace {

constexpr milliseconds k_poll{5};
constexpr milliseconds k_wait_limit{8000};
constexpr std::string_view k_end_of_head = "\r\n\r\n";

}  // namespace

recording_server::recording_server(asio::io_context& context, std::string answer)
    : context_(context),
      acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      address_{"127.0.0.1", acceptor_.local_endpoint().port()},
      answer_(std::move(answer)) {
  spawn(context_, accept());
}

awaitable<void> recording_server::accept() {
  while (true) {
    auto socket = std::make_shared<tcp::socket>(context_);
    auto [failure] = co_await acceptor_.async_accept(*socket, k_as_tuple);
    if (failure) co_return;
    ++connections_;
    spawn(context_, serve(socket));
  }
}

awaitable<void> recording_server::serve(std::shared_ptr<tcp::socket> socket) {
  std::array<char, 4096> buffer{};
  while (true) {
    auto [failure, count] = co_await socket->async_read_some(asio::buffer(buffer), k_as_tuple);
    if (failure) {
      ends_.push_back(failure);
      co_return;
    }
    std::string_view const piece(buffer.data(), count);
    received_ += piece;
    bool const has_head = piece.find(k_end_of_head) != std::string_view::npos;
    if (!has_head || answer_.empty()) continue;
    co_await asio::async_write(*socket, asio::buffer(answer_), k_as_tuple);
  }
}

bool run_until(asio::io_context& context, std::function<bool()> const& condition) {
  time_point const limit = boot_clock::now() + k_wait_limit;
  while (!condition() && boot_clock::now() < limit) {
    context.restart();
    context.run_for(k_poll);
  }
  return condition();
}

}  // namespace frostline::testing
