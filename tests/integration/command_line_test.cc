/// @file Output and exit codes of `frostlinectl` and `frostline --check`.

#include <CppUTest/TestHarness.h>

#include <fstream>

#include "cluster.h"

using namespace frostline;
using namespace frostline::testing;

namespace {

struct command_result {
  int code = -1;
  std::string output;
};

}  // namespace

TEST_GROUP(command_line_test) {
  cluster system{make_run_folder("command-line"), cluster_options()};
  int runs = 0;

  command_result run(std::string const& program, std::vector<std::string> const& arguments) {
    std::string const log = system.folder() + "/command-" + std::to_string(runs++) + ".log";
    child_process process(program_path(program), arguments, log);
    command_result result;
    result.code = process.wait(20);
    std::ifstream file(log);
    result.output.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    return result;
  }

  command_result control(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "--node=" + system.node(0).to_string());
    return run("frostlinectl", arguments);
  }

  void check(command_result const& result, int code, std::string const& text) {
    bool const good = result.code == code && result.output.find(text) != std::string::npos;
    CHECK_TRUE_TEXT(good, (std::to_string(result.code) + ": " + result.output).c_str());
  }
};

TEST(command_line_test, changes_are_made_and_shown) {
  check(control({"put-task", "name=bids", "model=m", "freshness_bound=2"}), 0,
        "accepted at revision");
  check(control({"publish", "task=bids", "version=7"}), 0, "accepted at revision");
  check(control({"put-route", "name=price", "path_prefix=/price/", "backends=app-0,app-1",
                 "repeatable=true"}),
        0, "accepted at revision");
  check(control({"drain", "backend=app-1"}), 0, "accepted at revision");
  auto const status = control({"status"});
  for (std::string const text : {"node-0", "node-2", "engine-1", "bids", "/price/", "app-1"}) {
    check(status, 0, text);
  }
  check(control({"--json", "status"}), 0, "\"published_version\": 7");
  check(control({"undrain", "backend=app-1"}), 0, "accepted at revision");
}

TEST(command_line_test, stale_revision_and_older_version_are_conflicts) {
  check(control({"put-task", "name=bids", "model=m"}), 0, "accepted");
  check(control({"put-task", "name=bids", "model=m", "expected_revision=0"}), 3,
        "another change won");
  check(control({"publish", "task=bids", "version=7"}), 0, "accepted");
  check(control({"publish", "task=bids", "version=6"}), 3, "another change won");
}

TEST(command_line_test, invalid_arguments_are_reported) {
  check(control({"put-tusk"}), 2, "no such command");
  check(control({"put-task", "model=m"}), 2, "missing: name");
  check(control({"put-task", "name=a", "model=m", "priorty=3"}), 2, "unknown key: priorty");
  check(control({"publish", "task=a", "version=seven"}), 2, "version: not a number");
  check(run("frostlinectl", {"--node=nowhere", "status"}), 2, "--node must be IP:port");
}

TEST(command_line_test, refusals_include_the_reason) {
  check(control({"publish", "task=none", "version=1"}), 1, "not_found: no such task");
  check(control({"put-task", "name=a b", "model=m"}), 1, "malformed_request: task.name");
  system.set_faults(system.kv(), {{"outage_ms", 60'000}});
  check(control({"put-task", "name=a", "model=m"}), 1, "kv_unavailable");
  check(run("frostlinectl", {"--node=" + free_endpoint("127.0.0.1").to_string(), "status"}), 1,
        "could not connect");
}

TEST(command_line_test, settings_are_checked) {
  std::string const path = system.folder() + "/bad.toml";
  std::ofstream(path) << "[node]\nid = 'n'\nzome = 'z'\n";
  check(run("frostline", {"--config=" + path, "--check"}), 2, path + ": node.zome: unknown key");
  check(run("frostline", {"--config=" + system.folder() + "/node-0.toml", "--check"}), 0,
        "settings are good");
}
