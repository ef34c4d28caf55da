/// @file A child process with its own log file; the destructor kills the process.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace frostline::testing {

class child_process {
 public:
  /// Starts `program` with stdout and stderr redirected to `log_path`.
  /// @param preload path of a library for LD_PRELOAD; empty for none.
  child_process(std::string const& program, std::vector<std::string> const& arguments,
                std::string log_path, std::string const& preload = "");
  ~child_process();
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&&) = delete;

  void send_signal(int number);
  /// Continues a stopped process as if its machine had been suspended: its monotonic clock does not
  /// advance by `suspended_ms`. Requires the preloaded library of suspended_process.cc.
  void resume_from_suspension(int suspended_ms);
  /// Sends SIGKILL and waits for the process to exit.
  void kill();
  /// Waits until the process exits. @return exit code; -1 if it was killed by a signal or is still
  /// running after `timeout_seconds`.
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
