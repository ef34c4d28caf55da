/// @file The faults that a soak causes around gateways, from outside them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "deadly_requests.h"
#include "platform_cluster.h"

namespace frostline::testing {

/// Causes one fault, and undoes it with the same call when `on` is false.
struct soak_fault {
  std::string name;
  std::function<void(bool on, std::size_t target)> apply;
};

/// Tenants of the configuration, as JSON.
struct soak_tenants {
  std::string all;
  /// One tenant's key is taken away.
  std::string without_a_key;
};

class soak_faults {
 public:
  /// @param wait_for_acceptance returns right after a job was accepted, or after a while.
  /// @param all also the faults that came after the first seeds were kept: with them a seed plays
  /// other faults.
  soak_faults(platform_cluster& system, deadly_requests& deadly, soak_tenants tenants,
              std::function<void()> wait_for_acceptance, bool all);

  std::vector<soak_fault> const& all() const { return faults_; }
  /// The fault of this name; there has to be one.
  soak_fault const& find(std::string_view name) const;
  /// Names the next version of the weights. @return its number.
  std::uint64_t name_next();
  std::uint64_t newest_version();
  /// Puts a configuration in force that has this route besides, to the application servers.
  void add_route(std::string const& prefix);

 private:
  void add(std::string name, std::function<void(bool, std::size_t)> apply);
  void add_process_faults();
  void add_faults_of_all();
  void add_store_faults();
  void add_server_faults();
  void add_duty_faults();
  void add_silences();
  void add_new_lives();
  void add_foreign_records();

  void on_store(std::function<void(store_faults&)> change);
  void on_engine(std::size_t target, std::function<void(server_faults&)> change);
  void on_app(std::size_t target, std::function<void(server_faults&)> change);
  void on_duties(std::function<void(duty_faults&)> change);
  void set_store_link(std::size_t target, proxy_faults faults);
  void restart(std::size_t node);
  /// Waits for the end of a node that was asked to stop, and starts it anew. Another fault may have
  /// frozen it meanwhile: then it goes on first, or it would not be started again.
  void follow_stop(std::size_t node);
  std::size_t node_of(std::size_t target) const { return target % system_.nodes(); }

  platform_cluster& system_;
  deadly_requests& deadly_;
  soak_tenants tenants_;
  std::function<void()> wait_for_acceptance_;
  std::vector<soak_fault> faults_;
  /// The newest that was named; used on the stand-ins' thread.
  std::uint64_t version_ = 1;
  /// Of the configuration; used on the stand-ins' thread.
  std::uint64_t config_version_ = 1;
  std::size_t handed_over_ = 0;
  std::size_t killed_holder_ = 0;
  std::size_t frozen_holder_ = 0;
  std::size_t suspended_owner_ = 0;
  std::uint64_t foreign_records_ = 0;
};

}  // namespace frostline::testing
