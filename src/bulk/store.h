/// @file What a disk node keeps below its data folder: submitted groups and finished samples of
/// any shard, in SQLite. A torn write is rolled back when the store is opened.
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

  /// Stores all that the request holds, or nothing.
  result<std::uint32_t> put(rpc::StoreBulkRequestT const& request);
  /// Reads all that is held for a shard.
  result<rpc::LoadBulkResponseT> load(std::string const& task, std::uint32_t shard);
  /// For tests: SQLite's page limit stands for a full disk.
  void limit_pages(int pages);

 private:
  explicit store(sqlite3* database) : database_(database) {}
  std::error_code put_all(rpc::StoreBulkRequestT const& request);
  std::error_code execute(char const* statement);

  sqlite3* database_;
};

}  // namespace frostline::bulk
