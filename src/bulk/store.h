/// @file SQLite database in a node's data folder that stores submitted groups and finished samples.
/// An incomplete transaction is rolled back when the database is opened.
#pragma once

#include <memory>
#include <string>

#include "bulk/errc.h"
#include "schema/frostline_generated.h"

struct sqlite3;

namespace frostline::bulk {

class store {
 public:
  /// Opens or creates the database in `folder`.
  static result<std::unique_ptr<store>> open(std::string const& folder);
  ~store();
  store(store const&) = delete;
  store& operator=(store const&) = delete;

  /// Applies the whole request in one transaction: inserts, then deletions below `forget_below`.
  /// @return number of groups and samples in the request.
  result<std::uint32_t> put(rpc::StoreBulkRequestT const& request);
  /// Loads all groups and samples of a shard.
  result<rpc::LoadBulkResponseT> load(std::string const& task, std::uint32_t shard);
  /// For tests: simulates a full disk by limiting the number of database pages.
  void limit_pages(int pages);

 private:
  explicit store(sqlite3* database) : database_(database) {}
  std::error_code put_contents(rpc::StoreBulkRequestT const& request);
  std::error_code execute(char const* statement);

  sqlite3* database_;
};

}  // namespace frostline::bulk
