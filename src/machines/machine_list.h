/// @file Client of the platform's machine list, which it polls with conditional requests.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/asio.h"
#include "base/endpoint.h"
#include "http/client.h"

namespace frostline::machines {

enum class machine_kind { engine, app, node, other };

struct machine {
  std::string id;
  machine_kind kind = machine_kind::other;
  endpoint address;
  /// Only set for nodes.
  std::string gossip_address;
  std::string zone;
  bool leaving = false;
  std::uint64_t incarnation = 0;
  /// Only set for engines: number of samples generated concurrently.
  std::uint32_t slots = 0;

  bool operator==(machine const&) const = default;
};

using machine_map = std::map<std::string, machine>;

/// Parses the platform's JSON document. Entries without a valid identifier and address are skipped.
/// @return nullopt if the document has no list of machines.
std::optional<machine_map> parse_machine_list(std::string const& json);

class machine_list {
 public:
  machine_list(asio::io_context& context, http::client& transport, endpoint service);

  void start();
  machine_map const& machines() const { return machines_; }
  machine const* find(std::string const& id) const;
  bool is_loaded() const { return loaded_; }
  void on_change(std::function<void()> listener) { listeners_.push_back(std::move(listener)); }

 private:
  awaitable<void> poll_loop();

  asio::io_context& context_;
  http::client& transport_;
  endpoint service_;
  machine_map machines_;
  std::string etag_;
  bool loaded_ = false;
  std::vector<std::function<void()>> listeners_;
};

}  // namespace frostline::machines
