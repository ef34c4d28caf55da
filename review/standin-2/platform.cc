#include "platform.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

constexpr char k_alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr char k_engine_service[] = "huvo11a";
constexpr char k_second_engine_service[] = "dele69a";
constexpr char k_app_service[] = "wuno96b";
constexpr milliseconds k_drain_after{20};

std::string lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

std::string percent_decode(std::string const& text) {
  std::string out;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      out += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
      at += 2;
    } else {
      out += text[at];
    }
  }
  return out;
}

std::map<std::string, std::string> query_of(std::string const& target) {
  std::map<std::string, std::string> query;
  auto const mark = target.find('?');
  if (mark == std::string::npos) return query;
  std::stringstream parts(target.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    auto const equals = part.find('=');
    if (equals == std::string::npos) continue;
    query[part.substr(0, equals)] = percent_decode(part.substr(equals + 1));
  }
  return query;
}

std::uint64_t number(json::object const& body, char const* name) {
  auto const* found = body.if_contains(name);
  return found != nullptr && found->is_number() ? found->to_number<std::uint64_t>() : 0;
}

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int connect_to(std::uint16_t port, milliseconds limit) {
  int const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in const address = loopback(port);
  if (::connect(made, reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0) {
    ::close(made);
    return -1;
  }
  timeval time{};
  time.tv_sec = limit.count() / 1000;
  time.tv_usec = (limit.count() % 1000) * 1000;
  ::setsockopt(made, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
  ::setsockopt(made, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
  return made;
}

}  // namespace

std::string base64(std::string const& bytes) {
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    std::size_t const count = std::min<std::size_t>(3, bytes.size() - at);
    for (std::size_t part = 0; part < 3; ++part) {
      group = group << 8 | (part < count ? static_cast<unsigned char>(bytes[at + part]) : 0U);
    }
    for (std::size_t part = 0; part < 4; ++part) {
      text += part <= count ? k_alphabet[group >> (18 - 6 * part) & 63] : '=';
    }
  }
  return text;
}

std::string unbase64(std::string const& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (char c : text) {
    char const* const found = c == '=' ? nullptr : std::strchr(k_alphabet, c);
    if (found == nullptr) break;
    group = group << 6 | static_cast<std::uint32_t>(found - k_alphabet);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>(group >> bits & 255);
  }
  return bytes;
}

void pause(milliseconds time) { std::this_thread::sleep_for(time); }

std::uint16_t free_port() {
  // Below the range from which the kernel takes the ports of outgoing connections, so that none of
  // these gets the port before its server is started.
  constexpr unsigned k_first = 20000;
  constexpr unsigned k_count = 12000;
  static unsigned next = static_cast<unsigned>(::getpid()) * 37;
  for (;;) {
    auto const port = static_cast<std::uint16_t>(k_first + next++ % k_count);
    int const probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in const address = loopback(port);
    bool const is_free =
        ::bind(probe, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0;
    ::close(probe);
    if (is_free) return port;
  }
}

void record::line(std::string const& text) {
  std::lock_guard const lock(mutex_);
  auto const at = std::chrono::duration_cast<milliseconds>(steady::now() - begun_).count();
  file_ << at << " ms  " << text << '\n' << std::flush;
}

std::string message::header(std::string const& name) const {
  auto const found = headers.find(lower(name));
  return found == headers.end() ? std::string() : found->second;
}

peer::~peer() { ::close(descriptor_); }

void peer::reset() {
  linger const at_once{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bool peer::fill() {
  char bytes[65536];
  ssize_t const count = ::recv(descriptor_, bytes, sizeof bytes, 0);
  if (count <= 0) return false;
  buffer_.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool peer::take_line(std::string& line) {
  std::size_t end = buffer_.find('\n');
  while (end == std::string::npos) {
    if (!fill()) return false;
    end = buffer_.find('\n');
  }
  line = buffer_.substr(0, end);
  buffer_.erase(0, end + 1);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  return true;
}

bool peer::take(std::size_t count, std::string& into) {
  while (buffer_.size() < count) {
    if (!fill()) return false;
  }
  into += buffer_.substr(0, count);
  buffer_.erase(0, count);
  return true;
}

bool peer::read(message& into, bool is_answer) {
  into = message();
  std::string line;
  if (!take_line(line)) return false;
  std::stringstream first(line);
  std::string word;
  if (is_answer) {
    first >> word >> into.status;
  } else {
    first >> into.method >> into.target;
  }
  while (true) {
    if (!take_line(line)) return false;
    if (line.empty()) break;
    auto const colon = line.find(':');
    if (colon == std::string::npos) return false;
    std::size_t const begin = line.find_first_not_of(' ', colon + 1);
    into.headers[lower(line.substr(0, colon))] =
        begin == std::string::npos ? std::string() : line.substr(begin);
  }
  if (into.header("transfer-encoding") == "chunked") {
    while (true) {
      if (!take_line(line)) return false;
      auto const size = static_cast<std::size_t>(std::strtoul(line.c_str(), nullptr, 16));
      if (size > 0 && !take(size, into.body)) return false;
      if (!take_line(line)) return false;
      if (size == 0) return true;
    }
  }
  std::string const length = into.header("content-length");
  if (length.empty()) return true;
  return take(static_cast<std::size_t>(std::strtoul(length.c_str(), nullptr, 10)), into.body);
}

bool peer::write(std::string const& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t const count =
        ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool peer::has_left() const {
  pollfd state{descriptor_, POLLIN | POLLRDHUP, 0};
  ::poll(&state, 1, 0);
  return (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

http_server::http_server(std::uint16_t port, handler serve)
    : port_(port), serve_(std::move(serve)) {
  listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const yes = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in const address = loopback(port_);
  bool const bound =
      ::bind(listener_, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0;
  if (!bound || ::listen(listener_, 512) != 0) throw std::runtime_error("can't listen");
  thread_ = std::thread([this] { accept_all(); });
}

void http_server::end() {
  if (ended_.exchange(true)) return;
  ::shutdown(listener_, SHUT_RDWR);
  thread_.join();
  ::close(listener_);
  std::lock_guard const lock(mutex_);
  for (int descriptor : open_) ::shutdown(descriptor, SHUT_RDWR);
}

void http_server::accept_all() {
  while (!ended_) {
    int const accepted = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    int const yes = 1;
    ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    {
      std::lock_guard const lock(mutex_);
      open_.insert(accepted);
    }
    std::thread([this, accepted] {
      peer client(accepted);
      message request;
      while (!ended_ && client.read(request, false)) {
        if (ended_ || !serve_(request, client)) break;
      }
      std::lock_guard const lock(mutex_);
      open_.erase(accepted);
    }).detach();
  }
}

std::string answer_text(int status, std::string const& body,
                        std::vector<std::pair<std::string, std::string>> const& headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
  for (auto const& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

store::store() {
  server_ = std::make_unique<http_server>(
      free_port(), [this](message const& request, peer& client) { return serve(request, client); });
}

void store::put(std::string const& key, std::string const& value) {
  std::lock_guard const lock(mutex_);
  put_locked(key, value, 0);
}

std::map<std::string, std::string> store::values(std::string const& prefix) {
  std::lock_guard const lock(mutex_);
  std::map<std::string, std::string> found;
  for (auto const& [key, stored] : items_) {
    if (key.starts_with(prefix)) found[key] = stored.value;
  }
  return found;
}

void store::remove(std::string const& key) {
  std::lock_guard const lock(mutex_);
  remove_locked(key);
}

void store::put_locked(std::string const& key, std::string const& value, std::uint64_t lease) {
  item& stored = items_[key];
  stored.revision = ++revision_;
  if (stored.created == 0) stored.created = revision_;
  stored.value = value;
  stored.lease = lease;
  history_.push_back({revision_, key, false, stored});
  changed_.notify_all();
}

void store::remove_locked(std::string const& key) {
  if (items_.erase(key) == 0) return;
  history_.push_back({++revision_, key, true, {}});
  changed_.notify_all();
}

void store::expire_locked() {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.second > steady::now()) {
      ++lease;
      continue;
    }
    std::vector<std::string> gone;
    for (auto const& [key, stored] : items_) {
      if (stored.lease == lease->first) gone.push_back(key);
    }
    for (std::string const& key : gone) remove_locked(key);
    lease = leases_.erase(lease);
  }
}

json::object store::item_json(std::string const& key, item const& stored) {
  json::object body;
  body["key"] = key;
  body["value"] = base64(stored.value);
  body["revision"] = stored.revision;
  body["created"] = stored.created;
  body["lease"] = stored.lease;
  return body;
}

std::string store::watch(std::map<std::string, std::string> const& query) {
  auto const value = [&](char const* name) {
    auto const found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  };
  std::string const prefix = value("path_prefix");
  std::uint64_t const after = std::strtoull(value("after_rev").c_str(), nullptr, 10);
  auto const until = steady::now() + milliseconds(std::atoi(value("wait_ms").c_str()));
  std::unique_lock lock(mutex_);
  json::array events;
  while (true) {
    expire_locked();
    for (change const& entry : history_) {
      if (entry.revision <= after || !entry.key.starts_with(prefix)) continue;
      json::object event = item_json(entry.key, entry.after);
      event["revision"] = entry.revision;
      if (entry.gone) event["gone"] = true;
      events.push_back(std::move(event));
    }
    if (!events.empty() || steady::now() >= until) break;
    changed_.wait_until(lock, std::min(until, steady::now() + k_drain_after));
  }
  json::object body;
  body["events"] = std::move(events);
  body["at"] = revision_;
  return answer_text(200, json::serialize(body));
}

std::string store::transaction(json::object const& body) {
  json::array rows;
  bool holds = true;
  for (json::value const& row : body.at("expected").as_array()) {
    std::string const key(row.at("key").as_string());
    auto const found = items_.find(key);
    item const stored = found == items_.end() ? item() : found->second;
    if (stored.revision != number(row.as_object(), "revision")) holds = false;
    rows.push_back(item_json(key, stored));
  }
  if (!holds) return answer_text(412, json::serialize(json::object{{"requests", rows}}));
  for (json::value const& put : body.at("put").as_array()) {
    std::string const key(put.at("key").as_string());
    std::uint64_t const lease = number(put.as_object(), "lease");
    if (lease != 0 && !leases_.contains(lease)) return answer_text(404, "{}");
    // The limits that the pages and the settings name.
    if (key.size() > 200) return answer_text(400, "{}");
    if (unbase64(std::string(put.at("value").as_string())).size() > 1048576)
      return answer_text(400, "{}");
  }
  for (json::value const& put : body.at("put").as_array()) {
    put_locked(std::string(put.at("key").as_string()),
               unbase64(std::string(put.at("value").as_string())),
               number(put.as_object(), "lease"));
  }
  for (json::value const& key : body.at("remove").as_array()) {
    remove_locked(std::string(key.as_string()));
  }
  return answer_text(200, json::serialize(json::object{{"revision", revision_}}));
}

bool store::serve(message const& request, peer& client) {
  while (silent) pause(k_drain_after);
  auto const query = query_of(request.target);
  std::string const path = request.target.substr(0, request.target.find('?'));
  auto const last = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
  if (path == "/api/kv-watch") return client.write(watch(query));
  json::value body;
  if (!request.body.empty()) body = json::parse(request.body);
  std::string text = answer_text(400, "{}");
  {
    std::lock_guard const lock(mutex_);
    expire_locked();
    if (path == "/api/kv-txn") text = transaction(body.as_object());
    if (path == "/api/kv-key") {
      auto const found = items_.find(query.at("key"));
      if (found == items_.end()) {
        text = answer_text(404, "{}");
      } else {
        json::object item = item_json(found->first, found->second);
        item["at"] = revision_;
        text = answer_text(200, json::serialize(item));
      }
    }
    if (path == "/api/kv-range") {
      std::string const prefix = query.at("path_prefix");
      auto const after = query.find("after_rev");
      json::array found;
      std::size_t bytes = 0;
      bool more = false;
      for (auto const& [key, stored] : items_) {
        if (!key.starts_with(prefix) || (after != query.end() && key <= after->second)) continue;
        more = found.size() == 500 || bytes > 1000000;
        if (more) break;
        bytes += stored.value.size();
        found.push_back(item_json(key, stored));
      }
      text = answer_text(200, json::serialize(json::object{
                                  {"requests", found}, {"more", more}, {"at", revision_}}));
    }
    if (path == "/api/kv-lease") {
      milliseconds const time(number(body.as_object(), "ttl_ms"));
      leases_[next_lease_] = {time, steady::now() + time};
      text = answer_text(
          200, json::serialize(json::object{{"lease", next_lease_++}, {"ttl_ms", time.count()}}));
    }
    if (path.starts_with("/api/kv-keep/")) {
      auto const found = leases_.find(last);
      if (found == leases_.end()) {
        text = answer_text(404, "{}");
      } else {
        found->second.second = steady::now() + found->second.first;
        text = answer_text(200,
                           json::serialize(json::object{{"ttl_ms", found->second.first.count()}}));
      }
    }
    if (path.starts_with("/api/kv-lease-end/")) {
      if (leases_.contains(last)) leases_[last].second = steady::time_point::min();
      expire_locked();
      text = answer_text(200, "{}");
    }
  }
  return client.write(text);
}

server::server(store& platform, record& log, std::string id, std::string service, bool is_engine)
    : log_(log),
      platform_(platform),
      id_(std::move(id)),
      service_(std::move(service)),
      is_engine_(is_engine) {
  http_ = std::make_unique<http_server>(
      free_port(), [this](message const& request, peer& client) { return serve(request, client); });
  announce();
}

void server::announce() {
  json::object entry{
      {"service", service_},         {"address", "127.0.0.1:" + std::to_string(http_->port())},
      {"zone", "veraval"},           {"version", "v1"},
      {"slots", is_engine_ ? 8 : 6}, {"state", "ready"},
      {"cold_left_ms", 0},           {"sequence", 1}};
  if (is_engine_) {
    entry["stage"] = "hybrid";
    entry["models"] = json::array{
        json::object{{"name", k_model}, {"version", version_}, {"adapters", json::array()}}};
  }
  platform_.put("servers/" + id_, json::serialize(entry));
}

void server::crash() {
  log_.line("server " + id_ + " crashes for good");
  http_->end();
  std::thread([this] {
    pause(milliseconds(3600));
    platform_.remove("servers/" + id_);
    log_.line("the entry of server " + id_ + " has gone");
  }).detach();
}

std::vector<run> server::runs() {
  std::lock_guard const lock(mutex_);
  return runs_;
}

bool server::serve(message const& request, peer& client) {
  std::string const id = request.header("X-Frostline-Request-Id");
  if (request.target == "/health")
    return client.write(answer_text(200, "", {{"X-Frostline-Instance-Id", id_}}));
  std::string const expected = request.header("X-Frostline-Expect-Instance");
  if (!expected.empty() && expected != id_)
    return client.write(answer_text(421, "", {{"X-Frostline-Instance-Id", id_}}));
  if (request.target == "/api/report") {
    json::object const body{
        {"stage", "hybrid"},
        {"models", json::array{json::object{
                       {"name", k_model}, {"version", version_}, {"adapters", json::array()}}}},
        {"busy", false},
        {"sequence", sequence_},
        {"waiting", 0},
        {"running", 0},
        {"kv_used", 0},
        {"kv_total", 103490},
        {"handles", 0}};
    return client.write(
        answer_text(200, json::serialize(body), {{"Content-Type", "application/json"}}));
  }
  if (request.target == "/api/order") {
    ++sequence_;
    version_ = number(json::parse(request.body).as_object(), "version");
    announce();
    return client.write(answer_text(202, "{}"));
  }
  if (id.empty()) return client.write(answer_text(400, "", {{"X-Frostline-Not-Executed", "1"}}));
  std::size_t place = 0;
  {
    std::lock_guard const lock(mutex_);
    place = runs_.size();
    runs_.push_back({id, request.method, request.target, request.body});
  }
  log_.line("server " + id_ + " runs " + request.method + " " + request.target.substr(0, 80) +
            " id " + id.substr(0, 40));
  if (is_engine_) {
    bool const whole = stream(request, client, place);
    note_end(place, whole);
    return whole;
  }
  pause(work);
  note_end(place, true);
  return client.write(
      answer_text(200, "answer to " + id,
                  {{"X-Frostline-Request-Id", id}, {"X-Frostline-Server-Stamp", "stamp." + id}}));
}

void server::note_end(std::size_t place, bool finished) {
  std::lock_guard const lock(mutex_);
  memory_.erase(place);
  runs_[place].finished = finished;
  runs_[place].ended_at = steady::now();
}

bool server::grow(std::size_t place, std::uint64_t tokens, peer& client) {
  constexpr std::uint64_t k_memory_tokens = 103490;
  constexpr std::uint64_t k_tokens_per_ms = 303;
  bool was_put_back = false;
  while (true) {
    {
      std::lock_guard const lock(mutex_);
      std::uint64_t used = tokens;
      for (auto const& [other, held] : memory_) used += held;
      // An older run takes the room that the newest one gives up.
      bool const is_newest = memory_.empty() || place >= memory_.rbegin()->first;
      if (used <= k_memory_tokens || !is_newest || memory_.size() <= 1) {
        memory_[place] += tokens;
        tokens = memory_[place];
        break;
      }
    }
    if (!was_put_back)
      log_.line("server " + id_ + " is out of memory and puts its newest run back");
    was_put_back = true;
    pause(milliseconds(10));
    if (client.has_left()) return false;
  }
  if (was_put_back) pause(milliseconds(tokens / k_tokens_per_ms));
  return true;
}

bool server::stream(message const& request, peer& client, std::size_t place) {
  std::string const id = request.header("X-Frostline-Request-Id");
  std::string const last = request.header("Last-Event-Id");
  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  head += "X-Frostline-Request-Id: " + id + "\r\nX-Frostline-Server-Stamp: stamp." + id + "\r\n";
  head += "X-Frostline-Weight-Versions: " + std::to_string(version_) + "\r\n";
  if (!client.write(head + "Transfer-Encoding: chunked\r\n\r\n")) return false;
  std::uint64_t const prompt =
      std::strtoull(request.header("X-Frostline-Token-Usage").c_str(), nullptr, 10);
  if (!grow(place, prompt, client)) return false;
  for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1; event <= events; ++event) {
    pause(gap);
    if (!grow(place, event_tokens, client) || client.has_left()) {
      log_.line("server " + id_ + ": the connection of " + id + " was closed before event " +
                std::to_string(event));
      return false;
    }
    std::string const text =
        "id: " + std::to_string(event) + "\ndata: " + id + "." + std::to_string(event) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    if (!client.write(size + text + "\r\n")) return false;
  }
  return client.write("0\r\n\r\n");
}

gateway::gateway(record& log, std::string const& folder, int index, std::uint16_t store_port,
                 std::string seeds, std::uint16_t peers_port, int status_interval_s)
    : log_(log),
      folder_(folder),
      name_("frontend-veraval-" + std::to_string(index + 1)),
      clients_(free_port()),
      ready_(free_port()) {
  std::ifstream file("deploy/gateway.toml");
  std::stringstream text;
  text << file.rdbuf();
  std::string settings = text.str();
  // Fields that this deployment lacks.
  for (std::string const gap : {"cloud.address", "bounds.usage_window_s"}) {
    auto const begin = settings.find("{{#" + gap + "}}");
    std::string const end = "{{/" + gap + "}}";
    if (begin == std::string::npos) continue;
    settings.erase(begin, settings.find(end) + end.size() - begin);
  }
  auto const local = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
  std::vector<std::pair<std::string, std::string>> const values = {
      {"node", name_},
      {"zone", "veraval"},
      {"limits.cpu_share", "0.25"},
      {"listen.front", local(clients_)},
      {"listen.ready", local(ready_)},
      {"listen.control", local(peers_port)},
      {"seeds", std::move(seeds)},
      {"platform.address", local(store_port)},
      {"platform.value_bytes", "1048576"},
      {"platform.ttl_min_ms", "1000"},
      {"bounds.lease_ms", "3000"},
      {"bounds.drain_ms", "2000"},
      {"bounds.grace_s", "8"},
      {"bounds.status_interval_s", std::to_string(status_interval_s)}};
  for (auto const& [name, value] : values) {
    std::string const gap = "{{" + name + "}}";
    for (auto at = settings.find(gap); at != std::string::npos; at = settings.find(gap, at)) {
      settings.replace(at, gap.size(), value);
    }
  }
  std::ofstream(folder_ + "/" + name_ + ".toml") << settings;
}

gateway::~gateway() { kill(); }

void gateway::start() {
  std::string const settings = folder_ + "/" + name_ + ".toml";
  std::string const output = folder_ + "/" + name_ + ".log";
  pid_t const child = ::fork();
  if (child == 0) {
    // No gateway outlives the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int const log = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::execl("target/frostline-gateway", "target/frostline-gateway", "--config", settings.c_str(),
            nullptr);
    ::_exit(127);
  }
  pid_ = child;
  log_.line("gateway " + name_ + " starts as process " + std::to_string(child));
}

void gateway::kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

void gateway::strike() {
  pid_t const target = pid_;
  if (target <= 0) return;
  struck_ = true;
  ::kill(target, SIGKILL);
}

void gateway::stop() {
  pid_t const target = pid_;
  if (target <= 0) return;
  struck_ = true;
  ::kill(target, SIGTERM);
}

bool gateway::restart_if_ended() {
  int status = 0;
  if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return false;
  bool const struck = struck_.exchange(false);
  if (!struck) ++own_ends_;
  std::string const how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                              : "code " + std::to_string(WEXITSTATUS(status));
  log_.line("gateway " + name_ + (struck ? " was ended with " : " ENDED BY ITSELF with ") + how);
  pid_ = -1;
  return true;
}

bool gateway::is_ready() {
  return call(ready_, "GET", "/api/ready", "", "", milliseconds(500)).status == 200;
}

deployment::deployment(std::string const& folder, record& log, int status_interval_s)
    : folder_(folder), log_(log) {
  for (int index = 0; index < 4; ++index) {
    engines_.push_back(std::make_unique<server>(store_, log_, "i-engine" + std::to_string(index),
                                                k_engine_service, true));
  }
  for (int index = 0; index < 3; ++index) {
    apps_.push_back(std::make_unique<server>(store_, log_, "i-app" + std::to_string(index),
                                             k_app_service, false));
  }
  put_config(1);
  std::vector<std::uint16_t> ports;
  std::string seeds;
  for (int index = 0; index < 3; ++index) {
    ports.push_back(free_port());
    seeds += (index == 0 ? "127.0.0.1:" : ",127.0.0.1:") + std::to_string(ports.back());
  }
  for (int index = 0; index < 3; ++index) {
    gateways_.push_back(std::make_unique<gateway>(log_, folder_, index, store_.port(), seeds,
                                                  ports[static_cast<std::size_t>(index)],
                                                  status_interval_s));
  }
}

void deployment::end() {
  ended_ = true;
  if (keeper_.joinable()) keeper_.join();
  for (auto const& each : gateways_) each->kill();
}

void deployment::put_config(int version, int first_weight) {
  json::object rollout{{"name", "r-rollout"},
                       {"host", k_host},
                       {"path_prefix", "/pule252/"},
                       {"kind", "rollout"},
                       {"service", k_engine_service},
                       {"timeout_ms", 10000},
                       {"target_latency_ms", 400},
                       {"due_ms", 7500},
                       {"max_attempts", 3},
                       {"max_queue_s", 40},
                       {"priority", 1}};
  json::object const reward{
      {"name", "r-reward"},       {"host", k_host},           {"path_prefix", "/pufi791/"},
      {"kind", "safe"},           {"service", k_app_service}, {"timeout_ms", 1500},
      {"target_latency_ms", 150}, {"max_attempts", 4},        {"priority", 2}};
  json::object const bid{
      {"name", "r-bid"},          {"host", k_host},           {"path_prefix", "/lohu930/"},
      {"kind", "safe"},           {"service", k_app_service}, {"timeout_ms", 1500},
      {"target_latency_ms", 150}, {"max_attempts", 2},        {"priority", 2}};
  json::object const talk{{"name", "r-talk"},
                          {"host", k_host},
                          {"path_prefix", "/tofu118/"},
                          {"kind", "streaming"},
                          {"service", k_engine_service},
                          {"timeout_ms", 10000},
                          {"target_latency_ms", 1000},
                          {"max_attempts", 2},
                          {"priority", 1}};
  json::object const engine{{"slots", 8},
                            {"kv_capacity", 103490},
                            {"models", json::array{json::object{{"name", k_model}}}}};
  json::object const models{{"name", k_engine_service},
                            {"health_path", "/health"},
                            {"max_conns", 150},
                            {"engine", engine}};
  json::object const apps{{"name", k_app_service}, {"health_path", "/health"}, {"max_conns", 110}};
  json::object const limits{{"max_header_bytes", 16384},
                            {"max_body_bytes", 33554432},
                            {"header_timeout_ms", 3000},
                            {"idle_timeout_ms", 15000}};
  json::array services{models, apps};
  if (second_engine_ && first_weight < 100) {
    json::object second = models;
    second["name"] = k_second_engine_service;
    services.push_back(second);
    json::array split;
    if (first_weight > 0)
      split.push_back(json::object{{"service", k_engine_service}, {"weight", first_weight}});
    split.push_back(
        json::object{{"service", k_second_engine_service}, {"weight", 100 - first_weight}});
    rollout["split"] = split;
    rollout.erase("service");
  }
  json::object const config{{"version", version},
                            {"routes", json::array{rollout, reward, bid, talk}},
                            {"services", services},
                            {"limits", limits}};
  store_.put("op/config", json::serialize(config));
}

void deployment::split_rollouts() {
  engines_.push_back(std::make_unique<server>(store_, log_, "i-engine4", k_engine_service, true));
  second_engine_ =
      std::make_unique<server>(store_, log_, "i-second0", k_second_engine_service, true);
  put_config(2);
}

void deployment::move_rollouts(bool to_second) {
  put_config(to_second ? 3 : 4, to_second ? 0 : 100);
}

bool deployment::start() {
  for (auto const& each : gateways_) each->start();
  auto const until = steady::now() + std::chrono::seconds(20);
  for (auto const& each : gateways_) {
    while (!each->is_ready()) {
      if (steady::now() > until) return false;
      pause(milliseconds(50));
    }
  }
  while (owner().empty()) {
    if (steady::now() > until) return false;
    pause(milliseconds(50));
  }
  log_.line("all gateways are ready; the pool's owner is " + owner());
  return true;
}

std::string deployment::owner() {
  auto const found = store_.values("frostline/owners/" + std::string(k_engine_service));
  for (auto const& [key, value] : found) {
    if (key.ends_with("/orders")) continue;
    for (auto const& each : gateways_) {
      if (value.find(each->name()) != std::string::npos) return each->name();
    }
  }
  return {};
}

void deployment::keep_running() {
  keeper_ = std::thread([this] {
    while (!ended_) {
      pause(milliseconds(20));
      if (dark_) continue;
      for (auto const& each : gateways_) {
        std::lock_guard const lock(mutex_);
        if (!each->restart_if_ended()) continue;
        pause(milliseconds(500));
        if (!ended_) each->start();
      }
    }
  });
}

void deployment::power_off(milliseconds down) {
  dark_ = true;
  log_.line("all gateways lose power");
  for (auto const& each : gateways_) each->strike();
  pause(down);
  dark_ = false;
}

int deployment::own_ends() {
  std::lock_guard const lock(mutex_);
  int all = 0;
  for (auto const& each : gateways_) all += each->own_ends();
  return all;
}

std::vector<run> deployment::all_runs() {
  std::vector<run> all;
  for (auto const* kind : {&engines_, &apps_}) {
    for (auto const& each : *kind) {
      for (run const& one : each->runs()) all.push_back(one);
    }
  }
  if (second_engine_) {
    for (run const& one : second_engine_->runs()) all.push_back(one);
  }
  return all;
}

message call(std::uint16_t port, std::string const& method, std::string const& target,
             std::string const& id, std::string const& body, milliseconds limit,
             std::vector<std::pair<std::string, std::string>> const& headers) {
  int const opened = connect_to(port, limit);
  if (opened < 0) return {};
  peer node(opened);
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + k_host + "\r\n";
  if (!id.empty()) text += "X-Frostline-Request-Id: " + id + "\r\n";
  text += "X-Frostline-Deadline-Ms: " + std::to_string(limit.count()) + "\r\n";
  for (auto const& [name, value] : headers) text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n";
  message answer;
  answer.whole = node.write(text + body) && node.read(answer, true);
  if (!answer.whole) answer.status = 0;
  return answer;
}

std::string job_body(std::vector<item_spec> const& items) {
  json::array requests;
  for (item_spec const& item : items) {
    json::object headers;
    for (auto const& [name, value] : item.headers) headers[name] = value;
    headers.emplace("X-Frostline-Model", k_model);
    headers.emplace("X-Frostline-Token-Usage", "271," + std::to_string(item.most_out));
    headers.emplace("X-Frostline-Prompt-Prefix", "9c2e41:255,5d07b8:16");
    json::object const scorer{{"id", "5c" + item.id},
                              {"host", k_host},
                              {"path", "/pufi791/5e07"},
                              {"body", base64("score " + item.id)}};
    requests.push_back(json::object{{"id", item.id},
                                    {"path", item.path},
                                    {"headers", headers},
                                    {"body", base64("prompt of " + item.id)},
                                    {"tokens", 271 + item.most_out},
                                    {"group", item.group},
                                    {"scorer", scorer}});
  }
  json::object const job{
      {"step", 1}, {"model", k_model}, {"min_version", 1}, {"desired", 1}, {"requests", requests}};
  return json::serialize(job);
}

int submit(deployment& all, record& log, std::string const& id, std::string const& body,
           milliseconds limit) {
  auto const until = steady::now() + limit;
  int status = 0;
  for (std::size_t attempt = 0; steady::now() < until; ++attempt) {
    gateway& node = all.node(attempt % all.nodes());
    status = call(node.clients(), "POST", "/pule252/" + id.substr(0, 6), id, body,
                  milliseconds(4000), {{"Content-Type", "application/json"}})
                 .status;
    log.line("client hands in batch job " + id + " at " + node.name() + ": " +
             (status == 0 ? "no answer" : std::to_string(status)));
    if (status == 202 || status == 400 || status == 404) break;
    pause(milliseconds(300));
  }
  return status;
}

int read_results(deployment& all, record& log, std::string const& id, std::size_t total,
                 milliseconds limit) {
  auto const until = steady::now() + limit;
  int seen = -1;
  int last_status = -2;
  for (std::size_t attempt = 0; steady::now() < until; ++attempt) {
    gateway& node = all.node(attempt % all.nodes());
    message const answer =
        call(node.clients(), "GET", "/api/lots/" + id + "?after_rev=0", "", "", milliseconds(2500));
    int count = -1;
    if (answer.status == 200)
      count = static_cast<int>(json::parse(answer.body).at("results").as_array().size());
    if (answer.status != last_status || count != seen) {
      log.line("client reads batch job " + id + " at " + node.name() + ": " +
               (answer.status == 0 ? "no answer" : std::to_string(answer.status)) +
               (count < 0 ? "" : ", " + std::to_string(count) + " results"));
    }
    last_status = answer.status;
    if (answer.status == 404) return -404;
    seen = std::max(seen, count);
    if (seen >= static_cast<int>(total)) break;
    pause(milliseconds(500));
  }
  return seen;
}

}  // namespace review
