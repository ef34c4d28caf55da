#include "quarantine/report_outbox.h"

#include <algorithm>

namespace frostline::quarantine {

void report_outbox::add(crash one) {
  entries_.push_back({next_number_++, std::move(one)});
  if (entries_.size() > k_most_entries) entries_.pop_front();
}

void report_outbox::clear(fingerprint const& request) {
  std::erase_if(entries_, [&](auto const& entry) { return entry.what.request == request; });
}

void report_outbox::expire(time_point before) {
  while (!entries_.empty() && entries_.front().what.ended_at <= before) entries_.pop_front();
}

std::uint64_t report_outbox::told_to(endpoint const& collector) const {
  auto const known = collectors_.find(collector);
  return known == collectors_.end() ? 0 : known->second.told_to;
}

crash_report report_outbox::next_report(endpoint const& collector) const {
  crash_report report;
  std::uint64_t const told = told_to(collector);
  for (numbered_crash const& entry : entries_) {
    if (report.evidence.size() == k_most_in_report) break;
    if (entry.number <= told) continue;
    report.evidence.push_back(entry.what);
    report.up_to = entry.number;
  }
  return report;
}

bool report_outbox::has_pending(endpoint const& collector) const {
  return !entries_.empty() && entries_.back().number > told_to(collector);
}

void report_outbox::note_told(endpoint const& collector, std::string const& incarnation,
                              std::uint64_t up_to) {
  collector_state& state = collectors_[collector];
  bool const restarted = !state.incarnation.empty() && state.incarnation != incarnation;
  state.incarnation = incarnation;
  state.told_to = restarted ? 0 : std::max(state.told_to, up_to);
}

void report_outbox::keep_collectors(std::vector<endpoint> const& collectors) {
  std::erase_if(collectors_, [&](auto const& known) {
    return std::find(collectors.begin(), collectors.end(), known.first) == collectors.end();
  });
}

}  // namespace frostline::quarantine
