#include "raw_connection.h"

#include <array>
#include <boost/asio/write.hpp>

namespace frostline::testing {

raw_connection::raw_connection(endpoint const& where) {
  socket_.connect({asio::ip::make_address(where.address), where.port});
}

void raw_connection::send(std::string const& bytes) {
  boost::system::error_code failure;
  asio::write(socket_, asio::buffer(bytes), failure);
  if (failure) closed_ = true;
}

void raw_connection::finish_sending() {
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

std::string raw_connection::read(std::string const& until, milliseconds timeout) {
  std::array<char, 4096> buffer{};
  time_point const deadline = boot_clock::now() + timeout;
  auto const done = [&] { return !until.empty() && received_.find(until) != std::string::npos; };
  while (!closed_ && !done() && boot_clock::now() < deadline) {
    auto on_read = [this, &buffer](boost::system::error_code failure, std::size_t count) {
      if (failure == asio::error::operation_aborted) return;
      if (failure) closed_ = true;
      received_.append(buffer.data(), count);
    };
    socket_.async_read_some(asio::buffer(buffer), on_read);
    context_.restart();
    context_.run_until(deadline);
    if (!context_.stopped()) {
      socket_.cancel();
      context_.run();
    }
  }
  std::size_t const end = done() ? received_.find(until) + until.size() : received_.size();
  std::string piece = received_.substr(0, end);
  received_.erase(0, end);
  return piece;
}

}  // namespace frostline::testing
