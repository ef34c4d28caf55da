#include "base/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include "base/time.h"

namespace frostline {
namespace {

using severity_logger = boost::log::sources::severity_logger<log_level>;
namespace sinks = boost::log::sinks;

constexpr std::string_view k_level_names[] = {"debug", "info", "warning", "error"};
/// Rate limit of log lines (token bucket).
constexpr double k_lines_per_second = 600;
constexpr double k_burst_lines = 1500;
constexpr milliseconds k_flush_interval{100};
constexpr std::size_t k_flush_bytes = 8 * 1024;
constexpr std::size_t k_max_buffered_bytes = 256 * 1024;
/// A pipe that polls as writable accepts this many bytes (PIPE_BUF) without blocking.
constexpr std::size_t k_write_bytes = 4096;

/// Buffers lines and writes them to standard output without blocking; drops lines over the limits.
class output {
 public:
  void add(std::string const& line) {
    time_point const now = boot_clock::now();
    refill(now);
    if (tokens_ < 1 || buffered_.size() + line.size() > k_max_buffered_bytes) {
      ++dropped_;
      return;
    }
    tokens_ -= 1;
    buffered_.append(line).append("\n");
    if (buffered_.size() >= k_flush_bytes || now - flushed_at_ >= k_flush_interval) flush();
  }

  void flush() {
    flushed_at_ = boot_clock::now();
    std::size_t written = 0;
    while (written < buffered_.size() && is_writable()) {
      std::size_t const part = std::min(buffered_.size() - written, k_write_bytes);
      ssize_t const count = ::write(STDOUT_FILENO, buffered_.data() + written, part);
      if (count <= 0) break;
      written += static_cast<std::size_t>(count);
    }
    buffered_.erase(0, written);
  }

  std::uint64_t dropped() const { return dropped_; }

 private:
  void refill(time_point now) {
    double const elapsed = std::chrono::duration<double>(now - refilled_at_).count();
    tokens_ = std::min(k_burst_lines, tokens_ + elapsed * k_lines_per_second);
    refilled_at_ = now;
  }

  static bool is_writable() {
    pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
  }

  std::string buffered_;
  double tokens_ = k_burst_lines;
  time_point refilled_at_ = boot_clock::now();
  time_point flushed_at_{};
  std::uint64_t dropped_ = 0;
};

output& standard_output() {
  static output instance;
  return instance;
}

class output_backend final
    : public sinks::basic_formatted_sink_backend<char, sinks::synchronized_feeding> {
 public:
  void consume(boost::log::record_view const&, string_type const& line) {
    standard_output().add(line);
  }
};

std::string& process_name() {
  static std::string name = "frostline";
  return name;
}

severity_logger& logger() {
  static severity_logger instance;
  return instance;
}

void add_sink_once() {
  static bool added = false;
  if (added) return;
  added = true;
  namespace expressions = boost::log::expressions;
  using frontend = sinks::synchronous_sink<output_backend>;
  auto sink = boost::make_shared<frontend>(boost::make_shared<output_backend>());
  sink->set_formatter(expressions::stream << expressions::smessage);
  boost::log::core::get()->add_sink(sink);
}

}  // namespace

bool start_logging(std::string_view process, std::string_view level) {
  process_name() = process;
  int threshold = -1;
  for (int index = 0; index < 4; ++index) {
    if (k_level_names[index] == level) threshold = index;
  }
  if (threshold < 0) return false;
  add_sink_once();
  namespace expressions = boost::log::expressions;
  auto const minimum = static_cast<log_level>(threshold);
  boost::log::core::get()->set_filter(expressions::attr<log_level>("Severity") >= minimum);
  return true;
}

void log_line(log_level level, std::string_view component, std::string_view message,
              std::span<log_field const> fields) {
  boost::log::record record = logger().open_record(boost::log::keywords::severity = level);
  if (!record) return;
  boost::json::object line;
  line["time_ms"] = wall_clock_ms();
  line["level"] = k_level_names[static_cast<int>(level)];
  line["process"] = process_name();
  line["message"] = std::string(component) + ": " + std::string(message);
  for (log_field const& field : fields) line[field.key] = field.value;
  boost::log::record_ostream stream(record);
  stream << boost::json::serialize(line);
  stream.flush();
  logger().push_record(std::move(record));
  if (level >= log_level::warning) flush_logs();
}

void flush_logs() { standard_output().flush(); }

std::uint64_t dropped_log_lines() { return standard_output().dropped(); }

}  // namespace frostline
