/// @file Conversion of FlatBuffers messages to and from bytes and JSON.
#pragma once

#include <flatbuffers/flatbuffers.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace frostline::rpc {

/// Limits for untrusted buffers; a buffer that exceeds them counts as malformed.
inline constexpr flatbuffers::uoffset_t k_max_depth = 16;
inline constexpr flatbuffers::uoffset_t k_max_tables = 200'000;

/// Serializes a message from its native (object API) form.
template <class Native>
std::string encode(Native const& message) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Native::TableType::Pack(builder, &message));
  return {reinterpret_cast<char const*>(builder.GetBufferPointer()), builder.GetSize()};
}

/// Verifies and unpacks a message. @return std::nullopt if the bytes are not a valid message.
template <class Native>
std::optional<Native> decode(std::string_view bytes) {
  using table = typename Native::TableType;
  // The verifier requires an alignment that string data does not guarantee.
  std::vector<std::uint64_t> aligned((bytes.size() + 7) / 8);
  if (!bytes.empty()) std::memcpy(aligned.data(), bytes.data(), bytes.size());
  auto const* data = reinterpret_cast<std::uint8_t const*>(aligned.data());
  flatbuffers::Verifier verifier(data, bytes.size(), k_max_depth, k_max_tables);
  if (!verifier.VerifyBuffer<table>(nullptr)) return std::nullopt;
  Native message;
  flatbuffers::GetRoot<table>(data)->UnPackTo(&message);
  return message;
}

/// Converts messages between binary and JSON with the parsed schema.
class json_codec {
 public:
  json_codec();
  ~json_codec();

  /// @param type full table name, such as "frostline.rpc.PutTaskRequest".
  /// @param error receives the parser's error message if the conversion fails.
  std::optional<std::string> to_binary(std::string_view type, std::string const& json,
                                       std::string& error);
  /// @param compact omits line breaks and indentation.
  std::string to_json(std::string_view type, std::string const& binary, bool compact);

  /// Returns true if the schema declares the method with these message types.
  bool has_method(std::string_view service, std::string_view method, std::string_view request_type,
                  std::string_view response_type) const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Full table name of a native message type.
template <class Native>
std::string type_name() {
  return Native::TableType::GetFullyQualifiedName();
}

}  // namespace frostline::rpc
