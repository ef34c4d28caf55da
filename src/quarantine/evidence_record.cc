#include "quarantine/evidence_record.h"

#include <memory>

#include "rpc/codec.h"
#include "schema/frostline_generated.h"

namespace frostline::quarantine {

std::string quarantine_records_prefix() { return "frostline/quarantine"; }

std::string run_marker_key() { return quarantine_records_prefix() + "-run"; }

std::string evidence_record::records_prefix() { return quarantine_records_prefix() + "-evidence/"; }

std::string evidence_record::key_of(std::string const& node) { return records_prefix() + node; }

std::string evidence_record::encode() const {
  rpc::CrashEvidenceRecordT record;
  record.address = writer.to_string();
  record.incarnation = incarnation;
  record.written_at_ms = written_at_ms;
  for (stored_evidence const& evidence : requests) {
    auto kept = std::make_unique<rpc::KeptEvidenceT>();
    kept->fingerprint = evidence.request.to_string();
    kept->servers = evidence.servers;
    record.requests.push_back(std::move(kept));
  }
  return rpc::encode(record);
}

std::optional<evidence_record> evidence_record::decode(std::string const& value) {
  auto const record = rpc::decode<rpc::CrashEvidenceRecordT>(value);
  if (!record) return std::nullopt;
  auto const writer = parse_endpoint(record->address);
  if (!writer) return std::nullopt;
  evidence_record decoded{*writer, record->incarnation, {}, record->written_at_ms};
  for (auto const& kept : record->requests) {
    auto const request = fingerprint::parse(kept->fingerprint);
    if (!request) return std::nullopt;
    decoded.requests.push_back({*request, kept->servers});
  }
  return decoded;
}

}  // namespace frostline::quarantine
