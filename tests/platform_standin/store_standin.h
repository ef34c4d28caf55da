/// @file Stand-in for the metadata store of the users' platform. It speaks the published protocol
/// (items, ranges, watches, transactions, leases) and simulates outages, delays, lost answers, late
/// commits and compaction.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/server.h"

namespace frostline::testing {

/// Injected faults. Access only on the stand-ins' thread.
struct store_faults {
  /// Requests get no answer and have no effect.
  bool silent = false;
  /// Requests are answered 503 and have no effect.
  bool busy = false;
  /// Delay before each request is handled.
  milliseconds delay{0};
  /// Number of transactions that are committed but never answered.
  std::uint32_t lost_transactions = 0;
  /// Number of transactions that get no answer and are committed after `commit_delay`.
  std::uint32_t late_transactions = 0;
  milliseconds commit_delay{0};
};

class store_standin {
 public:
  store_standin(asio::io_context& context, endpoint where);

  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };

  /// Writes an item on behalf of the platform, such as an operator's record.
  void put(std::string const& key, std::string const& value, std::uint64_t lease = 0);
  void remove(std::string const& key);
  /// Drops the history: waiting watches and watches from an earlier revision are answered 410.
  void compact();
  /// Never answers the watches that are waiting now, but keeps their connections open; later
  /// requests are answered. @return number of stalled watches.
  std::size_t stall_watches();
  /// Returns the number of waiting watches of exactly this prefix.
  std::size_t waiting_watches(std::string const& prefix) { return waiting_watches_[prefix]; }
  /// Expires all leases and removes their items.
  void expire_leases();

  std::map<std::string, item> const& items() const { return items_; }
  store_faults& faults() { return faults_; }
  std::uint64_t transactions() const { return transactions_; }
  std::uint64_t revision() const { return revision_; }
  /// Returns the number of watches of a prefix that were answered with changes.
  std::uint64_t answered_watches(std::string const& prefix) { return answered_watches_[prefix]; }

 private:
  struct change {
    std::uint64_t revision = 0;
    std::string key;
    bool gone = false;
    item after;
  };
  struct lease {
    milliseconds time_to_live{0};
    time_point ends{};
  };

  awaitable<http::response> handle(http::request message);
  awaitable<http::response> watch(std::string target);
  awaitable<http::response> transaction(std::string body);
  http::response apply(std::string const& body);
  http::response read_key(std::string const& target);
  http::response read_range(std::string const& target);
  http::response grant(std::string const& body);
  http::response renew(std::uint64_t id);
  awaitable<void> expire_loop();
  awaitable<void> apply_later(std::string body, milliseconds pause);
  void end_lease(std::uint64_t id);
  void note(std::string const& key, bool gone);

  asio::io_context& context_;
  http::server server_;
  async_condition changed_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::vector<change> history_;
  std::uint64_t revision_ = 1;
  std::uint64_t forgotten_ = 0;
  std::uint64_t next_lease_ = 1;
  std::uint64_t cuts_ = 0;
  std::map<std::string, std::size_t> waiting_watches_;
  /// Incremented by stall_watches(); watches that wait since an earlier generation are never
  /// answered.
  std::uint64_t watch_generation_ = 0;
  std::uint64_t transactions_ = 0;
  std::map<std::string, std::uint64_t> answered_watches_;
  store_faults faults_;
};

}  // namespace frostline::testing
