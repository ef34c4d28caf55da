#include "odd_entries.h"

#include <array>
#include <boost/json.hpp>
#include <string>

namespace frostline::testing {
namespace {

constexpr std::size_t k_max_name_bytes = 24;
constexpr int k_nesting = 5000;
constexpr int k_last_ascii = 127;

std::string record_with(std::string const& address, std::string const& slots,
                        std::string const& sequence) {
  return R"({"service":"apps","zone":"zone-0","state":"ready","address":")" + address +
         R"(","slots":)" + slots + R"(,"sequence":)" + sequence + "}";
}

std::string draw_value(std::mt19937_64& random) {
  std::string const nested = std::string(k_nesting, '[') + std::string(k_nesting, ']');
  std::array<std::string, 9> const values = {
      record_with("127.0.0.1:9", "8", "1"),
      record_with("127.0.0.1:99999", "8", "1"),
      record_with("127.0.0.1:0", "8", "1"),
      record_with("127.0.0.1:9", "1e999", "1"),
      record_with("127.0.0.1:9", "4294967296", "1"),
      record_with("127.0.0.1:9", "8", std::string(30, '9')),
      record_with("127.0.0.1:9", nested, "1"),
      nested,
      std::string("\xff\x00\x01", 3),
  };
  return values[random() % values.size()];
}

/// The first character is not one that servers' names begin with, so that no entry takes the place
/// of a server's.
std::string draw_name(std::mt19937_64& random) {
  constexpr std::string_view k_first = "!\"#$%&'()*+,/:;<=>?@[]^`{|} \t\r\n\x7f";
  std::string name(1, k_first[random() % k_first.size()]);
  std::size_t const length = 1 + random() % k_max_name_bytes;
  while (name.size() < length) name += static_cast<char>(1 + random() % k_last_ascii);
  return name;
}

}  // namespace

namespace {

/// Longer than a field of a message can be.
constexpr std::size_t k_overlong_bytes = 70'000;

/// Text that is no value of a header: overlong, or with a control character other than a tab.
std::string draw_unsendable(std::mt19937_64& random) {
  constexpr std::string_view k_controls = "\r\n\x01\x0b\x1b\x7f";
  if (random() % 4 == 0) return std::string(k_overlong_bytes, 'x');
  std::string line = "x\r\nX-Hidden: y\r\n\r\nPOST /hidden HTTP/1.1\r\n\r\n";
  if (random() % 2 == 0) return line;
  return std::string("a") + k_controls[random() % k_controls.size()] + "b";
}

std::string odd_job(std::mt19937_64& random, std::string const& id) {
  namespace json = boost::json;
  json::object item = {{"id", id}, {"path", "/jobs/run"}, {"body", ""}, {"tokens", 1}};
  std::string const text = draw_unsendable(random);
  switch (random() % 4) {
    case 0:
      item["id"] = text;
      break;
    case 1:
      item["path"] = "/jobs/\n" + text;
      break;
    case 2:
      item["headers"] = json::object{{"X-Odd", text}};
      break;
    default:
      item["scorer"] = json::object{
          {"id", text}, {"host", platform_cluster::k_host}, {"path", "/calls/x"}, {"body", ""}};
      break;
  }
  json::object const job = {{"step", 0},
                            {"model", platform_cluster::k_model},
                            {"min_version", 1},
                            {"desired", 1},
                            {"requests", json::array{std::move(item)}}};
  return json::serialize(job);
}

}  // namespace

std::size_t submit_odd_jobs(platform_cluster& system, std::mt19937_64 random, std::size_t count) {
  std::size_t taken = 0;
  for (std::size_t number = 0; number < count; ++number) {
    std::string const id = "odd-job-" + std::to_string(number);
    auto const answer = system.call(number % system.nodes(), http::verb::post, "/jobs/" + id, id,
                                    odd_job(random, id));
    if (!answer || answer.value().result() != http::status::bad_request) ++taken;
  }
  return taken;
}

void write_odd_entries(platform_cluster& system, std::mt19937_64 random, std::size_t count) {
  for (std::size_t number = 0; number < count; ++number) {
    std::string const key = "servers/" + draw_name(random);
    std::string const value = draw_value(random);
    system.on_platform([&] {
      system.store().put(key, value);
      return 0;
    });
  }
}

}  // namespace frostline::testing
