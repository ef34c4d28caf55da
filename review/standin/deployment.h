/// @file A small deployment: gateways started with the command of the deploy file, and stand-ins of
/// the platform's store and servers on a thread of this process.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/asio.h"
#include "http/message.h"
#include "process.h"
#include "record.h"
#include "server.h"
#include "store_standin.h"

namespace frostline::review {

/// Bounds of the small deployments.
inline constexpr milliseconds k_contact_time{3000};
inline constexpr milliseconds k_configuration_time{2000};
inline constexpr milliseconds k_settle_time{1000};
inline constexpr milliseconds k_cancel_time{3000};
inline constexpr milliseconds k_lease_time{3000};

inline constexpr char k_host[] = "floor.example";
inline constexpr char k_model[] = "model-a";

struct deployment_options {
  std::string repository;
  std::uint32_t gateways = 3;
};

/// An answer to a client; status 0 if none was complete.
struct client_answer {
  unsigned status = 0;
  std::string body;
  std::string stamp;
  /// Time after which the client may try again.
  milliseconds retry_after{0};
};

struct job_item {
  std::string id;
  std::string group;
};

class deployment {
 public:
  deployment(deployment_options options, record& log);
  ~deployment();
  deployment(deployment const&) = delete;
  deployment& operator=(deployment const&) = delete;

  /// Adds a server and announces it in the store. Its address and zone are set here.
  server& add_server(server_options options);
  /// Writes the operator's configuration. @return the time of the store's acknowledgement.
  std::int64_t put_configuration(std::string const& text);
  /// Names a version of the model, as a trainer does.
  void name_version(std::uint64_t version);
  /// Crashes a server, which starts again after `down_time`. Its record is replaced then.
  void crash_server(server& target, milliseconds down_time);
  void start_gateways();
  std::uint32_t gateways() const { return options_.gateways; }

  /// Sends one request to a gateway on a new connection and waits for its answer.
  client_answer call(std::uint32_t gateway, http::verb method, std::string const& path,
                     std::string const& request, std::string const& body, milliseconds deadline);
  /// Submits a job under `path`. The trainer waits for all its groups.
  /// @param scorer_path path under which the items' reward calls are sent; empty for no scorers.
  client_answer submit(std::uint32_t gateway, std::string const& path, std::string const& job,
                       std::vector<job_item> const& items, std::string const& scorer_path = "");
  /// Reads a job's results from a position on; nothing if the status is not 200.
  std::optional<boost::json::object> results(std::uint32_t gateway, std::string const& job,
                                             std::uint64_t after);

  /// Runs `work` on the stand-ins' thread and returns its value.
  template <class Work>
  auto on_platform(Work work) {
    std::packaged_task<decltype(work())()> task(std::move(work));
    auto outcome = task.get_future();
    asio::post(context_, [&task] { task(); });
    return outcome.get();
  }

 private:
  std::string settings_of(std::uint32_t gateway) const;
  /// Writes the record of a server's current incarnation and removes that of an earlier one.
  void announce(server const& target);
  endpoint free_endpoint() const;

  deployment_options options_;
  record& record_;
  std::string folder_;
  /// Loopback address of this process alone, so that outgoing connections take none of its ports.
  std::string address_;
  asio::io_context context_{1};
  endpoint store_address_;
  std::unique_ptr<testing::store_standin> store_;
  std::vector<std::unique_ptr<server>> servers_;
  /// Identifiers under which the servers are announced.
  std::map<server const*, std::string> announced_;
  std::thread thread_;
  struct gateway_addresses {
    endpoint clients;
    endpoint readiness;
    endpoint peers;
  };
  std::vector<gateway_addresses> addresses_;
  std::vector<std::unique_ptr<testing::child_process>> processes_;
};

/// Waits until `condition` holds. @return false if it does not within `timeout`.
bool wait_until(milliseconds timeout, std::function<bool()> const& condition);
void pause(milliseconds duration);

}  // namespace frostline::review
