// Small stand-ins of the users' platform for the cases of this review: the metadata store, model
// servers and application servers as PROTOCOL describes them, clients, and the gateways' processes.
// Blocking sockets, one thread per connection, loopback addresses only.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr char k_host[] = "ficu95.example";
constexpr char k_model[] = "daka510000";

std::string base64(std::string const& bytes);
std::string unbase64(std::string const& text);
void pause(milliseconds time);
std::uint16_t free_port();

/// record.txt: one line per event, with the milliseconds since the start of the case.
class record {
 public:
  explicit record(std::string const& path) : file_(path) {}
  void line(std::string const& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  steady::time_point begun_ = steady::now();
};

/// An HTTP/1.1 message as received. Names of headers are in lower case.
struct message {
  std::string method;
  std::string target;
  int status = 0;
  /// The message was read to its end.
  bool whole = false;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string header(std::string const& name) const;
};

/// A socket with the bytes that were read and not used yet.
class peer {
 public:
  explicit peer(int descriptor) : descriptor_(descriptor) {}
  ~peer();
  peer(peer const&) = delete;
  peer& operator=(peer const&) = delete;
  /// Reads one whole message. @return false at the end of the connection or an error.
  bool read(message& into, bool is_answer);
  bool write(std::string const& bytes);
  bool has_left() const;
  void reset();
  int descriptor() const { return descriptor_; }

 private:
  bool fill();
  bool take_line(std::string& line);
  bool take(std::size_t count, std::string& into);
  int descriptor_;
  std::string buffer_;
};

/// Listens at 127.0.0.1 and calls `serve` for each request, on the thread of its connection.
class http_server {
 public:
  using handler = std::function<bool(message const&, peer&)>;
  http_server(std::uint16_t port, handler serve);
  ~http_server() { end(); }
  /// Closes all connections and takes no more.
  void end();
  std::uint16_t port() const { return port_; }

 private:
  void accept_all();
  std::uint16_t port_;
  handler serve_;
  int listener_ = -1;
  std::atomic<bool> ended_{false};
  std::mutex mutex_;
  std::set<int> open_;
  std::thread thread_;
};

std::string answer_text(int status, std::string const& body,
                        std::vector<std::pair<std::string, std::string>> const& headers = {});

/// The platform's metadata store.
class store {
 public:
  store();
  std::uint16_t port() const { return server_->port(); }
  void put(std::string const& key, std::string const& value);
  void remove(std::string const& key);
  std::map<std::string, std::string> values(std::string const& prefix);
  /// The store answers nothing while this is set.
  std::atomic<bool> silent{false};

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0, created = 0, lease = 0;
  };
  struct change {
    std::uint64_t revision;
    std::string key;
    bool gone;
    item after;
  };
  bool serve(message const& request, peer& client);
  std::string watch(std::map<std::string, std::string> const& query);
  std::string transaction(json::object const& body);
  void put_locked(std::string const& key, std::string const& value, std::uint64_t lease);
  void remove_locked(std::string const& key);
  void expire_locked();
  static json::object item_json(std::string const& key, item const& stored);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::vector<change> history_;
  std::map<std::uint64_t, std::pair<milliseconds, steady::time_point>> leases_;
  std::uint64_t revision_ = 1;
  std::uint64_t next_lease_ = 1;
  std::unique_ptr<http_server> server_;
};

/// One request that a server ran.
struct run {
  std::string id;
  std::string method;
  std::string target;
  std::string body;
  /// The server has made its whole answer.
  bool finished = false;
  /// When the server stopped work on it.
  steady::time_point ended_at = steady::time_point::max();
};

/// A model server or an application server. Refuses what PROTOCOL says it refuses, runs the rest.
class server {
 public:
  server(store& platform, record& log, std::string id, std::string service, bool is_engine);
  std::vector<run> runs();
  /// The process of the server ends without a word. Its entry goes after three heartbeats.
  void crash();
  std::string const& id() const { return id_; }
  std::uint16_t port() const { return http_->port(); }
  int events = 8;
  milliseconds gap{20};
  /// Tokens that each event holds.
  std::uint64_t event_tokens = 4;
  milliseconds work{20};

 private:
  bool serve(message const& request, peer& client);
  bool stream(message const& request, peer& client, std::size_t place);
  /// Adds an event's tokens to the memory of the run at `place`. Where memory runs out, the newest
  /// run is put back: it waits until it fits, and its prompt is read anew. @return false if the
  /// client has left meanwhile.
  bool grow(std::size_t place, std::uint64_t tokens, peer& client);
  /// Notes the end of the run at `place` of `runs_`.
  void note_end(std::size_t place, bool finished);
  void announce();
  record& log_;
  store& platform_;
  std::string id_;
  std::string service_;
  bool is_engine_;
  std::mutex mutex_;
  std::vector<run> runs_;
  /// Tokens in memory of the runs under way, by place; the greatest place is the newest run.
  std::map<std::size_t, std::uint64_t> memory_;
  std::uint64_t version_ = 1;
  std::uint64_t sequence_ = 0;
  std::unique_ptr<http_server> http_;
};

/// One gateway: the program and the settings template of deploy/system.toml.
class gateway {
 public:
  gateway(record& log, std::string const& folder, int index, std::uint16_t store_port,
          std::string seeds, std::uint16_t peers_port, int status_interval_s);
  ~gateway();
  void start();
  /// Ends the process with SIGKILL if it runs.
  void kill();
  /// Sends SIGKILL; the end is noticed by restart_if_ended and is not counted as its own.
  void strike();
  /// Sends SIGTERM, as before a planned end.
  void stop();
  /// Starts the process again if it has ended by itself, as the platform does. @return true if so.
  bool restart_if_ended();
  bool is_ready();
  int own_ends() const { return own_ends_; }
  pid_t pid() const { return pid_; }
  std::uint16_t clients() const { return clients_; }
  std::string const& name() const { return name_; }

 private:
  record& log_;
  std::string folder_;
  std::string name_;
  std::uint16_t clients_;
  std::uint16_t ready_;
  std::atomic<pid_t> pid_{-1};
  int own_ends_ = 0;
  std::atomic<bool> struck_{false};
};

/// A small deployment: a store, four model servers, three application servers, three gateways.
class deployment {
 public:
  deployment(std::string const& folder, record& log, int status_interval_s = 120);
  /// Ends all processes. The stand-ins go with this process.
  void end();
  /// Waits until all gateways are ready. @return false after 20 s.
  bool start();
  /// The platform restarts processes that end by themselves, after a second.
  void keep_running();
  /// All gateways lose power at once, for `down`. Requires keep_running.
  void power_off(milliseconds down);
  int own_ends();
  std::string owner();
  gateway& node(std::size_t index) { return *gateways_.at(index); }
  std::size_t nodes() const { return gateways_.size(); }
  store& platform() { return store_; }
  server& engine(std::size_t index) { return *engines_.at(index); }
  server& app(std::size_t index) { return *apps_.at(index); }
  std::size_t engines() const { return engines_.size(); }
  /// Adds a model server, and splits the rollout route between all of them and a second service
  /// with a single server.
  void split_rollouts();
  /// Moves the rollout route to the second service alone, or back and takes that service out of the
  /// configuration.
  void move_rollouts(bool to_second);
  server& second_engine() { return *second_engine_; }
  std::vector<run> all_runs();
  /// @param first_weight of the rollout route's split in hundredths; 100: no second service.
  void put_config(int version, int first_weight = 80);

 private:
  std::string folder_;
  record& log_;
  store store_;
  std::vector<std::unique_ptr<server>> engines_;
  std::vector<std::unique_ptr<server>> apps_;
  std::unique_ptr<server> second_engine_;
  std::vector<std::unique_ptr<gateway>> gateways_;
  std::mutex mutex_;
  std::atomic<bool> ended_{false};
  /// No gateway is started while this is set.
  std::atomic<bool> dark_{false};
  std::thread keeper_;
};

/// Sends one request on a new connection. `status` is 0 without a whole answer; `body` then holds
/// what came of it.
message call(std::uint16_t port, std::string const& method, std::string const& target,
             std::string const& id, std::string const& body, milliseconds limit,
             std::vector<std::pair<std::string, std::string>> const& headers = {});

struct item_spec {
  std::string id;
  std::string group;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string path = "/pule252/3/91c4";
  /// Most tokens out; the prompt has 271.
  int most_out = 100;
};

std::string job_body(std::vector<item_spec> const& items);
/// Hands a batch job in as a client does: again at another node until a 202 or until `limit`.
/// @return the last status.
int submit(deployment& all, record& log, std::string const& id, std::string const& body,
           milliseconds limit);
/// Reads a batch job's results until all are listed or until `limit`. @return the results that are
/// listed; -1 if no node showed the job, -404 if the last answer was 404.
int read_results(deployment& all, record& log, std::string const& id, std::size_t total,
                 milliseconds limit);

}  // namespace review
