/// @file Common parts of the stand-ins: HTTP listener, signal handling and rate limiter.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <functional>
#include <iostream>

#include "base/asio.h"
#include "http/json_fields.h"
#include "http/server.h"
#include "standin/options.h"

namespace frostline::standin {

/// Token bucket that holds the tokens of one second at most. A rate of 0 means no limit.
class rate_limiter {
 public:
  explicit rate_limiter(std::uint32_t per_second) : per_second_(per_second), tokens_(per_second) {}

  void set_rate(std::uint32_t per_second) { per_second_ = per_second; }

  bool allow(time_point now) {
    if (per_second_ == 0) return true;
    std::chrono::duration<double> const passed = now - last_;
    last_ = now;
    tokens_ = std::min<double>(per_second_, tokens_ + passed.count() * per_second_);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double per_second_;
  double tokens_;
  time_point last_ = boot_clock::now();
};

inline http::response empty_ok() { return json_response(http::status::ok, {}); }

/// Listens, prints the address, and serves until SIGTERM or SIGINT. @return exit code.
inline int serve(asio::io_context& context, options const& settings, http::handler on_request,
                 http::stream_handler on_stream = nullptr) {
  http::server_limits limits;
  limits.idle_timeout = milliseconds(600'000);
  http::server server(context, limits, std::move(on_request), std::move(on_stream));
  std::string const failure = server.listen(settings.listen);
  if (!failure.empty()) {
    std::cerr << "frostline-standin: can't listen on " << failure << '\n';
    return 1;
  }
  std::cout << "listening on " << settings.listen.address << ":" << server.port() << std::endl;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](auto, int) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace frostline::standin
