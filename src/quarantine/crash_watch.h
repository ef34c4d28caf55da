/// @file Detects whether a server has crashed or only a connection to it has broken, by probing the
/// server's address: after a crash, nothing listens there.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/asio.h"
#include "directory/server_directory.h"
#include "http/message.h"
#include "quarantine/suspect_table.h"
#include "quarantine/undecided_runs.h"

namespace frostline::quarantine {

/// Optional sources of information about servers, besides probing.
struct crash_watch_dependencies {
  /// Returns true if a connection to the server made no later than `made_before` is still open,
  /// which means that its process has not ended since. If unset, each probe opens a connection.
  std::function<bool(directory::server const&, time_point made_before)> has_open_connection;
  /// Takes over a connection that a probe has opened, for reuse by a later request or probe.
  std::function<void(directory::server const&, http::beast::tcp_stream)> adopt_connection;
  /// Shows which servers have been restarted or are leaving.
  directory::server_directory const* directory = nullptr;
};

class crash_watch {
 public:
  /// @param on_crash called with all requests of this node that were running on a server when it
  /// ended.
  crash_watch(asio::io_context& context, crash_watch_dependencies dependencies,
              std::function<void(std::vector<crash>)> on_crash)
      : context_(context),
        dependencies_(std::move(dependencies)),
        on_crash_(std::move(on_crash)),
        examined_(context) {}

  /// Records that the connection of a request broke before the response was complete. All requests
  /// whose connections to one server break at about the same time share one probe.
  void note_broken(directory::server const& server, fingerprint const& request, time_point sent_at);
  /// Records that this node abandoned a run, because its caller left or its time was up, while the
  /// server may still be working on it. The closed connection can't report the server's end any
  /// more, so the server is probed repeatedly for as long as it may continue the run.
  void note_abandoned_run(directory::server const& server, fingerprint const& request,
                          time_point sent_at);
  /// Returns once no probe is pending for a broken connection of this request, at the latest after
  /// one settle time and one connect timeout.
  awaitable<void> wait_until_examined(fingerprint request);
  /// Reports crashes of servers that the directory now lists as replaced.
  void note_directory_change();
  void clean(time_point now) { undecided_.expire(now); }
  /// Number of connections opened by probes.
  std::uint64_t connections_opened() const { return connections_opened_; }

 private:
  enum class server_condition { ended, alive, unknown };

  bool is_examined(fingerprint const& request) const;
  awaitable<void> examine(directory::server server);
  /// Probes a server until every run abandoned there is too old to end it.
  awaitable<void> monitor_abandoned(directory::server server);
  /// Removes and returns the runs abandoned on this incarnation of a server.
  std::vector<crash> extract_abandoned(std::string const& incarnation);
  awaitable<server_condition> probe(directory::server server);
  bool has_open_connection(directory::server const& server, time_point made_before) const;
  /// Keeps a run whose server answered the probe, possibly after a restart, or could not be
  /// reached, until the directory shows whether the server was replaced. Does nothing if an open
  /// connection proves that the server has not ended.
  void mark_undecided(directory::server const& server, crash const& run);
  static std::string_view to_text(server_condition condition);

  asio::io_context& context_;
  crash_watch_dependencies dependencies_;
  std::function<void(std::vector<crash>)> on_crash_;
  /// By server incarnation, while the server is being probed.
  std::map<std::string, std::vector<crash>> broken_;
  std::map<std::string, std::vector<crash>> abandoned_;
  undecided_runs undecided_;
  async_condition examined_;
  std::uint64_t connections_opened_ = 0;
};

}  // namespace frostline::quarantine
