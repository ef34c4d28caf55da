#include "http/target.h"

#include <boost/url/encode.hpp>
#include <boost/url/pct_string_view.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace frostline::http {

namespace urls = boost::urls;

std::string make_target(std::string_view path, std::initializer_list<query_parameter> query) {
  constexpr auto k_literal = urls::unreserved_chars + '/';
  std::string target(path);
  char separator = '?';
  for (query_parameter const& parameter : query) {
    target += separator;
    target += parameter.name;
    target += '=';
    target += urls::encode({parameter.value.data(), parameter.value.size()}, k_literal);
    separator = '&';
  }
  return target;
}

std::string percent_decode(std::string_view encoded) {
  auto const checked = urls::make_pct_string_view({encoded.data(), encoded.size()});
  return checked ? checked.value().decode() : std::string(encoded);
}

}  // namespace frostline::http
