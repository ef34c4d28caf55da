#include "deadly_requests.h"

namespace frostline::testing {
namespace {

constexpr char k_mark[] = "deadly";
constexpr milliseconds k_patience{800};
/// Between two tries: some of them come while servers are back.
constexpr milliseconds k_pause{40};
constexpr std::size_t k_crashes_allowed = 3;
constexpr std::size_t k_retries_allowed = 3;
constexpr std::size_t k_tries_a_node = 3;

}  // namespace

deadly_requests::deadly_requests(platform_cluster& system, std::string key, std::uint64_t seed)
    : system_(system), key_(std::move(key)) {
  system_.on_platform([this] {
    for (std::size_t index = 0; index < system_.apps(); ++index) {
      system_.app(index).faults().crash_text = k_mark;
    }
    return 0;
  });
  sender_ = std::thread([this, seed] { send_loop(seed); });
}

deadly_requests::~deadly_requests() { stop(); }

void deadly_requests::switch_on() {
  ++count_;
  on_ = true;
}

void deadly_requests::stop() {
  ended_ = true;
  if (sender_.joinable()) sender_.join();
}

std::string deadly_requests::body_of(std::size_t request) {
  return std::string(k_mark) + "-" + std::to_string(request);
}

void deadly_requests::send(std::size_t request, std::size_t node, bool repeatable) {
  std::string const id = body_of(request) + "-" + std::to_string(next_id_++);
  std::string const path = repeatable ? "/calls/x" : "/once/x";
  // What it is answered is judged by what reaches the servers.
  static_cast<void>(
      system_.call(node, http::verb::post, path, id, body_of(request), k_patience, key_));
}

void deadly_requests::send_loop(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!ended_) {
    if (on_) {
      std::size_t const request = count_;
      send(request, random() % system_.nodes(), request % 2 == 0);
    }
    std::this_thread::sleep_for(k_pause);
  }
}

std::size_t deadly_requests::crashes(std::size_t request) {
  return system_.on_platform([this, request] {
    std::size_t found = 0;
    for (std::size_t index = 0; index < system_.apps(); ++index) {
      for (arrival const& one : system_.app(index).arrivals()) {
        if (one.crashed && one.body == body_of(request)) ++found;
      }
    }
    return found;
  });
}

std::vector<broken_promise> deadly_requests::check(std::function<void()> const& wait_for_service) {
  std::vector<broken_promise> broken;
  for (std::size_t request = 1; request <= count_; ++request) {
    std::size_t const before = crashes(request);
    if (before < k_crashes_allowed) continue;
    ++judged_;
    for (std::size_t number = 0; number < k_tries_a_node * system_.nodes(); ++number) {
      wait_for_service();
      send(request, number % system_.nodes(), request % 2 == 0);
    }
    std::size_t const more = crashes(request) - before;
    if (more <= k_retries_allowed) continue;
    broken.push_back({"few retries after three crashes", body_of(request) + ": " +
                                                             std::to_string(before) + ", then " +
                                                             std::to_string(more) + " more"});
  }
  return broken;
}

}  // namespace frostline::testing
