/// @file Detects whether a server has crashed or only a connection to it has broken: by probing the
/// server's address, where nothing listens after a crash, and by its restart in the directory.
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
  /// which means that the server's process has not ended since. If unset, no open connections are
  /// assumed.
  std::function<bool(directory::server const&, time_point made_before)> has_open_connection;
  /// Takes over a connection that a probe has opened, for reuse by a later request or probe.
  std::function<void(directory::server const&, http::beast::tcp_stream)> adopt_connection;
  /// Shows which servers have been restarted or are leaving.
  directory::server_directory const* directory = nullptr;
};

class crash_watch {
 public:
  /// @param on_crash called with the requests of this node that were running on a server when the
  /// server crashed.
  crash_watch(asio::io_context& context, crash_watch_dependencies dependencies,
              std::function<void(std::vector<crash>)> on_crash)
      : context_(context),
        dependencies_(std::move(dependencies)),
        on_crash_(std::move(on_crash)),
        examined_(context) {}

  /// Records that the connection of a request broke before the response was complete. All requests
  /// whose connections to one server break at about the same time share one probe.
  void note_broken(directory::server const& server, fingerprint const& request, time_point sent_at);
  /// Records that this node abandoned a run, because its caller left or its deadline passed, while
  /// the server may still be running the request. The closed connection can't show a crash any
  /// more, so the server is probed repeatedly for as long as it may continue the run.
  void note_abandoned_run(directory::server const& server, fingerprint const& request,
                          time_point sent_at);
  /// Waits until the probes for all broken connections of this request are done, but no longer than
  /// one probe takes.
  awaitable<void> wait_until_examined(fingerprint request);
  /// Returns false while the server of a broken connection of this request is being probed.
  bool is_examined(fingerprint const& request) const;
  /// Reports the undecided runs at servers that the directory now lists as restarted, as crashes.
  void note_directory_change();
  void clean(time_point now) { undecided_.expire(now); }
  /// Number of connections opened by probes.
  std::uint64_t connections_opened() const { return connections_opened_; }

 private:
  enum class server_condition { ended, alive, unknown };

  awaitable<void> examine(directory::server server);
  /// Probes a server until it has crashed, or until it can no longer be running abandoned runs.
  awaitable<void> monitor_abandoned(directory::server server);
  /// Removes and returns the runs abandoned on this incarnation of a server.
  std::vector<crash> extract_abandoned(std::string const& incarnation);
  awaitable<server_condition> probe(directory::server server);
  bool has_open_connection(directory::server const& server, time_point made_before) const;
  /// Keeps a run for a while, in case the directory shows that the server was restarted: the server
  /// accepted the probe, possibly after a restart, or could not be reached. Does nothing if an open
  /// connection proves that the server has not crashed.
  void mark_undecided(directory::server const& server, crash const& run);
  static std::string_view to_text(server_condition condition);

  asio::io_context& context_;
  crash_watch_dependencies dependencies_;
  std::function<void(std::vector<crash>)> on_crash_;
  /// Runs whose connections broke, by server incarnation, until the server has been probed.
  std::map<std::string, std::vector<crash>> broken_;
  /// Abandoned runs that may continue, by server incarnation.
  std::map<std::string, std::vector<crash>> abandoned_;
  undecided_runs undecided_;
  async_condition examined_;
  std::uint64_t connections_opened_ = 0;
};

}  // namespace frostline::quarantine
