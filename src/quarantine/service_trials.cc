/// @file The part of the service that claims trials and lets callers wait for their outcome.

#include <algorithm>

#include "base/log.h"
#include "quarantine/service.h"

namespace frostline::quarantine {
namespace {

constexpr std::string_view k_part = "quarantine";

}  // namespace

awaitable<bool> service::claim_trial(fingerprint request) {
  quarantine_entry const* const known = list_.find(request);
  if (known == nullptr || !claiming_.insert(request).second) co_return false;
  quarantine_entry entry = *known;
  ++entry.trials;
  entry.is_suspicion = false;
  kv::operation put;
  put.key = quarantine_list::key_of(request);
  put.value = quarantine_list::encode(entry, dependencies_.node);
  std::uint32_t const number = entry.trials;
  bool const claimed = co_await apply(std::move(entry), std::move(put));
  claiming_.erase(request);
  list_changed_.notify_all();
  log_line(log_level::info, k_part, "Trial requested.",
           {{"fingerprint", request.to_string()},
            {"number", number},
            {"granted", claimed ? "yes" : "no"}});
  if (claimed) ++counters_.trials;
  if (claimed) own_trials_.insert(request);
  co_return claimed;
}

bool service::is_trial_open(fingerprint const& request, time_point now) const {
  if (list_.is_provisional(request) && claiming_.contains(request)) return true;
  auto const due = list_.trial_outcome_due(request);
  return due && now < *due;
}

awaitable<void> service::wait_for_trial(fingerprint request, time_point limit) {
  time_point const begin = boot_clock::now();
  bool const is_claimed_here = claiming_.contains(request);
  quarantine_entry const* known = list_.find(request);
  kv::revision const revision = known == nullptr ? 0 : known->revision;
  auto const due = list_.trial_outcome_due(request);
  time_point const end = due && !is_claimed_here ? std::min(limit, *due) : limit;
  while (known != nullptr && known->revision == revision &&
         claiming_.contains(request) == is_claimed_here && boot_clock::now() < end) {
    co_await list_changed_.wait_until(end);
    known = list_.find(request);
  }
  ++counters_.trial_waits;
  log_line(log_level::info, k_part, "Request waited for a trial.",
           {{"fingerprint", request.to_string()},
            {"waited_ms", milliseconds_since(begin)},
            {"revision", revision},
            {"new_revision", known == nullptr ? 0 : known->revision}});
}

awaitable<void> service::return_trial(fingerprint request) {
  quarantine_entry const* const known = list_.find(request);
  bool const own = own_trials_.erase(request) > 0;
  if (!own || known == nullptr || known->trials == 0) co_return;
  quarantine_entry entry = *known;
  --entry.trials;
  kv::operation put;
  put.key = quarantine_list::key_of(request);
  put.value = quarantine_list::encode(entry, "");
  bool const returned = co_await apply(std::move(entry), std::move(put));
  log_line(log_level::info, k_part, "Trial was not run and is returned.",
           {{"fingerprint", request.to_string()}, {"done", returned ? "yes" : "no"}});
}

}  // namespace frostline::quarantine
