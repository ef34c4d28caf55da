#include "client_crowd.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <future>

#include "cluster.h"

namespace frostline::testing {
namespace {

constexpr milliseconds k_send_timeout{60'000};
/// Bytes of an answer that are kept.
constexpr std::size_t k_kept_bytes = 4096;
constexpr std::size_t k_status_begin = 9;
constexpr std::size_t k_status_digits = 3;

unsigned status_of(std::string const& answer) {
  if (answer.size() < k_status_begin + k_status_digits) return 0;
  return static_cast<unsigned>(std::stoul(answer.substr(k_status_begin, k_status_digits)));
}

}  // namespace

client_crowd::client_crowd(endpoint where, std::size_t clients,
                           std::function<long_message(std::size_t client)> make_message)
    : where_(std::move(where)) {
  for (std::size_t number = 0; number < clients; ++number) {
    client& added = clients_.emplace_back(context_);
    added.message = make_message(number);
    spawn(context_, run(added));
  }
  thread_ = std::thread([this] {
    auto const work = asio::make_work_guard(context_);
    context_.run();
  });
}

client_crowd::~client_crowd() {
  context_.stop();
  thread_.join();
}

template <class Work>
auto client_crowd::on_thread(Work work) {
  std::packaged_task<decltype(work())()> task(std::move(work));
  auto outcome = task.get_future();
  asio::post(context_, [&task] { task(); });
  return outcome.get();
}

awaitable<void> client_crowd::run(client& sender) {
  tcp::endpoint const remote(asio::ip::make_address(where_.address), where_.port);
  if (!sender.message.reads) {
    sender.socket.open(remote.protocol());
    sender.socket.set_option(asio::socket_base::receive_buffer_size(k_kept_bytes));
  }
  auto [unconnected] = co_await sender.socket.async_connect(remote, k_as_tuple);
  if (unconnected) {
    sender.closed = true;
    co_return;
  }
  if (sender.message.reads) spawn(context_, receive(sender));
  long_message const& message = sender.message;
  auto [failure, first] =
      co_await asio::async_write(sender.socket, asio::buffer(message.begin), k_as_tuple);
  for (std::size_t piece = 0; piece < message.pieces && !failure && !sender.closed; ++piece) {
    auto [unsent, count] =
        co_await asio::async_write(sender.socket, asio::buffer(message.piece), k_as_tuple);
    failure = unsent;
  }
  if (!failure && !sender.closed) {
    co_await asio::async_write(sender.socket, asio::buffer(message.end), k_as_tuple);
  }
  sender.sent = true;
}

awaitable<void> client_crowd::receive(client& reader) {
  std::array<char, k_kept_bytes> buffer{};
  while (true) {
    auto [failure, count] =
        co_await reader.socket.async_read_some(asio::buffer(buffer), k_as_tuple);
    if (reader.received.size() < k_kept_bytes) reader.received.append(buffer.data(), count);
    if (failure) break;
  }
  reader.closed = true;
  boost::system::error_code ignored;
  reader.socket.close(ignored);
}

bool client_crowd::all(std::function<bool(client const&)> const& condition) {
  return on_thread([&] {
    for (client const& member : clients_) {
      if (!condition(member)) return false;
    }
    return true;
  });
}

void client_crowd::wait_until_sent() {
  cluster::wait_until(
      "each client has sent its message",
      [this] { return all([](client const& member) { return member.sent || member.closed; }); },
      k_send_timeout);
}

void client_crowd::start_reading() {
  on_thread([this] {
    for (client& member : clients_) {
      if (!member.message.reads && !member.closed) spawn(context_, receive(member));
    }
    return 0;
  });
}

void client_crowd::wait_until_answered() {
  cluster::wait_until(
      "each client is answered",
      [this] {
        return all([](client const& member) {
          return member.closed || member.received.find("\r\n\r\n") != std::string::npos;
        });
      },
      k_send_timeout);
}

std::vector<unsigned> client_crowd::statuses() {
  return on_thread([&] {
    std::vector<unsigned> found;
    for (client const& member : clients_) found.push_back(status_of(member.received));
    return found;
  });
}

std::string client_crowd::answer_of(std::size_t number) {
  return on_thread([&] { return clients_.at(number).received; });
}

}  // namespace frostline::testing
