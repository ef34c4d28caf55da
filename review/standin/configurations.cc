#include "configurations.h"

#include "deployment.h"

namespace frostline::review {
namespace {

std::string join(std::vector<std::string> const& parts) {
  std::string all;
  for (std::string const& part : parts) all += (all.empty() ? "" : ",") + part;
  return all;
}

std::string route(std::string const& name, std::string const& path_prefix, std::string const& rest,
                  std::string const& target) {
  return R"({"name":")" + name + R"(","host":")" + k_host + R"(","path_prefix":")" + path_prefix +
         R"(",)" + rest + "," + target + "}";
}

}  // namespace

std::string rollout_route(std::string const& path_prefix, std::string const& target,
                          bool single_version) {
  std::string rest = R"("kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,)"
                     R"("max_attempts":3,"due_ms":7500,"max_queue_s":40)";
  if (single_version) rest += R"(,"single_version":true)";
  return route("rollout", path_prefix, rest, target);
}

std::string streaming_route(std::string const& path_prefix, std::string const& target) {
  return route("stream", path_prefix,
               R"("kind":"streaming","timeout_ms":5000,"target_latency_ms":400,"priority":1,)"
               R"("max_attempts":3)",
               target);
}

std::string safe_route(std::string const& path_prefix, std::string const& target) {
  return route("calls", path_prefix,
               R"("kind":"safe","timeout_ms":1500,"target_latency_ms":150,"priority":2,)"
               R"("max_attempts":3)",
               target);
}

std::string application_service(std::string const& name) {
  return R"({"name":")" + name + R"(","health_path":"/health","max_conns":110})";
}

std::string model_service(std::string const& name, std::uint32_t slots) {
  return R"({"name":")" + name + R"(","health_path":"/health","max_conns":150,"engine":{"slots":)" +
         std::to_string(slots) +
         R"(,"kv_capacity":100000,)"
         R"("models":[{"name":")" +
         k_model + R"("}]}})";
}

std::string configuration(std::uint64_t version, std::vector<std::string> const& routes,
                          std::vector<std::string> const& services) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + join(routes) +
         R"(],"services":[)" + join(services) +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

}  // namespace frostline::review
