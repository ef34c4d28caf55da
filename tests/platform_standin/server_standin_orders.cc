/// @file The orders of a stand-in of a model server to load weights.
#include "http/json_fields.h"
#include "server_standin.h"

namespace frostline::testing {

awaitable<void> server_standin::load(std::uint64_t version) {
  std::uint64_t const incarnation = born_;
  co_await wait_for(options_.load_time);
  if (incarnation != born_) co_return;
  version_ = version;
  busy_ = false;
  if (on_version_) on_version_();
}

order_arrival server_standin::note_order(std::string const& text) {
  auto const body = parse_json_object(text);
  order_arrival entry;
  if (!body) return entry;
  entry.holder = json_text(*body, "holder");
  entry.fence = static_cast<std::uint64_t>(json_number(*body, "fence"));
  entry.version = static_cast<std::uint64_t>(json_number(*body, "version"));
  entry.at = boot_clock::now();
  orders_.push_back(entry);
  return entry;
}

awaitable<http::response> server_standin::order(std::string text) {
  auto const body = parse_json_object(text);
  if (!body) co_return http::make_response(http::status::bad_request, "", "text/plain");
  order_arrival const entry = note_order(text);
  bool const sequence_differs =
      body->if_contains("expected") != nullptr &&
      static_cast<std::uint64_t>(json_number(*body, "expected")) != sequence_;
  if (entry.version == version_ && !busy_) {
    co_return http::make_response(http::status::ok, "", "text/plain");
  }
  if (sequence_differs) ++conflicting_orders_;
  if (busy_ || sequence_differs) {
    co_return http::make_response(http::status::conflict, "", "text/plain");
  }
  busy_ = true;
  ++sequence_;
  spawn(context_, load(entry.version));
  if (faults_.lost_orders > 0) {
    --faults_.lost_orders;
    co_await wait_for(k_silence);
  }
  co_return http::make_response(http::status::accepted, "", "text/plain");
}

}  // namespace frostline::testing
