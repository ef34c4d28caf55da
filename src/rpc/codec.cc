#include "rpc/codec.h"

#include <flatbuffers/idl.h>

#include "schema/schema_text_generated.h"

namespace frostline::rpc {

struct json_codec::state {
  flatbuffers::Parser parser;
};

json_codec::json_codec() : state_(std::make_unique<state>()) {
  flatbuffers::Parser& parser = state_->parser;
  parser.opts.skip_unexpected_fields_in_json = true;
  parser.opts.strict_json = true;
  parser.opts.output_default_scalars_in_json = true;
  parser.opts.indent_step = 2;
  parser.Parse(schema::k_schema_text);
}

json_codec::~json_codec() = default;

std::optional<std::string> json_codec::to_binary(std::string_view type, std::string const& json,
                                                 std::string& error) {
  flatbuffers::Parser& parser = state_->parser;
  if (!parser.SetRootType(std::string(type).c_str())) {
    error = "no such type";
    return std::nullopt;
  }
  if (!parser.Parse(json.c_str())) {
    error = parser.error_;
    return std::nullopt;
  }
  return std::string(reinterpret_cast<char const*>(parser.builder_.GetBufferPointer()),
                     parser.builder_.GetSize());
}

std::string json_codec::to_json(std::string_view type, std::string const& binary, bool compact) {
  flatbuffers::Parser& parser = state_->parser;
  parser.SetRootType(std::string(type).c_str());
  parser.opts.indent_step = compact ? -1 : 2;
  std::string text;
  flatbuffers::GenerateText(parser, binary.data(), &text);
  return text;
}

bool json_codec::has_method(std::string_view service, std::string_view method,
                            std::string_view request_type, std::string_view response_type) const {
  auto const* declared = state_->parser.services_.Lookup("frostline.rpc." + std::string(service));
  if (declared == nullptr) return false;
  auto const* call = declared->calls.Lookup(std::string(method));
  if (call == nullptr) return false;
  auto const full_name = [](flatbuffers::StructDef const& table) {
    return table.defined_namespace->GetFullyQualifiedName(table.name);
  };
  return full_name(*call->request) == request_type && full_name(*call->response) == response_type;
}

}  // namespace frostline::rpc
