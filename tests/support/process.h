/// @file A child process of a test: its own log file, signals by pid, ended with its owner.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace frostline::testing {

class child_process {
 public:
  /// Starts `program`; both of its outputs go to `log_path`.
  /// @param preload a library to load into it first; empty: none.
  child_process(std::string const& program, std::vector<std::string> const& arguments,
                std::string log_path, std::string const& preload = "");
  ~child_process();
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&&) = delete;

  void send_signal(int number);
  /// Lets a stopped process go on as after a suspension of its machine: its monotonic clock has
  /// stood still. Only with the library for that, see suspended_process.cc.
  void resume_from_suspension(int suspended_ms);
  /// SIGKILL, and waits for the end.
  void kill();
  /// Waits until the process has ended by itself. @return exit code; -1 if it was killed or still
  /// runs after `timeout_seconds`.
  int wait(int timeout_seconds);
  bool is_running();
  pid_t pid() const { return pid_; }
  std::string const& log_path() const { return log_path_; }

 private:
  void forget();

  pid_t pid_ = -1;
  int status_ = 0;
  std::string log_path_;
};

}  // namespace frostline::testing
