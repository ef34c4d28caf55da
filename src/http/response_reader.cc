#include "http/response_reader.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace frostline::http {
namespace {

constexpr unsigned k_first_status = 100;
constexpr unsigned k_last_status = 599;
constexpr std::string_view k_chunked = "chunked";

bool has_unknown_coding(response const& head) {
  auto const [begin, end] = head.equal_range(field::transfer_encoding);
  return std::any_of(begin, end, [](auto const& line) {
    return !boost::algorithm::iequals(to_string_view(line.value()), k_chunked);
  });
}

}  // namespace

void head_buffer::consume(std::size_t count) {
  auto const* const bytes = static_cast<char const*>(buffer_.data().data());
  for (char const byte : std::string_view(bytes, std::min(count, buffer_.size()))) {
    bool const is_blank = byte == ' ' || byte == '\t';
    has_folded_line_ = has_folded_line_ || (after_line_end_ && is_blank);
    after_line_end_ = byte == '\n';
  }
  buffer_.consume(count);
}

beast::error_code find_head_error(response const& head, bool has_folded_line) {
  unsigned const status = head.result_int();
  if (status < k_first_status || status > k_last_status) return bhttp::error::bad_status;
  if (has_unknown_coding(head)) return bhttp::error::bad_transfer_encoding;
  if (has_folded_line) return bhttp::error::bad_obs_fold;
  return {};
}

}  // namespace frostline::http
