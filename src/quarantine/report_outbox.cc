#include "quarantine/report_outbox.h"

#include <algorithm>

namespace frostline::quarantine {

void report_outbox::add(crash event) {
  entries_.push_back({next_number_++, std::move(event)});
  if (entries_.size() > k_max_entries) entries_.pop_front();
}

void report_outbox::clear(fingerprint const& request) {
  std::erase_if(entries_, [&](auto const& entry) { return entry.event.request == request; });
}

void report_outbox::expire(time_point before) {
  while (!entries_.empty() && entries_.front().event.ended_at <= before) entries_.pop_front();
}

std::uint64_t report_outbox::reported_up_to(endpoint const& collector) const {
  auto const known = collectors_.find(collector);
  return known == collectors_.end() ? 0 : known->second.reported_up_to;
}

crash_report report_outbox::next_report(endpoint const& collector) const {
  crash_report report;
  std::uint64_t const reported = reported_up_to(collector);
  for (numbered_crash const& entry : entries_) {
    if (report.evidence.size() == k_max_report_size) break;
    if (entry.number <= reported) continue;
    report.evidence.push_back(entry.event);
    report.last_number = entry.number;
  }
  return report;
}

bool report_outbox::has_pending(endpoint const& collector) const {
  return !entries_.empty() && entries_.back().number > reported_up_to(collector);
}

void report_outbox::note_reported(endpoint const& collector, std::string const& incarnation,
                                  std::uint64_t last_number) {
  collector_state& state = collectors_[collector];
  bool const restarted = !state.incarnation.empty() && state.incarnation != incarnation;
  state.incarnation = incarnation;
  state.reported_up_to = restarted ? 0 : std::max(state.reported_up_to, last_number);
}

void report_outbox::retain_collectors(std::vector<endpoint> const& collectors) {
  std::erase_if(collectors_, [&](auto const& known) {
    return std::find(collectors.begin(), collectors.end(), known.first) == collectors.end();
  });
}

}  // namespace frostline::quarantine
