#include "engines/sse_parser.h"

#include "http/json_fields.h"

namespace frostline::engines {
namespace {

constexpr std::string_view k_data_prefix = "data: ";
constexpr std::string_view k_event_end = "\n\n";

boost::json::object const* first_choice(boost::json::object const& event) {
  auto const* choices = event.if_contains("choices");
  auto const* list = choices == nullptr ? nullptr : choices->if_array();
  if (list == nullptr || list->empty()) return nullptr;
  return list->front().if_object();
}

}  // namespace

std::vector<std::string> sse_parser::feed(std::string_view piece) {
  // The blank line that ends an event may have begun in the piece before.
  std::size_t const search_from = pending_.empty() ? 0 : pending_.size() - 1;
  pending_.append(piece);
  std::vector<std::string> payloads;
  std::size_t begin = 0;
  std::size_t end = pending_.find(k_event_end, search_from);
  while (end != std::string::npos) {
    std::string_view const event = std::string_view(pending_).substr(begin, end - begin);
    if (event.starts_with(k_data_prefix)) {
      payloads.emplace_back(event.substr(k_data_prefix.size()));
    }
    begin = end + k_event_end.size();
    end = pending_.find(k_event_end, begin);
  }
  pending_.erase(0, begin);
  return payloads;
}

std::optional<token_event> parse_token_event(std::string const& payload) {
  auto const event = parse_json_object(payload);
  if (!event) return std::nullopt;
  auto const* choice = first_choice(*event);
  auto const* extension = event->if_contains("frostline");
  auto const* provenance = extension == nullptr ? nullptr : extension->if_object();
  if (choice == nullptr || provenance == nullptr) return std::nullopt;
  token_event parsed;
  parsed.text = json_text(*choice, "text");
  parsed.version = static_cast<std::uint64_t>(json_number(*provenance, "version"));
  parsed.tokens = static_cast<std::uint32_t>(json_number(*provenance, "tokens"));
  parsed.finished = json_text(*choice, "finish_reason") == "stop";
  if (parsed.version == 0 && parsed.tokens > 0) return std::nullopt;
  return parsed;
}

}  // namespace frostline::engines
