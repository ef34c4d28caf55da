/// @file frostlinectl: the operators' command line.

#include <gflags/gflags.h>

#include <iostream>

#include "ctl/commands.h"

DEFINE_string(node, "127.0.0.1:7000", "IP:port of any node");
DEFINE_bool(json, false, "print JSON");

int main(int argc, char** argv) {
  gflags::SetUsageMessage(frostline::ctl::k_usage);
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto const node = frostline::parse_endpoint(FLAGS_node);
  if (!node || argc < 2) {
    std::cerr << (node ? "" : "frostlinectl: --node must be IP:port\n") << frostline::ctl::k_usage;
    return static_cast<int>(frostline::ctl::exit_code::usage);
  }
  frostline::ctl::invocation command_line;
  command_line.node = *node;
  command_line.json = FLAGS_json;
  command_line.command = argv[1];
  command_line.arguments.assign(argv + 2, argv + argc);
  return static_cast<int>(frostline::ctl::run(command_line));
}
