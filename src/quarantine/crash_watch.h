/// @file Tells a server that has ended from a connection that was cut: at the address of one that
/// has ended nobody listens.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/asio.h"
#include "directory/server_directory.h"
#include "quarantine/suspect_table.h"

namespace frostline::quarantine {

class crash_watch {
 public:
  /// @param on_crash hears of all requests of this node under which a server has ended.
  crash_watch(asio::io_context& context, std::function<void(std::vector<crash>)> on_crash)
      : context_(context), on_crash_(std::move(on_crash)), examined_(context) {}

  /// A request's connection to a server ended without a whole answer. The server is looked at once
  /// for all its requests that break together.
  void note_broken(directory::server const& server, fingerprint const& request, time_point sent_at);
  /// Returns once no server is looked at any more for this request, after 0.32 s at most: as long
  /// as one look takes.
  awaitable<void> wait_until_examined(fingerprint request);

 private:
  bool is_examined(fingerprint const& request) const;
  enum class server_condition { ended, lives, unknown };

  awaitable<void> examine(directory::server server);
  awaitable<server_condition> find_condition(endpoint address);
  static std::string_view to_text(server_condition condition);

  asio::io_context& context_;
  std::function<void(std::vector<crash>)> on_crash_;
  /// By the server's life, while it is looked at.
  std::map<std::string, std::vector<crash>> broken_;
  async_condition examined_;
};

}  // namespace frostline::quarantine
