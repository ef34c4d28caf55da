/// @file Stand-in of the users' platform's metadata store, by its published protocol: items,
/// ranges, watches, transactions, leases; with outages, slowness, lost and late answers,
/// compaction.
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

/// What goes wrong at the store; read on its own thread only.
struct store_faults {
  /// Requests get no answer and do nothing.
  bool silent = false;
  /// Requests get 503 and do nothing.
  bool busy = false;
  milliseconds delay{0};
  /// So many transactions are carried out and never answered.
  std::uint32_t lost_transactions = 0;
  /// So many transactions get no answer and are carried out this much later.
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

  /// What the platform itself writes, such as operators' records.
  void put(std::string const& key, std::string const& value, std::uint64_t lease = 0);
  void remove(std::string const& key);
  /// Drops the history: watches from before get 410, those that wait are cut.
  void compact();
  /// Watches that wait now are never answered; their connections stay open, and everything that is
  /// asked from now on is answered. @return how many watches.
  std::size_t stall_watches();
  /// Watches of exactly this prefix that wait now.
  std::size_t waiting_watches(std::string const& prefix) { return waiting_watches_[prefix]; }
  /// Ends a lease and its items, as if it had run out.
  void expire_leases();

  std::map<std::string, item> const& items() const { return items_; }
  store_faults& faults() { return faults_; }
  std::uint64_t transactions() const { return transactions_; }
  std::uint64_t revision() const { return revision_; }
  /// Watches of a prefix that were answered with changes.
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
  /// Watches of an older generation are never answered.
  std::uint64_t watch_generation_ = 0;
  std::uint64_t transactions_ = 0;
  std::map<std::string, std::uint64_t> answered_watches_;
  store_faults faults_;
};

}  // namespace frostline::testing
