/// @file Entry point of `frostline`, a rollout node: flags, settings and signal handling.

#include <gflags/gflags.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "base/exit.h"
#include "base/log.h"
#include "base/process_signals.h"
#include "node/node.h"

DEFINE_string(config, "", "settings file (TOML)");
DEFINE_bool(check, false, "check the settings, print what is wrong, and exit");
DEFINE_bool(print_settings, false, "print the table of all settings and exit");
DEFINE_string(id, "", "overrides node.id");
DEFINE_string(zone, "", "overrides node.zone");
DEFINE_string(data_folder, "", "overrides node.data_folder");
DEFINE_string(http, "", "overrides listen.http");
DEFINE_string(gossip, "", "overrides listen.gossip");
DEFINE_string(log_level, "", "overrides log.level");

namespace {

using frostline::node::settings;
using frostline::node::settings_error;

constexpr char k_usage[] =
    "frostline --config FILE [flags]\n\n"
    "A node of the frostline rollout service. It reads its settings from a TOML file; flags\n"
    "override single values. SIGTERM or SIGINT begins a planned stop: the node tells its peers,\n"
    "hands its work over, finishes what is in flight and exits.\n\n"
    "Exit codes: 0 after a planned stop or a good --check; 1 if it can't start; 2 for bad "
    "settings.";

void override_text(std::string const& flag, std::string& value) {
  if (!flag.empty()) value = flag;
}

void override_endpoint(std::string const& flag, std::string const& name, frostline::endpoint& value,
                       std::vector<settings_error>& errors) {
  if (flag.empty()) return;
  auto const parsed = frostline::parse_endpoint(flag);
  if (parsed) {
    value = *parsed;
  } else {
    errors.push_back({"flags", name, "must be IP:port"});
  }
}

std::vector<settings_error> load(settings& node_settings) {
  std::vector<settings_error> errors;
  if (!FLAGS_config.empty()) errors = frostline::node::read_settings(FLAGS_config, node_settings);
  override_text(FLAGS_id, node_settings.id);
  override_text(FLAGS_zone, node_settings.zone);
  override_text(FLAGS_data_folder, node_settings.data_folder);
  override_text(FLAGS_log_level, node_settings.log_level);
  override_endpoint(FLAGS_http, "http", node_settings.listen, errors);
  override_endpoint(FLAGS_gossip, "gossip", node_settings.gossip, errors);
  if (!errors.empty()) return errors;
  return frostline::node::check_settings(node_settings,
                                         FLAGS_config.empty() ? "flags" : FLAGS_config);
}

void print_settings() {
  std::cout << "| key | default | meaning |\n| --- | --- | --- |\n";
  for (auto const& description : frostline::node::describe_settings()) {
    std::cout << "| `" << description.key << "` | " << description.default_value << " | "
              << description.meaning << " |\n";
  }
}

/// Runs a node until its planned stop has completed. @return the exit code.
int serve(settings node_settings) {
  frostline::asio::io_context context(1);
  frostline::node::node local_node(context, std::move(node_settings));
  std::string const failure = local_node.start();
  if (!failure.empty()) {
    std::cerr << "frostline: can't start: " << failure << '\n';
    return 1;
  }
  frostline::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code failed, int) {
    if (!failed) local_node.stop([&context] { context.stop(); });
  });
  frostline::asio::signal_set hangups(context, SIGHUP);
  std::function<void(boost::system::error_code, int)> on_hangup =
      [&](boost::system::error_code failed, int) {
        if (failed) return;
        frostline::log_line(frostline::log_level::info, "process",
                            "SIGHUP ignored: settings are read at the start only.");
        hangups.async_wait(on_hangup);
      };
  hangups.async_wait(on_hangup);
  frostline::deliver_signals();
  frostline::run_logged(context);
  frostline::exit_without_destruction();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(k_usage);
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_print_settings) {
    print_settings();
    return 0;
  }
  settings node_settings;
  auto const errors = load(node_settings);
  for (settings_error const& error : errors) {
    std::cerr << "frostline: " << error.to_string() << '\n';
  }
  if (!errors.empty()) return 2;
  if (FLAGS_check) {
    std::cout << "settings are good\n";
    return 0;
  }
  frostline::start_logging(node_settings.id, node_settings.log_level);
  frostline::log_line(frostline::log_level::info, "process", "Starting.", {{"pid", ::getpid()}});
  frostline::flush_logs();
  return serve(std::move(node_settings));
}
