#include "http/request_stream.h"

namespace frostline::http {

void request_stream::begin_request() {
  if (has_request_) return;
  has_request_ = true;
  set_reset_on_close(true);
}

void request_stream::end_request() {
  if (!has_request_) return;
  has_request_ = false;
  set_reset_on_close(false);
}

void request_stream::set_reset_on_close(bool enabled) {
  // Fails only for a socket that is closed already.
  beast::error_code ignored;
  socket().set_option(asio::socket_base::linger(enabled, 0), ignored);
}

}  // namespace frostline::http
