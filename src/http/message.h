/// @file Boost.Beast HTTP messages whose bodies are held in memory.
#pragma once

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

namespace frostline::http {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

using request = bhttp::request<bhttp::string_body>;
using response = bhttp::response<bhttp::string_body>;
using bhttp::field;
using bhttp::status;
using bhttp::verb;

inline constexpr std::string_view k_json = "application/json";
inline constexpr std::string_view k_problem_json = "application/problem+json";
inline constexpr std::string_view k_flatbuffer = "application/x-flatbuffers";

inline std::string_view to_string_view(beast::string_view text) {
  return {text.data(), text.size()};
}

/// Returns the value of a header; empty if absent.
template <class Message>
std::string_view header(Message const& message, std::string_view name) {
  return to_string_view(message[beast::string_view(name.data(), name.size())]);
}

/// Creates a response. The server sets its length and version when it is sent.
inline response make_response(status code, std::string body, std::string_view type) {
  response answer(code, 11);
  answer.set(field::content_type, beast::string_view(type.data(), type.size()));
  answer.body() = std::move(body);
  return answer;
}

/// Creates a POST request; `type` is the content type of the body.
inline request make_post(std::string_view target, std::string body, std::string_view type) {
  request message(verb::post, beast::string_view(target.data(), target.size()), 11);
  message.set(field::content_type, beast::string_view(type.data(), type.size()));
  message.body() = std::move(body);
  return message;
}

inline request make_get(std::string_view target) {
  return {verb::get, beast::string_view(target.data(), target.size()), 11};
}

}  // namespace frostline::http
