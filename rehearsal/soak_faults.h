/// @file Faults that a soak injects into gateways and the systems around them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform_cluster.h"
#include "poison_requests.h"

namespace frostline::testing {

/// One kind of fault; `apply` injects it if `on` is true and ends it otherwise.
struct soak_fault {
  std::string name;
  std::function<void(bool on, std::size_t target)> apply;
};

/// Variants of the configuration's tenants, as JSON.
struct soak_tenants {
  std::string all;
  /// With one tenant's key revoked.
  std::string with_key_revoked;
};

class soak_faults {
 public:
  /// @param wait_for_acceptance returns right after a job was accepted, or after a timeout.
  /// @param include_new includes the faults that were added after the first recorded seeds; with
  /// them the same seed gives another sequence of faults.
  soak_faults(platform_cluster& system, poison_requests& poison, soak_tenants tenants,
              std::function<void()> wait_for_acceptance, bool include_new);

  std::vector<soak_fault> const& all() const { return faults_; }
  /// Throws std::logic_error if no fault has this name.
  soak_fault const& find(std::string_view name) const;
  /// Announces the next weight version for engines to load. @return its number.
  std::uint64_t announce_next_version();
  std::uint64_t newest_version();
  /// Stores a new configuration with one more route, which leads to the application servers.
  void add_route(std::string const& prefix);

 private:
  void add(std::string name, std::function<void(bool, std::size_t)> apply);
  void add_process_faults();
  void add_cluster_faults();
  void add_store_faults();
  void add_server_faults();
  void add_duty_faults();
  void add_silent_connection_faults();
  void add_restart_faults();
  void add_foreign_records();

  void change_store_faults(std::function<void(store_faults&)> change);
  void change_engine_faults(std::size_t target, std::function<void(server_faults&)> change);
  void change_app_faults(std::size_t target, std::function<void(server_faults&)> change);
  void change_duty_faults(std::function<void(duty_faults&)> change);
  void set_store_link(std::size_t target, proxy_faults faults);
  void restart(std::size_t node);
  /// Waits for the exit of a node that got SIGTERM, and starts it again. Resumes it first, since
  /// another fault may have suspended it meanwhile.
  void restart_after_stop(std::size_t node);
  std::size_t node_index(std::size_t target) const { return target % system_.nodes(); }

  platform_cluster& system_;
  poison_requests& poison_requests_;
  soak_tenants tenants_;
  std::function<void()> wait_for_acceptance_;
  std::vector<soak_fault> faults_;
  /// Newest announced version of the weights; used on the stand-ins' thread.
  std::uint64_t version_ = 1;
  /// Version of the configuration; used on the stand-ins' thread.
  std::uint64_t config_version_ = 1;
  std::size_t stopped_owner_ = 0;
  std::size_t killed_duty_holder_ = 0;
  std::size_t suspended_duty_holder_ = 0;
  std::size_t suspended_owner_ = 0;
  std::uint64_t foreign_records_ = 0;
};

}  // namespace frostline::testing
