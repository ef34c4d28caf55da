#include "kv/codec.h"

#include <charconv>

#include "base/encoding.h"

namespace frostline::kv {
namespace {

namespace json = boost::json;

std::optional<json::object> parse_object(std::string_view text) {
  boost::system::error_code failure;
  json::value parsed = json::parse(text, failure);
  if (failure || !parsed.is_object()) return std::nullopt;
  return std::move(parsed.as_object());
}

json::object const* find_object(json::object const& object, std::string_view key) {
  auto const* found = object.if_contains(key);
  return found == nullptr ? nullptr : found->if_object();
}

json::array const* find_array(json::object const& object, std::string_view key) {
  auto const* found = object.if_contains(key);
  return found == nullptr ? nullptr : found->if_array();
}

bool read_flag(json::object const& object, std::string_view key) {
  auto const* found = object.if_contains(key);
  return found != nullptr && found->is_bool() && found->as_bool();
}

revision header_revision(json::object const& object) {
  auto const* header = find_object(object, "header");
  return header == nullptr ? 0 : read_number(*header, "revision");
}

key_value read_entry(json::object const& object) {
  key_value entry;
  entry.key = read_bytes(object, "key");
  entry.value = read_bytes(object, "value");
  entry.create_revision = read_number(object, "create_revision");
  entry.mod_revision = read_number(object, "mod_revision");
  entry.lease = read_number(object, "lease");
  return entry;
}

void read_entries(json::object const& range, std::vector<key_value>& into) {
  auto const* entries = find_array(range, "kvs");
  if (entries == nullptr) return;
  for (json::value const& entry : *entries) {
    if (entry.is_object()) into.push_back(read_entry(entry.as_object()));
  }
}

json::object encode_compare(compare const& condition) {
  return {{"target", "MOD"},
          {"result", "EQUAL"},
          {"key", base64_encode(condition.key)},
          {"mod_revision", std::to_string(condition.mod_revision)}};
}

json::object encode_operation(operation const& change) {
  if (change.kind == operation_kind::remove) {
    return {{"request_delete_range", json::object{{"key", base64_encode(change.key)}}}};
  }
  json::object put{{"key", base64_encode(change.key)}, {"value", base64_encode(change.value)}};
  if (change.lease != 0) put["lease"] = std::to_string(change.lease);
  return {{"request_put", std::move(put)}};
}

}  // namespace

std::uint64_t read_number(json::object const& object, std::string_view key) {
  auto const* found = object.if_contains(key);
  if (found == nullptr) return 0;
  if (found->is_int64()) return static_cast<std::uint64_t>(found->as_int64());
  if (found->is_uint64()) return found->as_uint64();
  if (!found->is_string()) return 0;
  std::uint64_t number = 0;
  auto const& digits = found->as_string();
  std::from_chars(digits.data(), digits.data() + digits.size(), number);
  return number;
}

std::string read_bytes(json::object const& object, std::string_view key) {
  auto const* found = object.if_contains(key);
  if (found == nullptr || !found->is_string()) return {};
  auto const& text = found->as_string();
  return base64_decode({text.data(), text.size()}).value_or(std::string());
}

json::object write_entry(key_value const& entry) {
  json::object object{{"key", base64_encode(entry.key)},
                      {"value", base64_encode(entry.value)},
                      {"create_revision", std::to_string(entry.create_revision)},
                      {"mod_revision", std::to_string(entry.mod_revision)},
                      {"version", "1"}};
  if (entry.lease != 0) object["lease"] = std::to_string(entry.lease);
  return object;
}

std::string prefix_end(std::string_view prefix) {
  std::string end(prefix);
  while (!end.empty()) {
    auto const last = static_cast<unsigned char>(end.back());
    if (last != 0xff) {
      end.back() = static_cast<char>(last + 1);
      return end;
    }
    end.pop_back();
  }
  return std::string(1, '\0');
}

std::string encode_range(std::string_view key, std::string_view range_end) {
  json::object body{{"key", base64_encode(key)}};
  if (!range_end.empty()) body["range_end"] = base64_encode(range_end);
  return json::serialize(body);
}

std::string encode_transaction(transaction const& change) {
  json::array compares;
  for (compare const& condition : change.compares) compares.push_back(encode_compare(condition));
  json::array success;
  for (operation const& write : change.on_success) success.push_back(encode_operation(write));
  json::array failure;
  for (std::string const& key : change.read_on_failure) {
    failure.push_back(json::object{{"request_range", json::object{{"key", base64_encode(key)}}}});
  }
  json::object const body{{"compare", std::move(compares)},
                          {"success", std::move(success)},
                          {"failure", std::move(failure)}};
  return json::serialize(body);
}

std::string encode_watch(std::string_view prefix, revision start) {
  json::object const body{{"create_request",
                           {{"key", base64_encode(prefix)},
                            {"range_end", base64_encode(prefix_end(prefix))},
                            {"start_revision", std::to_string(start)},
                            {"progress_notify", true}}}};
  return json::serialize(body);
}

std::optional<range_answer> decode_range(std::string_view text) {
  auto const object = parse_object(text);
  if (!object || header_revision(*object) == 0) return std::nullopt;
  range_answer answer;
  answer.store_revision = header_revision(*object);
  read_entries(*object, answer.entries);
  return answer;
}

std::optional<transaction_answer> decode_transaction(std::string_view text) {
  auto const object = parse_object(text);
  if (!object || header_revision(*object) == 0) return std::nullopt;
  transaction_answer answer;
  answer.store_revision = header_revision(*object);
  answer.succeeded = read_flag(*object, "succeeded");
  auto const* responses = find_array(*object, "responses");
  if (responses == nullptr) return answer;
  for (json::value const& response : *responses) {
    if (!response.is_object()) continue;
    auto const* range = find_object(response.as_object(), "response_range");
    if (range != nullptr) read_entries(*range, answer.read);
  }
  return answer;
}

std::optional<watch_batch> decode_watch(std::string_view text) {
  auto const object = parse_object(text);
  if (!object) return std::nullopt;
  auto const* body = find_object(*object, "result");
  if (body == nullptr) return std::nullopt;
  watch_batch batch;
  batch.store_revision = header_revision(*body);
  batch.compacted = read_flag(*body, "canceled") && read_number(*body, "compact_revision") > 0;
  auto const* events = find_array(*body, "events");
  if (events == nullptr) return batch;
  for (json::value const& item : *events) {
    if (!item.is_object()) continue;
    json::object const& event = item.as_object();
    watch_event decoded;
    auto const* type = event.if_contains("type");
    decoded.deleted = type != nullptr && type->is_string() && type->as_string() == "DELETE";
    auto const* entry = find_object(event, "kv");
    if (entry != nullptr) decoded.entry = read_entry(*entry);
    batch.events.push_back(std::move(decoded));
  }
  return batch;
}

}  // namespace frostline::kv
