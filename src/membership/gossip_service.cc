#include "membership/gossip_service.h"

#include <array>

#include "base/log.h"
#include "rpc/codec.h"

namespace frostline::membership {
namespace {

constexpr std::string_view k_part = "membership";
constexpr milliseconds k_tick{100};
constexpr std::size_t k_datagram_limit = 64 * 1024;

}  // namespace

std::string gossip_service::start(endpoint const& where) {
  boost::system::error_code failure;
  udp::endpoint const local(asio::ip::make_address(where.address), where.port);
  socket_.open(local.protocol(), failure);
  if (!failure) socket_.bind(local, failure);
  if (failure) return where.to_string() + ": " + failure.message();
  socket_.non_blocking(true, failure);
  spawn(context_, receive_loop());
  spawn(context_, tick_loop());
  return {};
}

void gossip_service::announce_leave() {
  if (socket_.is_open()) send(table_.leave(boot_clock::now()));
}

void gossip_service::stop() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void gossip_service::send(std::vector<outgoing_message> const& messages) {
  for (outgoing_message const& outgoing : messages) {
    auto const where = parse_endpoint(outgoing.gossip_address);
    if (!where) continue;
    std::string const bytes = rpc::encode(outgoing.message);
    udp::endpoint const remote(asio::ip::make_address(where->address), where->port);
    boost::system::error_code ignored;  // the protocol tolerates lost datagrams
    socket_.send_to(asio::buffer(bytes), remote, 0, ignored);
    ++traffic_.messages_sent;
    traffic_.bytes_sent += bytes.size();
  }
}

awaitable<void> gossip_service::receive_loop() {
  std::vector<char> buffer(k_datagram_limit);
  udp::endpoint remote;
  while (socket_.is_open()) {
    auto [failure, size] =
        co_await socket_.async_receive_from(asio::buffer(buffer), remote, k_as_tuple);
    if (failure == asio::error::operation_aborted) co_return;
    if (failure) continue;
    ++traffic_.messages_received;
    traffic_.bytes_received += size;
    auto const message = rpc::decode<gossip_message>(std::string_view(buffer.data(), size));
    if (!message) {
      ++traffic_.malformed;
      log_line(log_level::warning, k_part, "Dropped a malformed datagram.",
               {{"from", remote.address().to_string()}});
      continue;
    }
    send(table_.receive(*message, boot_clock::now()));
  }
}

awaitable<void> gossip_service::tick_loop() {
  while (socket_.is_open()) {
    send(table_.tick(boot_clock::now()));
    co_await wait_for(k_tick);
  }
}

}  // namespace frostline::membership
