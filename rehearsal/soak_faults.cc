#include "soak_faults.h"

#include <signal.h>

#include <stdexcept>
#include <thread>

namespace frostline::testing {
namespace {

/// Time in which an owner sends load orders for an announced version.
constexpr milliseconds k_order_delay{60};

}  // namespace

soak_faults::soak_faults(platform_cluster& system, poison_requests& poison, soak_tenants tenants,
                         std::function<void()> wait_for_acceptance, bool include_new)
    : system_(system),
      poison_requests_(poison),
      tenants_(std::move(tenants)),
      wait_for_acceptance_(std::move(wait_for_acceptance)) {
  add_process_faults();
  add_cluster_faults();
  add_store_faults();
  add_server_faults();
  add_duty_faults();
  if (!include_new) return;
  add_silent_connection_faults();
  add_restart_faults();
  add_foreign_records();
}

soak_fault const& soak_faults::find(std::string_view name) const {
  for (soak_fault const& fault : faults_) {
    if (fault.name == name) return fault;
  }
  throw std::logic_error("unknown fault: " + std::string(name));
}

void soak_faults::change_store_faults(std::function<void(store_faults&)> change) {
  system_.on_platform([&] {
    change(system_.store().faults());
    return 0;
  });
}

void soak_faults::change_engine_faults(std::size_t target,
                                       std::function<void(server_faults&)> change) {
  system_.on_platform([&] {
    change(system_.engine(target % system_.engines()).faults());
    return 0;
  });
}

void soak_faults::change_app_faults(std::size_t target,
                                    std::function<void(server_faults&)> change) {
  system_.on_platform([&] {
    change(system_.app(target % system_.apps()).faults());
    return 0;
  });
}

void soak_faults::set_store_link(std::size_t target, proxy_faults faults) {
  system_.store_proxy(node_index(target)).set(faults);
}

void soak_faults::add(std::string name, std::function<void(bool, std::size_t)> apply) {
  faults_.push_back({std::move(name), std::move(apply)});
}

void soak_faults::restart(std::size_t node) {
  if (!system_.node(node).is_running()) system_.start_node(node);
}

void soak_faults::restart_after_stop(std::size_t node) {
  system_.resume(node);
  system_.node(node).send_signal(SIGCONT);
  system_.node(node).wait(15);
  restart(node);
}

void soak_faults::add_process_faults() {
  add("kill_node", [this](bool on, std::size_t target) {
    std::size_t const node = node_index(target);
    if (on) {
      system_.node(node).kill();
    } else {
      restart(node);
    }
  });
  add("stop_node", [this](bool on, std::size_t target) {
    std::size_t const node = node_index(target);
    if (on) {
      system_.node(node).send_signal(SIGTERM);
    } else {
      restart_after_stop(node);
    }
  });
  add("freeze_node", [this](bool on, std::size_t target) {
    system_.node(node_index(target)).send_signal(on ? SIGSTOP : SIGCONT);
  });
  add("suspend_node", [this](bool on, std::size_t target) {
    if (on) {
      system_.suspend(node_index(target));
    } else {
      system_.resume(node_index(target));
    }
  });
  add("suspend_owner", [this](bool on, std::size_t target) {
    if (on) {
      suspended_owner_ = system_.find_owner().value_or(node_index(target));
      system_.suspend(suspended_owner_);
      announce_next_version();
    } else {
      system_.resume(suspended_owner_);
    }
  });
  add("hand_over", [this](bool on, std::size_t target) {
    if (!on) {
      restart_after_stop(stopped_owner_);
      return;
    }
    stopped_owner_ = system_.find_owner().value_or(node_index(target));
    // The owner stops with orders in flight and leaves further orders to its successor.
    announce_next_version();
    std::this_thread::sleep_for(k_order_delay);
    announce_next_version();
    system_.node(stopped_owner_).send_signal(SIGTERM);
  });
  add("reload", [this](bool on, std::size_t target) {
    if (on) system_.node(node_index(target)).send_signal(SIGHUP);
  });
}

void soak_faults::add_cluster_faults() {
  add("kill_all", [this](bool on, std::size_t) {
    for (std::size_t node = 0; node < system_.nodes(); ++node) {
      if (on) {
        system_.node(node).kill();
      } else {
        restart(node);
      }
    }
  });
  add("suspend_all", [this](bool on, std::size_t) {
    for (std::size_t node = 0; node < system_.nodes(); ++node) {
      if (on) {
        system_.suspend(node);
      } else {
        system_.resume(node);
      }
    }
  });
  // A machine that loses power closes no connection: its peers see silence until it restarts.
  add("power_lost_after_acceptance", [this](bool on, std::size_t) {
    if (on) wait_for_acceptance_();
    for (std::size_t node = 0; node < system_.nodes(); ++node) {
      if (on) {
        system_.node(node).send_signal(SIGSTOP);
      } else {
        system_.node(node).kill();
        restart(node);
      }
    }
  });
}

void soak_faults::add_store_faults() {
  add("store_silent", [this](bool on, std::size_t) {
    change_store_faults([on](store_faults& faults) { faults.silent = on; });
  });
  add("store_busy", [this](bool on, std::size_t) {
    change_store_faults([on](store_faults& faults) { faults.busy = on; });
  });
  add("store_slow", [this](bool on, std::size_t) {
    change_store_faults([on](store_faults& faults) { faults.delay = milliseconds(on ? 200 : 0); });
  });
  add("answers_lost", [this](bool on, std::size_t) {
    change_store_faults([on](store_faults& faults) { faults.lost_transactions = on ? 2 : 0; });
  });
  add("writes_late", [this](bool on, std::size_t) {
    change_store_faults([on](store_faults& faults) {
      faults.late_transactions = on ? 2 : 0;
      faults.commit_delay = milliseconds(1800);
    });
  });
  add("leases_lapse", [this](bool on, std::size_t) {
    if (!on) return;
    system_.on_platform([this] {
      system_.store().expire_leases();
      return 0;
    });
  });
  add("history_dropped", [this](bool on, std::size_t) {
    if (!on) return;
    system_.on_platform([this] {
      system_.store().compact();
      return 0;
    });
  });
  add("store_link_stalls", [this](bool on, std::size_t target) {
    proxy_faults faults;
    faults.stall = on;
    set_store_link(target, faults);
  });
  add("store_link_resets", [this](bool on, std::size_t target) {
    proxy_faults faults;
    faults.refuse = on;
    set_store_link(target, faults);
    if (on) system_.store_proxy(node_index(target)).reset_all();
  });
  add("store_link_breaks_answers", [this](bool on, std::size_t target) {
    proxy_faults faults;
    if (on) faults.reset_after_answer_bytes = 300;
    set_store_link(target, faults);
  });
  add("store_link_slow", [this](bool on, std::size_t target) {
    proxy_faults faults;
    if (on) faults.delay_ms = 150;
    set_store_link(target, faults);
  });
}

void soak_faults::add_server_faults() {
  add("engine_breaks", [this](bool on, std::size_t target) {
    change_engine_faults(target, [on](server_faults& faults) {
      faults.break_after = 2;
      faults.breaks = on ? 6 : 0;
    });
  });
  add("engine_full", [this](bool on, std::size_t target) {
    change_engine_faults(target, [on](server_faults& faults) { faults.full = on; });
  });
  add("engine_silent", [this](bool on, std::size_t target) {
    change_engine_faults(target, [on](server_faults& faults) { faults.silent = on; });
  });
  add("orders_lost", [this](bool on, std::size_t target) {
    change_engine_faults(target, [on](server_faults& faults) { faults.lost_orders = on ? 2 : 0; });
  });
  add("app_silent", [this](bool on, std::size_t target) {
    change_app_faults(target, [on](server_faults& faults) { faults.silent = on; });
  });
  add("app_full", [this](bool on, std::size_t target) {
    change_app_faults(target, [on](server_faults& faults) { faults.full = on; });
  });
  add("app_fails", [this](bool on, std::size_t target) {
    change_app_faults(target, [on](server_faults& faults) { faults.failures = on ? 3 : 0; });
  });
  add("app_cuts_answers", [this](bool on, std::size_t target) {
    change_app_faults(target, [on](server_faults& faults) { faults.cuts = on ? 12 : 0; });
  });
  add("deadly_request", [this](bool on, std::size_t) {
    if (on) {
      poison_requests_.start_sending_call();
    } else {
      poison_requests_.stop_sending_call();
    }
  });
  add("deadly_job", [this](bool on, std::size_t) {
    if (on) poison_requests_.submit_poison_job();
  });
  add("app_withdrawn", [this](bool on, std::size_t target) {
    system_.on_platform([&] {
      server_standin& app = system_.app(target % system_.apps());
      if (on) {
        system_.withdraw(app);
      } else {
        system_.announce(app, "ready");
      }
      return 0;
    });
  });
}

void soak_faults::change_duty_faults(std::function<void(duty_faults&)> change) {
  system_.on_platform([&] {
    change(system_.duties().faults());
    return 0;
  });
}

void soak_faults::add_duty_faults() {
  add("key_taken_away", [this](bool on, std::size_t) {
    system_.on_platform([&] {
      system_.set_tenants(on ? tenants_.with_key_revoked : tenants_.all);
      system_.put_config(++config_version_);
      return 0;
    });
  });
  add("duty_service_silent", [this](bool on, std::size_t) {
    change_duty_faults([on](duty_faults& faults) { faults.silent = on; });
  });
  add("duty_service_busy", [this](bool on, std::size_t) {
    change_duty_faults([on](duty_faults& faults) { faults.busy = on; });
  });
  add("duty_answers_lost", [this](bool on, std::size_t) {
    change_duty_faults([on](duty_faults& faults) { faults.lost_answers = on ? 2 : 0; });
  });
  add("holder_killed", [this](bool on, std::size_t target) {
    if (on) {
      killed_duty_holder_ = system_.find_duty_holder().value_or(node_index(target));
      system_.node(killed_duty_holder_).kill();
    } else {
      restart(killed_duty_holder_);
    }
  });
  add("holder_frozen", [this](bool on, std::size_t target) {
    if (on) suspended_duty_holder_ = system_.find_duty_holder().value_or(node_index(target));
    system_.node(suspended_duty_holder_).send_signal(on ? SIGSTOP : SIGCONT);
  });
}

void soak_faults::add_silent_connection_faults() {
  auto const add_silent_connection_fault = [this](std::string name, connected_part part) {
    add(std::move(name), [this, part](bool on, std::size_t) {
      if (on) system_.silence_connections(part);
    });
  };
  add_silent_connection_fault("store_connections_silent", connected_part::store);
  add_silent_connection_fault("server_connections_silent", connected_part::servers);
  add_silent_connection_fault("node_connections_silent", connected_part::nodes);
  add_silent_connection_fault("all_connections_silent", connected_part::all);
  add("watches_forgotten", [this](bool on, std::size_t) {
    if (!on) return;
    system_.on_platform([this] { return system_.store().stall_watches(); });
  });
}

void soak_faults::add_restart_faults() {
  add("engine_starts_again", [this](bool on, std::size_t target) {
    system_.on_platform([&] {
      server_standin& engine = system_.engine(target % system_.engines());
      engine.set_keeps_id(true);
      if (on) engine.crash();
      return 0;
    });
  });
  add("app_starts_again", [this](bool on, std::size_t target) {
    system_.on_platform([&] {
      server_standin& app = system_.app(target % system_.apps());
      app.set_keeps_id(true);
      if (on) app.crash();
      return 0;
    });
  });
}

void soak_faults::add_foreign_records() {
  add("foreign_records", [this](bool on, std::size_t) {
    if (!on) return;
    system_.on_platform([this] {
      std::string const number = std::to_string(++foreign_records_);
      store_standin& store = system_.store();
      store.put("servers/foreign-" + number, std::string("\xff\x00\x01", 3));
      store.put("servers/half-" + number,
                R"({"service":"apps","address":"127.0.0.1:9","slots":8,"state":"ready"})");
      store.put("op/config-" + number, R"({"version":1000000,"routes":[],"services":[]})");
      store.put("op/version/other-" + number, "[]");
      store.put("frostline/quarantine/other-" + number, "x");
      store.put("frostline/relays/other-" + number, "x");
      return 0;
    });
  });
}

void soak_faults::add_route(std::string const& prefix) {
  system_.on_platform([&] {
    system_.put_config(++config_version_,
                       R"(,{"name":"added","host":"test.example","path_prefix":")" + prefix +
                           R"(","kind":"safe","timeout_ms":2000,"target_latency_ms":150,)" +
                           R"("priority":2,"service":"apps","max_attempts":3,"public":true})");
    return 0;
  });
}

std::uint64_t soak_faults::announce_next_version() {
  return system_.on_platform([this] {
    system_.name_version(++version_);
    return version_;
  });
}

std::uint64_t soak_faults::newest_version() {
  return system_.on_platform([this] { return version_; });
}

}  // namespace frostline::testing
