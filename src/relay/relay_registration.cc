#include "relay/relay_registration.h"

#include "base/log.h"

namespace frostline::relay {
namespace {

constexpr std::string_view k_part = "relay";
constexpr milliseconds k_write_timeout{600};

kv::operation make_put(std::string const& key, std::string const& value) {
  kv::operation put;
  put.key = key;
  put.value = value;
  return put;
}

kv::operation make_removal(std::string const& key) {
  kv::operation removal;
  removal.kind = kv::operation_kind::remove;
  removal.key = key;
  return removal;
}

}  // namespace

awaitable<bool> relay_registration::claim(kv::revision replaced) {
  std::string const key = zone_relays::key_of(self_.zone);
  kv::key_value entry;
  entry.key = key;
  entry.value = zone_relays::encode(self_);
  kv::transaction change;
  change.compares.push_back({key, replaced});
  change.on_success.push_back(make_put(key, entry.value));
  auto const outcome = co_await store_.apply(std::move(change), k_write_timeout);
  log_line(log_level::info, k_part, "Zone's record claimed.",
           {{"zone", self_.zone},
            {"replaced", replaced},
            {"outcome", !outcome                    ? outcome.error().message()
                        : outcome.value().succeeded ? std::string("claimed")
                                                    : std::string("another node was faster")}});
  if (!outcome) co_return false;
  if (outcome.value().succeeded) {
    entry.mod_revision = outcome.value().store_revision;
    relays_.apply({false, entry});
    co_return true;
  }
  for (kv::key_value const& current : outcome.value().read) {
    if (current.key == key) relays_.apply({false, current});
  }
  co_return true;
}

awaitable<bool> relay_registration::hand_over(std::optional<zone_relay> next) {
  std::string const key = zone_relays::key_of(self_.zone);
  kv::key_value entry;
  entry.key = key;
  if (next) entry.value = zone_relays::encode(*next);
  kv::transaction change;
  change.compares.push_back({key, relays_.revision_of(self_.zone)});
  change.on_success.push_back(next ? make_put(key, entry.value) : make_removal(key));
  auto const outcome = co_await store_.apply(std::move(change), k_write_timeout);
  bool const done = outcome && outcome.value().succeeded;
  log_line(log_level::info, k_part, "Zone's record handed over.",
           {{"zone", self_.zone},
            {"to", next ? next->node : std::string("nobody")},
            {"done", done ? "yes" : "no"}});
  if (!done || !next) co_return false;
  entry.mod_revision = outcome.value().store_revision;
  relays_.apply({false, entry});
  co_return true;
}

}  // namespace frostline::relay
