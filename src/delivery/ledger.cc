#include "delivery/ledger.h"

namespace frostline::delivery {
namespace {

void write_manifest(std::vector<manifest_entry> const& entries, rpc::DeliveryRecordT& record) {
  for (manifest_entry const& entry : entries) {
    auto item = std::make_unique<rpc::ManifestEntryT>();
    item->group = entry.key.group;
    item->index = entry.key.index;
    item->attempt = entry.attempt;
    item->spans = engines::to_wire(entry.spans);
    item->failed = entry.failed;
    record.manifest.push_back(std::move(item));
  }
}

}  // namespace

pull_kind ledger::classify(std::uint64_t cursor, std::string const& identity) const {
  if (cursor == batch_) {
    bool const matches = batch_ == 0 || identity == identity_;
    return matches ? pull_kind::next : pull_kind::superseded;
  }
  if (cursor + 1 != batch_) return pull_kind::out_of_order;
  bool const matches = cursor == 0 || identity == previous_identity_;
  return matches ? pull_kind::repeat : pull_kind::superseded;
}

rpc::DeliveryRecordT ledger::plan_next(std::vector<manifest_entry> const& entries,
                                       std::uint64_t published_version,
                                       std::string identity) const {
  rpc::DeliveryRecordT record;
  record.batch = batch_ + 1;
  record.identity = std::move(identity);
  record.previous_identity = identity_;
  record.published_version = published_version;
  write_manifest(entries, record);
  delivered_set delivered = delivered_;
  for (manifest_entry const& entry : entries) delivered.insert(entry.key, entry.group_size);
  delivered.write_to(record);
  return record;
}

rpc::DeliveryRecordT ledger::plan_replacement(std::vector<manifest_entry> const& entries,
                                              std::vector<manifest_entry> const& withdrawn,
                                              std::uint64_t published_version,
                                              std::string identity) const {
  rpc::DeliveryRecordT record;
  record.batch = batch_;
  record.identity = std::move(identity);
  record.previous_identity = previous_identity_;
  record.published_version = published_version;
  write_manifest(entries, record);
  delivered_set delivered = delivered_;
  for (manifest_entry const& entry : withdrawn) delivered.remove(entry.key, entry.group_size);
  for (manifest_entry const& entry : entries) delivered.insert(entry.key, entry.group_size);
  delivered.write_to(record);
  return record;
}

void ledger::adopt(rpc::DeliveryRecordT const& record, std::uint64_t revision) {
  batch_ = record.batch;
  identity_ = record.identity;
  previous_identity_ = record.previous_identity;
  published_version_ = record.published_version;
  revision_ = revision;
  delivered_.read_from(record);
  manifest_.clear();
  for (auto const& item : record.manifest) {
    manifest_entry entry;
    entry.key = {item->group, item->index};
    entry.attempt = item->attempt;
    entry.spans = engines::from_wire(item->spans);
    entry.failed = item->failed;
    manifest_.push_back(std::move(entry));
  }
}

}  // namespace frostline::delivery
