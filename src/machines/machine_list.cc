#include "machines/machine_list.h"

#include "base/log.h"
#include "http/json_fields.h"

namespace frostline::machines {
namespace {

constexpr std::string_view k_part = "machines";
constexpr milliseconds k_poll_interval{500};
constexpr milliseconds k_poll_timeout{2000};

machine_kind parse_kind(std::string_view text) {
  if (text == "engine") return machine_kind::engine;
  if (text == "app") return machine_kind::app;
  if (text == "node") return machine_kind::node;
  return machine_kind::other;
}

std::optional<machine> parse_machine(boost::json::object const& object) {
  auto const address = parse_endpoint(json_text(object, "address"));
  machine parsed;
  parsed.id = json_text(object, "id");
  if (!address || parsed.id.empty()) return std::nullopt;
  parsed.address = *address;
  parsed.kind = parse_kind(json_text(object, "kind"));
  parsed.gossip_address = json_text(object, "gossip");
  parsed.zone = json_text(object, "zone");
  parsed.leaving = json_text(object, "state") == "leaving";
  parsed.incarnation = static_cast<std::uint64_t>(json_number(object, "incarnation"));
  parsed.slots = static_cast<std::uint32_t>(json_number(object, "slots"));
  return parsed;
}

}  // namespace

std::optional<machine_map> parse_machine_list(std::string const& json) {
  auto const body = parse_json_object(json);
  auto const* list = body ? body->if_contains("machines") : nullptr;
  if (list == nullptr || !list->is_array()) return std::nullopt;
  machine_map machines;
  for (auto const& item : list->as_array()) {
    if (!item.is_object()) continue;
    auto parsed = parse_machine(item.as_object());
    if (parsed) machines[parsed->id] = std::move(*parsed);
  }
  return machines;
}

machine_list::machine_list(asio::io_context& context, http::client& transport, endpoint service)
    : context_(context), transport_(transport), service_(std::move(service)) {}

void machine_list::start() { spawn(context_, poll_loop()); }

machine const* machine_list::find(std::string const& id) const {
  auto const found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

awaitable<void> machine_list::poll_loop() {
  while (true) {
    auto message = http::make_get("/v1/machines");
    if (!etag_.empty()) message.set(http::field::if_none_match, etag_);
    auto answer = co_await transport_.exchange(service_, std::move(message), k_poll_timeout);
    bool const modified = answer && answer.value().result() == http::status::ok;
    auto parsed = modified ? parse_machine_list(answer.value().body()) : std::nullopt;
    if (parsed) {
      machines_ = std::move(*parsed);
      etag_ = std::string(http::header(answer.value(), "ETag"));
      loaded_ = true;
      for (auto const& listener : listeners_) listener();
    } else if (modified) {
      log_line(log_level::error, k_part,
               "Ignored a malformed machine list; keeping the previous one.");
    }
    co_await wait_for(k_poll_interval);
  }
}

}  // namespace frostline::machines
