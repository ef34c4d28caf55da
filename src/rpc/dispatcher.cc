#include "rpc/dispatcher.h"

namespace frostline::rpc {

std::vector<std::string> dispatcher::paths() const {
  std::vector<std::string> names;
  for (auto const& [path, entry] : methods_) names.push_back(path);
  return names;
}

awaitable<http::response> dispatcher::handle(http::request message) {
  auto const found = methods_.find(http::to_string_view(message.target()));
  if (found == methods_.end()) {
    co_return to_response({http::status::not_found, reason::unknown_method,
                           "no such method: " + std::string(message.target()), run_state::not_run});
  }
  if (message.method() != http::verb::post) {
    auto answer = to_response({http::status::method_not_allowed, reason::malformed_request,
                               "methods take POST", run_state::not_run});
    answer.set(http::field::allow, "POST");
    co_return answer;
  }
  method_entry const& entry = found->second;
  bool const is_json = http::header(message, "Content-Type").starts_with(http::k_json);
  std::string body = std::move(message.body());
  if (is_json && body.size() > k_max_json_bytes) {
    co_return to_response({http::status::payload_too_large, reason::over_limit,
                           "JSON bodies are at most 1 MiB long", run_state::not_run});
  }
  if (is_json) {
    std::string error;
    auto binary = codec_.to_binary(entry.request_type, body, error);
    if (!binary) co_return to_response(bad_request(error));
    body = std::move(*binary);
  }
  auto answer = co_await entry.call(std::move(body));
  if (!answer) co_return to_response(answer.error());
  if (!is_json) {
    co_return http::make_response(http::status::ok, std::move(answer.value()), http::k_flatbuffer);
  }
  std::string text = codec_.to_json(entry.response_type, answer.value(), true);
  co_return http::make_response(http::status::ok, std::move(text), http::k_json);
}

}  // namespace frostline::rpc
