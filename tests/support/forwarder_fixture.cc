#include "forwarder_fixture.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>

namespace frostline::testing {
namespace {

constexpr char k_host[] = "test.example";
constexpr char k_path[] = "/calls/";
constexpr char k_service[] = "servers";
/// Far above what a busy machine needs for an answer of 64 MiB.
constexpr milliseconds k_deadline{60'000};
constexpr std::uint32_t k_max_attempts = 3;
/// For a local peer to notice a closed connection.
constexpr milliseconds k_settling_time{200};
constexpr std::string_view k_end_of_head = "\r\n\r\n";

quarantine::fingerprint request_fingerprint() {
  quarantine::request_parts parts;
  parts.host = k_host;
  parts.method = "POST";
  parts.target = k_path;
  return quarantine::fingerprint::of(parts);
}

std::shared_ptr<calls::route_table const> make_table(calls::route_kind kind, bool resumable) {
  calls::route route;
  route.name = "calls";
  route.host = k_host;
  route.path_prefix = k_path;
  route.kind = kind;
  route.resumable = resumable;
  route.timeout = k_deadline;
  route.target_latency = k_deadline;
  route.max_attempts = k_max_attempts;
  route.shares.push_back({k_service, 1});
  calls::configuration all;
  all.version = 1;
  all.routes.push_back(route);
  all.services[k_service].name = k_service;
  return std::make_shared<calls::route_table const>(std::move(all));
}

}  // namespace

scripted_servers::scripted_servers(asio::io_context& context, std::size_t count)
    : context_(context) {
  tcp::endpoint const any_port(asio::ip::make_address("127.0.0.1"), 0);
  for (std::size_t index = 0; index < count; ++index) {
    acceptors_.push_back(std::make_unique<tcp::acceptor>(context_, any_port));
    spawn(context_, accept(*acceptors_.back()));
  }
}

directory::server scripted_servers::describe(std::size_t index) const {
  directory::server described;
  described.id = "server-" + std::to_string(index);
  described.service = k_service;
  described.address = {"127.0.0.1", acceptors_.at(index)->local_endpoint().port()};
  described.zone = "zone";
  described.slots = 8;
  return described;
}

awaitable<void> scripted_servers::accept(tcp::acceptor& acceptor) {
  while (true) {
    auto socket = std::make_shared<tcp::socket>(context_);
    auto [failure] = co_await acceptor.async_accept(*socket, k_as_tuple);
    if (failure) co_return;
    spawn(context_, serve(socket));
  }
}

awaitable<void> scripted_servers::serve(std::shared_ptr<tcp::socket> socket) {
  std::string received;
  while (true) {
    auto [failure, count] = co_await asio::async_read_until(*socket, asio::dynamic_buffer(received),
                                                            k_end_of_head, k_as_tuple);
    if (failure) co_return;
    received.clear();
    ++arrivals_;
    if (next_step_ == script_.size()) continue;
    scripted_answer const step = script_[next_step_++];
    co_await asio::async_write(*socket, asio::buffer(step.bytes), k_as_tuple);
    if (!step.endless.empty()) {
      co_await send_endlessly(*socket, step);
      co_return;
    }
    if (!step.closes && !step.resets) continue;
    boost::system::error_code ignored;
    if (step.resets) socket->set_option(tcp::socket::linger(true, 0), ignored);
    socket->close(ignored);
    co_return;
  }
}

awaitable<void> scripted_servers::send_endlessly(tcp::socket& socket, scripted_answer const& step) {
  while (true) {
    auto [failure, count] =
        co_await asio::async_write(socket, asio::buffer(step.endless), k_as_tuple);
    endless_bytes_ += count;
    if (failure) break;
    if (step.pause > milliseconds(0)) co_await wait_for(step.pause);
  }
  ++endless_ended_;
}

awaitable<void> recording_caller::answer(http::response whole) {
  if (leaves_during_answer_) disconnect();
  status_ = whole.result_int();
  retry_after_ = std::string(http::header(whole, "Retry-After"));
  body_ = std::move(whole.body());
  complete_ = true;
  co_return;
}

awaitable<bool> recording_caller::begin(http::response head) {
  status_ = head.result_int();
  co_return !disconnected_;
}

awaitable<bool> recording_caller::send(std::string piece) {
  body_ += piece;
  co_return !disconnected_;
}

awaitable<void> recording_caller::end() {
  complete_ = true;
  co_return;
}

void recording_caller::disconnect() {
  disconnected_ = true;
  if (!listener_) return;
  notified_during_answer_ = leaves_during_answer_;
  listener_();
}

forwarder_fixture::forwarder_fixture(std::size_t server_count) : servers(context, server_count) {
  std::vector<directory::server> described;
  for (std::size_t index = 0; index < server_count; ++index) {
    described.push_back(servers.describe(index));
  }
  directory_.replace_all(std::move(described));
}

void forwarder_fixture::forward(calls::route_kind kind, bool resumable,
                                std::vector<scripted_answer> script) {
  servers.set_script(std::move(script));
  auto const table = make_table(kind, resumable);
  calls::route const* const route = table->match(k_host, k_path);
  http::request message(http::verb::post, k_path, 11);
  message.set(http::field::host, k_host);
  message.set(names_.request_id, "r-1");
  bool handled = false;
  auto handle = [&]() -> awaitable<void> {
    co_await forwarder.handle(table, route, message, "", boot_clock::now() + k_deadline, client);
    handled = true;
  };
  spawn(context, handle());
  time_point const limit = boot_clock::now() + 2 * k_deadline;
  while (!handled && boot_clock::now() < limit) context.run_one_for(k_deadline);
  if (!handled) throw std::runtime_error("the request is still being handled");
}

calls::call_outcome forwarder_fixture::call_unattended(std::vector<scripted_answer> script) {
  servers.set_script(std::move(script));
  auto const table = make_table(calls::route_kind::safe, false);
  calls::route const* const route = table->match(k_host, k_path);
  http::request message(http::verb::post, k_path, 11);
  message.set(http::field::host, k_host);
  std::optional<calls::call_outcome> outcome;
  auto call = [&]() -> awaitable<void> {
    outcome =
        co_await forwarder.call(table, *route, message, boot_clock::now() + k_deadline, nullptr);
  };
  spawn(context, call());
  time_point const limit = boot_clock::now() + 2 * k_deadline;
  context.restart();
  while (!outcome && boot_clock::now() < limit) context.run_one_for(k_deadline);
  if (!outcome) throw std::runtime_error("the call is still being made");
  return std::move(*outcome);
}

void forwarder_fixture::receive_no_records() {
  quarantine_.listener().snapshot(kv::range_answer());
}

void forwarder_fixture::forward_until_client_leaves(calls::route_kind kind,
                                                    std::vector<scripted_answer> script,
                                                    milliseconds patience) {
  auto leave = [&]() -> awaitable<void> {
    co_await wait_for(patience);
    client.disconnect();
  };
  spawn(context, leave());
  forward(kind, false, std::move(script));
}

void forwarder_fixture::receive_provisional_record(std::uint32_t trials) {
  quarantine::quarantine_entry const entry{request_fingerprint(), 0, {"gone"}, trials, false, true};
  kv::watch_event event;
  event.entry.key = quarantine::quarantine_list::key_of(entry.request);
  event.entry.value = quarantine::quarantine_list::encode(entry, "");
  event.entry.mod_revision = 1;
  quarantine_.listener().event(event);
}

void forwarder_fixture::receive_removal_after(milliseconds delay) {
  spawn(context, remove_record_after(delay));
}

awaitable<void> forwarder_fixture::remove_record_after(milliseconds delay) {
  co_await wait_for(delay);
  kv::watch_event event;
  event.deleted = true;
  event.entry.key = quarantine::quarantine_list::key_of(request_fingerprint());
  quarantine_.listener().event(event);
}

void forwarder_fixture::settle() {
  context.restart();
  context.run_for(k_settling_time);
}

std::size_t forwarder_fixture::outstanding() const {
  std::size_t running = 0;
  for (std::size_t index = 0; index < servers.count(); ++index) {
    running += selector_.outstanding(servers.describe(index).id);
  }
  return running;
}

}  // namespace frostline::testing
