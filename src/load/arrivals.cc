#include "load/arrivals.h"

#include <algorithm>
#include <fstream>
#include <random>

#include "http/json_fields.h"

namespace frostline::load {
namespace {

namespace json = boost::json;

constexpr std::uint64_t k_max_amount = 100'000;

}  // namespace

trace draw_arrivals(arrival_options const& options) {
  std::mt19937_64 random(options.seed);
  std::exponential_distribution<double> gap(options.calls_per_second);
  std::bernoulli_distribution at_most_once(options.at_most_once_share);
  std::chrono::duration<double> const end = options.duration;
  trace calls;
  for (double at = gap(random); at < end.count(); at += gap(random)) {
    arrival call;
    call.offset =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(at));
    call.at_most_once = at_most_once(random);
    call.amount = random() % k_max_amount;
    calls.push_back(call);
  }
  return calls;
}

bool write_trace(std::string const& path, trace const& calls) {
  std::ofstream file(path);
  for (arrival const& call : calls) {
    json::object const line{
        {"offset_us", call.offset.count()}, {"single", call.at_most_once}, {"amount", call.amount}};
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
    arrival call;
    call.offset = std::chrono::microseconds(json_number(*parsed, "offset_us"));
    call.at_most_once = json_flag(*parsed, "single");
    call.amount = static_cast<std::uint64_t>(json_number(*parsed, "amount"));
    calls.push_back(call);
  }
  return calls;
}

}  // namespace frostline::load
