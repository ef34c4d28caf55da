/// @file Fuzzes the decoders of binary and JSON RPC messages.

#include "config/store.h"
#include "rpc/codec.h"
#include "schema/frostline_generated.h"

using namespace frostline;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
  std::string const bytes(reinterpret_cast<char const*>(data), size);
  rpc::decode<rpc::SubmitGroupsRequestT>(bytes);
  rpc::decode<rpc::PullBatchRequestT>(bytes);
  rpc::decode<rpc::StoreBulkRequestT>(bytes);
  rpc::decode<rpc::GossipMessageT>(bytes);
  auto const task = rpc::decode<rpc::PutTaskRequestT>(bytes);
  // A decoded message must decode again after it is encoded.
  if (task && !rpc::decode<rpc::PutTaskRequestT>(rpc::encode(*task))) __builtin_trap();
  static rpc::json_codec codec;
  std::string error;
  codec.to_binary("frostline.rpc.PutTaskRequest", bytes, error);
  codec.to_binary("frostline.rpc.SubmitGroupsRequest", bytes, error);
  return 0;
}
