#include "calls/message_fields.h"

namespace frostline::calls {
namespace {

constexpr std::string_view k_event_stream = "text/event-stream";

constexpr http::field k_hop_by_hop[] = {
    http::field::connection,        http::field::keep_alive,
    http::field::proxy_connection,  http::field::te,
    http::field::upgrade,           http::field::trailer,
    http::field::transfer_encoding, http::field::expect,
};

}  // namespace

void strip_hop_by_hop(http::bhttp::fields& headers) {
  std::string const named(headers[http::field::connection]);
  for (auto const& token : http::bhttp::token_list(named)) headers.erase(token);
  for (http::field name : k_hop_by_hop) headers.erase(name);
}

bool has_events(http::response const& head) {
  return http::header(head, "Content-Type").starts_with(k_event_stream);
}

}  // namespace frostline::calls
