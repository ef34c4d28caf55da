#include "duty_standin.h"

#include <charconv>
#include <stdexcept>

#include "http/json_fields.h"

namespace frostline::testing {
namespace {

constexpr seconds k_silence{60};

std::uint64_t to_number(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::optional<duty_call> read_call(http::request const& message) {
  auto const body = parse_json_object(message.body());
  if (!body || message.target() != "/usage" || message.method() != http::verb::post) {
    return std::nullopt;
  }
  auto const* counts = body->if_contains("counts");
  if (counts == nullptr || !counts->is_object()) return std::nullopt;
  duty_call call;
  call.holder = std::string(http::header(message, "X-Frostline-Duty-Holder"));
  call.fence = to_number(http::header(message, "X-Frostline-Fencing-Token"));
  call.window = static_cast<std::uint64_t>(json_number(*body, "window"));
  call.at = boot_clock::now();
  for (auto const& [tenant, requests] : counts->as_object()) {
    call.counts[std::string(tenant)] = requests.to_number<std::uint64_t>();
  }
  if (call.holder.empty() || call.fence == 0 || call.window == 0) return std::nullopt;
  return call;
}

}  // namespace

duty_standin::duty_standin(asio::io_context& context, endpoint where)
    : server_(context, http::server_limits(),
              [this](http::request message) { return handle(std::move(message)); }) {
  std::string const failure = server_.listen(where);
  if (!failure.empty()) throw std::runtime_error(failure);
}

awaitable<http::response> duty_standin::handle(http::request message) {
  if (faults_.silent) {
    co_await wait_for(k_silence);
    co_return http::make_response(http::status::service_unavailable, "", "text/plain");
  }
  if (faults_.busy) {
    co_return http::make_response(http::status::too_many_requests, "", "text/plain");
  }
  auto const call = read_call(message);
  if (!call) co_return http::make_response(http::status::bad_request, "", "text/plain");
  calls_.push_back(*call);
  if (faults_.lost_answers > 0) {
    --faults_.lost_answers;
    co_await wait_for(k_silence);
  }
  co_return http::make_response(http::status::ok, "{}", http::k_json);
}

std::vector<std::string> duty_standin::violations(milliseconds holder_gap) const {
  std::vector<std::string> found;
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> windows;
  std::map<std::uint64_t, std::string> holders;
  std::map<std::string, time_point> last_call;
  std::uint64_t highest = 0;
  std::string before;
  for (duty_call const& call : calls_) {
    std::string const where = "window " + std::to_string(call.window) + " by " + call.holder;
    auto const [window, first] = windows.emplace(call.window, call.counts);
    if (!first && window->second != call.counts) found.push_back(where + ": another report");
    auto const [holder, fresh] = holders.emplace(call.fence, call.holder);
    if (!fresh && holder->second != call.holder) found.push_back(where + ": fence of two holders");
    if (call.fence < highest) found.push_back(where + ": fence goes back");
    auto const own = last_call.find(call.holder);
    bool const turns =
        own != last_call.end() && before != call.holder && call.at - own->second < holder_gap;
    if (turns) found.push_back(where + ": holders take turns");
    highest = std::max(highest, call.fence);
    last_call[call.holder] = call.at;
    before = call.holder;
  }
  return found;
}

std::uint64_t duty_standin::reported(std::string const& tenant) const {
  std::map<std::uint64_t, std::uint64_t> windows;
  for (duty_call const& call : calls_) {
    auto const found = call.counts.find(tenant);
    if (found != call.counts.end()) windows[call.window] = found->second;
  }
  std::uint64_t sum = 0;
  for (auto const& [window, requests] : windows) sum += requests;
  return sum;
}

}  // namespace frostline::testing
