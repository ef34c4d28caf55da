#include "bulk/store.h"

#include <sqlite3.h>

#include <boost/filesystem.hpp>

#include "rpc/codec.h"

namespace frostline::bulk {
namespace {

constexpr char k_schema[] =
    "PRAGMA journal_mode=WAL;"
    "PRAGMA synchronous=FULL;"
    "CREATE TABLE IF NOT EXISTS groups("
    " task TEXT, shard INTEGER, sample_group INTEGER, body BLOB,"
    " PRIMARY KEY(task, shard, sample_group)) WITHOUT ROWID;"
    "CREATE TABLE IF NOT EXISTS samples("
    " task TEXT, shard INTEGER, sample_group INTEGER, sample_index INTEGER, attempt TEXT,"
    " body BLOB, PRIMARY KEY(task, shard, sample_group, sample_index, attempt)) WITHOUT ROWID;";
constexpr char k_put_group[] = "INSERT OR REPLACE INTO groups VALUES(?1, ?2, ?3, ?4)";
constexpr char k_put_sample[] = "INSERT OR REPLACE INTO samples VALUES(?1, ?2, ?3, ?4, ?5, ?6)";
constexpr char k_forget_groups[] =
    "DELETE FROM groups WHERE task=?1 AND shard=?2 AND sample_group<?3";
constexpr char k_forget_samples[] =
    "DELETE FROM samples WHERE task=?1 AND shard=?2 AND sample_group<?3";
constexpr char k_load_groups[] = "SELECT body FROM groups WHERE task=?1 AND shard=?2";
constexpr char k_load_samples[] = "SELECT body FROM samples WHERE task=?1 AND shard=?2";

std::error_code from_sqlite(int code) {
  if (code == SQLITE_FULL) return errc::disk_full;
  return errc::storage_failed;
}

/// A prepared statement whose parameters are bound in order.
class statement {
 public:
  statement(sqlite3* database, char const* text) {
    sqlite3_prepare_v2(database, text, -1, &handle_, nullptr);
  }
  ~statement() { sqlite3_finalize(handle_); }
  statement(statement const&) = delete;
  statement& operator=(statement const&) = delete;

  statement& bind(std::string const& text) {
    sqlite3_bind_text(handle_, ++bound_, text.data(), static_cast<int>(text.size()),
                      SQLITE_TRANSIENT);
    return *this;
  }
  statement& bind(std::uint64_t number) {
    sqlite3_bind_int64(handle_, ++bound_, static_cast<sqlite3_int64>(number));
    return *this;
  }
  statement& bind_blob(std::string const& bytes) {
    sqlite3_bind_blob(handle_, ++bound_, bytes.data(), static_cast<int>(bytes.size()),
                      SQLITE_TRANSIENT);
    return *this;
  }
  int step() { return sqlite3_step(handle_); }
  std::string_view column_blob(int column) const {
    auto const* bytes = static_cast<char const*>(sqlite3_column_blob(handle_, column));
    return {bytes, static_cast<std::size_t>(sqlite3_column_bytes(handle_, column))};
  }

 private:
  sqlite3_stmt* handle_ = nullptr;
  int bound_ = 0;
};

std::error_code run(statement& prepared) {
  int const code = prepared.step();
  return code == SQLITE_DONE ? std::error_code() : from_sqlite(code);
}

template <class Record>
std::error_code read_bodies(statement& query, std::vector<std::unique_ptr<Record>>& records) {
  int code = query.step();
  while (code == SQLITE_ROW) {
    auto record = rpc::decode<Record>(query.column_blob(0));
    if (record) records.push_back(std::make_unique<Record>(std::move(*record)));
    code = query.step();
  }
  return code == SQLITE_DONE ? std::error_code() : from_sqlite(code);
}

}  // namespace

result<std::unique_ptr<store>> store::open(std::string const& folder) {
  boost::system::error_code failure;
  boost::filesystem::create_directories(folder, failure);
  if (failure) return std::error_code(errc::open_failed);
  sqlite3* database = nullptr;
  std::string const path = folder + "/bulk.sqlite";
  if (sqlite3_open(path.c_str(), &database) != SQLITE_OK) {
    sqlite3_close(database);
    return std::error_code(errc::open_failed);
  }
  std::unique_ptr<store> opened(new store(database));
  if (opened->execute(k_schema)) return std::error_code(errc::open_failed);
  return opened;
}

store::~store() { sqlite3_close(database_); }

std::error_code store::execute(char const* statement) {
  int const code = sqlite3_exec(database_, statement, nullptr, nullptr, nullptr);
  return code == SQLITE_OK ? std::error_code() : from_sqlite(code);
}

void store::limit_pages(int pages) {
  std::string const pragma = "PRAGMA max_page_count=" + std::to_string(pages);
  execute(pragma.c_str());
}

result<std::uint32_t> store::put(rpc::StoreBulkRequestT const& request) {
  if (auto failure = execute("BEGIN")) return failure;
  std::error_code failure = put_contents(request);
  if (!failure) failure = execute("COMMIT");
  if (failure) {
    execute("ROLLBACK");
    return failure;
  }
  return static_cast<std::uint32_t>(request.groups.size() + request.samples.size());
}

std::error_code store::put_contents(rpc::StoreBulkRequestT const& request) {
  for (auto const& group : request.groups) {
    statement put_group(database_, k_put_group);
    put_group.bind(request.task).bind(request.shard).bind(group->group);
    put_group.bind_blob(rpc::encode(*group));
    if (auto failure = run(put_group)) return failure;
  }
  for (auto const& sample : request.samples) {
    statement put_sample(database_, k_put_sample);
    put_sample.bind(request.task).bind(request.shard).bind(sample->group).bind(sample->index);
    put_sample.bind(sample->attempt).bind_blob(rpc::encode(*sample));
    if (auto failure = run(put_sample)) return failure;
  }
  if (request.forget_below == 0) return {};
  for (char const* text : {k_forget_groups, k_forget_samples}) {
    statement forget(database_, text);
    forget.bind(request.task).bind(request.shard).bind(request.forget_below);
    if (auto failure = run(forget)) return failure;
  }
  return {};
}

result<rpc::LoadBulkResponseT> store::load(std::string const& task, std::uint32_t shard) {
  rpc::LoadBulkResponseT response;
  statement groups(database_, k_load_groups);
  groups.bind(task).bind(shard);
  if (auto failure = read_bodies(groups, response.groups)) return failure;
  statement samples(database_, k_load_samples);
  samples.bind(task).bind(shard);
  if (auto failure = read_bodies(samples, response.samples)) return failure;
  return response;
}

}  // namespace frostline::bulk
