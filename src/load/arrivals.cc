#include "load/arrivals.h"

#include <algorithm>
#include <fstream>
#include <random>

#include "http/json_fields.h"

namespace frostline::load {
namespace {

namespace json = boost::json;

constexpr std::uint64_t k_most_amount = 100'000;

}  // namespace

trace draw_arrivals(arrival_options const& options) {
  std::mt19937_64 random(options.seed);
  std::exponential_distribution<double> gap(options.calls_per_second);
  std::bernoulli_distribution single(options.single_share);
  std::chrono::duration<double> const end = options.duration;
  trace calls;
  for (double at = gap(random); at < end.count(); at += gap(random)) {
    arrival one;
    one.offset =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(at));
    one.single = single(random);
    one.amount = random() % k_most_amount;
    calls.push_back(one);
  }
  return calls;
}

bool write_trace(std::string const& path, trace const& calls) {
  std::ofstream file(path);
  for (arrival const& one : calls) {
    json::object const line{
        {"offset_us", one.offset.count()}, {"single", one.single}, {"amount", one.amount}};
    file << json::serialize(line) << '\n';
  }
  file.flush();
  return file.good();
}

std::optional<trace> read_trace(std::string const& path) {
  std::ifstream file(path);
  if (!file) return std::nullopt;
  trace calls;
  std::string line;
  while (std::getline(file, line)) {
    auto const parsed = parse_json_object(line);
    if (!parsed || !parsed->contains("offset_us")) return std::nullopt;
    arrival one;
    one.offset = std::chrono::microseconds(json_number(*parsed, "offset_us"));
    one.single = json_flag(*parsed, "single");
    one.amount = static_cast<std::uint64_t>(json_number(*parsed, "amount"));
    calls.push_back(one);
  }
  return calls;
}

}  // namespace frostline::load
