#include "process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <set>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace frostline::testing {
namespace {

constexpr std::chrono::milliseconds k_poll{10};

/// Running child processes. The terminate handler kills them, so that none outlives a test that
/// ends with an uncaught exception.
std::set<pid_t>& running_processes() {
  static std::set<pid_t> pids;
  return pids;
}

[[noreturn]] void end_all_processes() {
  for (pid_t pid : running_processes()) ::kill(pid, SIGKILL);
  if (auto const failure = std::current_exception()) {
    try {
      std::rethrow_exception(failure);
    } catch (std::exception const& what) {
      std::fprintf(stderr, "\nended by an exception: %s\n", what.what());
    }
  }
  std::abort();
}

}  // namespace

child_process::child_process(std::string const& program, std::vector<std::string> const& arguments,
                             std::string log_path, std::string const& preload)
    : log_path_(std::move(log_path)) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  int const flags = O_WRONLY | O_CREAT | O_APPEND;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path_.c_str(), flags, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A child that inherited a stand-in's listening socket would keep the port open after the
  // stand-in closes it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::set_terminate(end_all_processes);
  std::vector<char*> words = {const_cast<char*>(program.c_str())};
  for (std::string const& word : arguments) words.push_back(const_cast<char*>(word.c_str()));
  words.push_back(nullptr);
  std::string variable = "LD_PRELOAD=" + preload;
  std::vector<char*> variables;
  for (char** entry = environ; *entry != nullptr; ++entry) variables.push_back(*entry);
  if (!preload.empty()) variables.push_back(variable.data());
  variables.push_back(nullptr);
  int const failure =
      posix_spawn(&pid_, program.c_str(), &actions, nullptr, words.data(), variables.data());
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) throw std::runtime_error("can't start " + program);
  running_processes().insert(pid_);
}

child_process::child_process(child_process&& other) noexcept
    : pid_(other.pid_), status_(other.status_), log_path_(std::move(other.log_path_)) {
  other.pid_ = -1;
}

child_process::~child_process() { kill(); }

void child_process::send_signal(int number) {
  if (pid_ > 0) ::kill(pid_, number);
}

void child_process::resume_from_suspension(int suspended_ms) {
  if (pid_ <= 0) return;
  // Queued before SIGCONT, so that the clock is adjusted before the process continues.
  sigval duration{};
  duration.sival_int = suspended_ms;
  ::sigqueue(pid_, SIGUSR2, duration);
  ::kill(pid_, SIGCONT);
}

void child_process::kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGCONT);
  ::kill(pid_, SIGKILL);
  waitpid(pid_, &status_, 0);
  forget();
}

void child_process::forget() {
  running_processes().erase(pid_);
  pid_ = -1;
}

bool child_process::is_running() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, &status_, WNOHANG) == 0) return true;
  forget();
  return false;
}

int child_process::wait(int timeout_seconds) {
  auto const deadline = std::chrono::steady_clock::now() + std::chrono::seconds(timeout_seconds);
  while (is_running()) {
    if (std::chrono::steady_clock::now() >= deadline) return -1;
    std::this_thread::sleep_for(k_poll);
  }
  return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

}  // namespace frostline::testing
