#include "base/log.h"

#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

#include "base/time.h"

namespace frostline {
namespace {

using severity_logger = boost::log::sources::severity_logger<log_level>;

constexpr std::string_view k_level_names[] = {"debug", "info", "warning", "error"};

std::string& process_name() {
  static std::string name = "frostline";
  return name;
}

severity_logger& logger() {
  static severity_logger instance;
  return instance;
}

}  // namespace

bool start_logging(std::string_view process, std::string_view level) {
  process_name() = process;
  int threshold = -1;
  for (int index = 0; index < 4; ++index) {
    if (k_level_names[index] == level) threshold = index;
  }
  if (threshold < 0) return false;
  namespace expressions = boost::log::expressions;
  auto sink = boost::log::add_console_log(std::cerr, boost::log::keywords::auto_flush = true);
  sink->set_formatter(expressions::stream << expressions::smessage);
  auto const minimum = static_cast<log_level>(threshold);
  boost::log::core::get()->set_filter(expressions::attr<log_level>("Severity") >= minimum);
  return true;
}

void log_line(log_level level, std::string_view part, std::string_view sentence,
              log_fields fields) {
  boost::log::record record = logger().open_record(boost::log::keywords::severity = level);
  if (!record) return;
  boost::json::object line;
  line["time_ms"] = wall_clock_ms();
  line["level"] = k_level_names[static_cast<int>(level)];
  line["process"] = process_name();
  line["message"] = std::string(part) + ": " + std::string(sentence);
  for (log_field const& field : fields) line[field.key] = field.value;
  boost::log::record_ostream stream(record);
  stream << boost::json::serialize(line);
  stream.flush();
  logger().push_record(std::move(record));
}

}  // namespace frostline
