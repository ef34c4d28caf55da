/// @file Tells a server that has ended from a connection that was cut: at the address of one that
/// has ended nobody listens.
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

/// What this node knows of servers without looking at them. None of it has to be given.
struct crash_watch_dependencies {
  /// Whether a connection to this server rests here that was made at `made_before` or earlier: a
  /// process that ends closes all that it has. Without it each look opens a connection.
  std::function<bool(directory::server const&, time_point made_before)> has_open_connection;
  /// Takes over a connection that a look has opened, for the next request or look.
  std::function<void(directory::server const&, http::beast::tcp_stream)> keep_connection;
  /// Tells lives of servers apart.
  directory::server_directory const* directory = nullptr;
};

class crash_watch {
 public:
  /// @param on_crash hears of all requests of this node under which a server has ended.
  crash_watch(asio::io_context& context, crash_watch_dependencies known,
              std::function<void(std::vector<crash>)> on_crash)
      : context_(context),
        known_(std::move(known)),
        on_crash_(std::move(on_crash)),
        examined_(context) {}

  /// A request's connection to a server ended without a whole answer. The server is looked at once
  /// for all its requests that break together.
  void note_broken(directory::server const& server, fingerprint const& request, time_point sent_at);
  /// This side gave up a run at which a server may still be at work: its caller has left, or its
  /// time is over. The connection that would tell of the server's end is closed, so the server is
  /// looked at several times, for as long as it may go on with the run.
  void note_abandoned_run(directory::server const& server, fingerprint const& request,
                          time_point sent_at);
  /// Returns once no server is looked at any more for this request after a connection broke, after
  /// 0.32 s at most: as long as one look takes.
  awaitable<void> wait_until_examined(fingerprint request);
  /// The directory has changed: it may tell of servers that were replaced since they were looked
  /// at.
  void note_directory_change();
  void clean(time_point now) { undecided_.expire(now); }
  /// Connections that looks have opened.
  std::uint64_t connections_opened() const { return connections_opened_; }

 private:
  enum class server_condition { ended, lives, unknown };

  bool is_examined(fingerprint const& request) const;
  awaitable<void> examine(directory::server server);
  /// Looks at a server until no run that was given up there can end it any more.
  awaitable<void> follow_given_up(directory::server server);
  /// Takes the runs that were given up on this life of a server.
  std::vector<crash> extract_given_up(std::string const& life);
  awaitable<server_condition> find_condition(directory::server server);
  bool has_open_connection(directory::server const& server, time_point made_before) const;
  /// Somebody listens at the server's address, or nobody answers: whether the server that had the
  /// run has ended is left to the directory, unless a connection shows that it lives.
  void leave_undecided(directory::server const& server, crash const& run);
  static std::string_view to_text(server_condition condition);

  asio::io_context& context_;
  crash_watch_dependencies known_;
  std::function<void(std::vector<crash>)> on_crash_;
  /// By the server's life, while it is looked at.
  std::map<std::string, std::vector<crash>> broken_;
  std::map<std::string, std::vector<crash>> given_up_;
  undecided_runs undecided_;
  async_condition examined_;
  std::uint64_t connections_opened_ = 0;
};

}  // namespace frostline::quarantine
