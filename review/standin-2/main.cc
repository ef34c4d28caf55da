// Cases of this review that are scripts: main NAME FOLDER RECORD. The environment's TROUBLE=0
// leaves the disruption out. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <iostream>

#include "platform.h"

namespace {

using namespace review;

bool trouble() {
  char const* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// A prompt that is named by many shared parts.
std::string long_prefix(int parts) {
  std::string text;
  for (int part = 0; part < parts; ++part) {
    char name[24];
    std::snprintf(name, sizeof name, "%s%06x:13", part == 0 ? "" : ",", 0x100000 + part);
    text += name;
  }
  return text;
}

/// Time that the trainer gives a step: the deadline on the sheets.
constexpr auto k_step_time = std::chrono::seconds(12);
/// How long an item has to be at no server for the rule to be broken.
constexpr auto k_idle_time = std::chrono::seconds(5);

/// Counts the items that no server has finished and that have been at no server for k_idle_time.
int count_lost(deployment& all, record& log, std::vector<item_spec> const& items) {
  int lost = 0;
  bool any_begun = false;
  auto const now = steady::now();
  for (item_spec const& item : items) {
    bool finished = false;
    auto last = steady::time_point::min();
    for (run const& one : all.all_runs()) {
      if (one.id != item.id) continue;
      any_begun = true;
      finished = finished || one.finished;
      last = std::max(last, std::min(one.ended_at, now));
    }
    bool const idle = last == steady::time_point::min() || now - last >= k_idle_time;
    if (finished || !idle) continue;
    ++lost;
    log.line("item " + item.id + " is unfinished and has been at no server for 5 s");
  }
  return any_begun ? lost : 0;
}

/// The most places of the model servers that were taken in the last k_idle_time of a step.
class load_watch {
 public:
  load_watch(deployment& all, steady::time_point begin) : all_(all), begin_(begin) {}
  void look() {
    if (steady::now() < begin_ + k_step_time - k_idle_time) return;
    std::size_t busy = 0;
    for (std::size_t index = 0; index < all_.engines(); ++index) {
      for (run const& one : all_.engine(index).runs()) busy += one.ended_at > steady::now() ? 1 : 0;
    }
    most_ = std::max(most_, busy);
  }
  /// Looks until the step's time is out.
  void wait() {
    while (steady::now() < begin_ + k_step_time) {
      pause(milliseconds(100));
      look();
    }
  }
  bool is_under_half() const { return most_ * 2 < places(); }
  std::string text() const {
    return "in the last 5 s at most " + std::to_string(most_) + " of " + std::to_string(places()) +
           " places of the running model servers were taken";
  }

 private:
  std::size_t places() const { return all_.engines() * 8; }
  deployment& all_;
  steady::time_point begin_;
  std::size_t most_ = 0;
};

int long_header(deployment& all, record& log) {
  all.keep_running();
  std::string const innocent = "7c41e09b52d6a3f8";
  std::string const heavy = "8d52f1ac63e7b409";
  std::vector<item_spec> items;
  for (int index = 0; index < 8; ++index) {
    items.push_back({"e5b2907c14da6f" + std::to_string(10 + index), "g1", {}});
  }
  int const parts = trouble() ? 7000 : 700;
  item_spec const item{
      "f6c3a18d25eb7040", "g2", {{"X-Frostline-Prompt-Prefix", long_prefix(parts)}}};
  log.line("batch job " + heavy + " has one item whose prompt has " + std::to_string(parts) +
           " parts");
  auto const begin = steady::now();
  if (submit(all, log, innocent, job_body(items), milliseconds(5000)) != 202) return 2;
  int const handed_in = submit(all, log, heavy, job_body({item}), milliseconds(5000));
  if (handed_in == 0 || (!trouble() && handed_in != 202)) return 2;
  load_watch watch(all, begin);
  int sent = 0;
  int served = 0;
  while (steady::now() < begin + k_step_time) {
    std::string const id = "9c41d07be2a35f" + std::to_string(10 + sent);
    auto const answer = call(all.node(static_cast<std::size_t>(sent) % 3).clients(), "POST",
                             "/lohu930/2f", id, "bid", milliseconds(1500));
    ++sent;
    if (answer.status == 200) ++served;
    log.line("client request " + id + ": " + std::to_string(answer.status));
    pause(milliseconds(150));
    watch.look();
  }
  int const lost = count_lost(all, log, items);
  int const listed = read_results(all, log, innocent, items.size(), milliseconds(2000));
  log.line("when the step's time is out: " + std::to_string(lost) + " of 8 items are lost, " +
           std::to_string(listed) + " results are listed; processes ended by themselves " +
           std::to_string(all.own_ends()) + " times; " + std::to_string(served) + " of " +
           std::to_string(sent) + " other requests were served at the first try; " + watch.text());
  return lost > 0 && watch.is_under_half() ? 1 : 0;
}

int smuggle(deployment& all, record& log) {
  std::string const job = "7c41e09b52d6a3f8";
  item_spec item{"e5b2907c14da6f38", "g1", {}};
  std::string hidden = "POST /pule252/hidden HTTP/1.1\r\nHost: " + std::string(k_host) +
                       "\r\nX-Frostline-Request-Id: 1badc0de00000001\r\nContent-Length: 0\r\n\r\n";
  if (trouble())
    item.headers = {{"X-Frostline-Length-Hint", "5\r\nContent-Length: 0\r\n\r\n" + hidden}};
  int const status = submit(all, log, job, job_body({item}), milliseconds(15000));
  if (status != 202 && (!trouble() || status != 400)) return 2;
  int const listed = read_results(all, log, job, 1, milliseconds(8000));
  if (!trouble() && listed != 1) return 2;
  int foreign = 0;
  for (run const& one : all.all_runs()) {
    bool const sent = one.id == item.id || one.id == "5c" + item.id;
    if (sent) continue;
    ++foreign;
    log.line("a server ran " + one.method + " " + one.target + " with id " + one.id +
             ", which no client sent");
  }
  return foreign > 0 ? 1 : 0;
}

/// A trainer asks ahead: its batch job is whole long before it comes back to read it. Until then
/// the batch job is open, as nobody has ended it.
constexpr int k_status_interval_s = 60;

int late_trainer(deployment& all, record& log) {
  std::string const job = "7c41e09b52d6a3f8";
  std::vector<item_spec> items;
  for (int index = 0; index < 8; ++index) {
    items.push_back({"e5b2907c14da6f" + std::to_string(10 + index), "g1", {}});
  }
  auto const begin = steady::now();
  if (submit(all, log, job, job_body(items), milliseconds(15000)) != 202) return 2;
  // Another client looks at the batch job.
  if (read_results(all, log, job, items.size(), milliseconds(15000)) < 8) return 2;
  auto const back = begin + std::chrono::seconds(trouble() ? k_status_interval_s + 5 : 5);
  while (steady::now() < back) pause(milliseconds(50));
  log.line("the trainer comes back; the batch job has not been ended");
  bool whole = true;
  for (std::size_t node = 0; node < all.nodes(); ++node) {
    message const answer = call(all.node(node).clients(), "GET",
                                "/api/lots/" + job + "?after_rev=0", "", "", milliseconds(2500));
    std::size_t const count =
        answer.status == 200 ? json::parse(answer.body).at("results").as_array().size() : 0;
    log.line("trainer reads batch job " + job + " at " + all.node(node).name() + ": " +
             std::to_string(answer.status) + ", " + std::to_string(count) + " of 8 results");
    whole = whole && answer.status == 200 && count == items.size();
  }
  return whole ? 0 : 1;
}

/// The identifier of the batch job is 72 random bits in base64, as a client's library makes it.
int base64_id(deployment& all, record& log) {
  std::string const job = "q83v/jRWeJA1";
  std::vector<item_spec> items;
  for (int index = 0; index < 8; ++index) {
    items.push_back({"e5b2907c14da6f" + std::to_string(10 + index), "g1", {}});
  }
  all.keep_running();
  if (submit(all, log, job, job_body(items), milliseconds(15000)) != 202) return 2;
  if (read_results(all, log, job, items.size(), milliseconds(15000)) < 8) return 2;
  std::string const owner = all.owner();
  if (trouble()) {
    for (std::size_t node = 0; node < all.nodes(); ++node) {
      if (all.node(node).name() == owner) all.node(node).strike();
    }
    log.line("SIGKILL to the owner " + owner);
  }
  // Longer than recovery_s.
  pause(milliseconds(15000));
  log.line("the pool's owner is " + all.owner());
  int lost = 0;
  for (std::size_t node = 0; node < all.nodes(); ++node) {
    message const answer = call(all.node(node).clients(), "GET",
                                "/api/lots/" + job + "?after_rev=0", "", "", milliseconds(2500));
    std::size_t const count =
        answer.status == 200 ? json::parse(answer.body).at("results").as_array().size() : 0;
    log.line("client reads batch job " + job + " at " + all.node(node).name() + ": " +
             std::to_string(answer.status) + ", " + std::to_string(count) + " of 8 results");
    if (answer.status == 404 || (answer.status == 200 && count < items.size())) ++lost;
  }
  return lost > 0 ? 1 : 0;
}

/// A node is stopped as planned while it passes on streams that may not be repeated, two at each
/// server. Where both don't fit into its memory, the server puts the newest back until the other
/// has ended. All are over long before the last sixth of the grace time.
int planned_stop(deployment& all, record& log) {
  constexpr int k_events = 26;
  for (std::size_t index = 0; index < all.engines(); ++index) {
    all.engine(index).gap = milliseconds(100);
    all.engine(index).events = k_events;
    all.engine(index).event_tokens = 1800;
  }
  all.keep_running();
  // Longer than contact_ms.
  pause(milliseconds(4000));
  gateway& node = all.node(0);
  std::string const usage =
      std::string(trouble() ? "45000" : "2000") + "," + std::to_string(1800 * k_events);
  std::vector<std::thread> clients;
  std::atomic<int> cut{0};
  std::atomic<int> not_begun{0};
  for (int index = 0; index < 8; ++index) {
    clients.emplace_back([&, index] {
      std::string const id = "9c41d07be2a35f" + std::to_string(10 + index);
      message const answer =
          call(node.clients(), "POST", "/tofu118/2f", id, "prompt", milliseconds(9000),
               {{"X-Frostline-Model", k_model}, {"X-Frostline-Token-Usage", usage}});
      bool const begun = answer.whole || !answer.body.empty();
      if (!begun) ++not_begun;
      if (begun && !answer.whole) ++cut;
      log.line("client request " + id + ": " +
               (answer.whole ? "the whole stream"
                : begun      ? "THE CONNECTION ENDED within the stream, after " +
                              std::to_string(answer.body.size()) + " bytes"
                        : "no stream"));
    });
  }
  pause(milliseconds(250));
  log.line("SIGTERM to " + node.name());
  node.stop();
  for (std::thread& client : clients) client.join();
  if (not_begun > 0) return 2;
  return cut > 0 ? 1 : 0;
}

/// Items may make many tokens, as trainers allow them to, and make few.
int idle_servers(deployment& all, record& log) {
  for (std::size_t index = 0; index < 4; ++index) {
    all.engine(index).events = 25;
    all.engine(index).gap = milliseconds(100);
  }
  std::string const job = "7c41e09b52d6a3f8";
  std::vector<item_spec> items;
  for (int index = 0; index < 56; ++index) {
    item_spec item{
        "e5b2907c14da6f" + std::to_string(10 + index), "g" + std::to_string(index / 4), {}};
    item.most_out = trouble() ? 50000 : 400;
    items.push_back(std::move(item));
  }
  // Longer than contact_ms.
  pause(milliseconds(4000));
  auto const begin = steady::now();
  if (submit(all, log, job, job_body(items), milliseconds(3000)) != 202) return 2;
  load_watch watch(all, begin);
  watch.wait();
  int const lost = count_lost(all, log, items);
  log.line("when the step's time is out: " + std::to_string(lost) + " of 56 items are lost; " +
           watch.text());
  return lost > 0 && watch.is_under_half() ? 1 : 0;
}

/// One of two services behind a split route loses its server for good.
int dead_part(deployment& all, record& log) {
  all.split_rollouts();
  for (std::size_t index = 0; index < all.engines(); ++index) {
    all.engine(index).gap = milliseconds(100);
  }
  all.second_engine().gap = milliseconds(100);
  // Longer than config_apply_ms and contact_ms.
  pause(milliseconds(4000));
  std::string const job = "7c41e09b52d6a3f8";
  std::vector<item_spec> items;
  for (int index = 0; index < 40; ++index) {
    items.push_back(
        {"e5b2907c14da6f" + std::to_string(10 + index), "g" + std::to_string(index / 4), {}});
  }
  auto const begin = steady::now();
  if (submit(all, log, job, job_body(items), milliseconds(3000)) != 202) return 2;
  pause(milliseconds(300));
  if (trouble()) all.second_engine().crash();
  load_watch watch(all, begin);
  watch.wait();
  int const lost = count_lost(all, log, items);
  log.line("when the step's time is out: " + std::to_string(lost) + " of 40 items are lost; " +
           watch.text());
  return lost > 0 && watch.is_under_half() ? 1 : 0;
}

/// A configuration moves the route of a batch job and no longer lists the service that had it;
/// later all gateways lose power at once.
int dropped_service(deployment& all, record& log) {
  all.split_rollouts();
  all.move_rollouts(true);
  all.keep_running();
  // Longer than config_apply_ms and contact_ms.
  pause(milliseconds(4000));
  std::string const job = "7c41e09b52d6a3f8";
  std::vector<item_spec> items;
  for (int index = 0; index < 8; ++index) {
    items.push_back({"e5b2907c14da6f" + std::to_string(10 + index), "g1", {}});
  }
  if (submit(all, log, job, job_body(items), milliseconds(15000)) != 202) return 2;
  if (read_results(all, log, job, items.size(), milliseconds(15000)) < 8) return 2;
  log.line("the route moves to the other service, the one that had it is gone");
  all.move_rollouts(false);
  pause(milliseconds(4000));
  if (trouble()) all.power_off(milliseconds(1400));
  // Longer than recovery_s.
  pause(milliseconds(15000));
  int lost = 0;
  for (std::size_t node = 0; node < all.nodes(); ++node) {
    message const answer = call(all.node(node).clients(), "GET",
                                "/api/lots/" + job + "?after_rev=0", "", "", milliseconds(2500));
    std::size_t const count =
        answer.status == 200 ? json::parse(answer.body).at("results").as_array().size() : 0;
    log.line("client reads batch job " + job + " at " + all.node(node).name() + ": " +
             std::to_string(answer.status) + ", " + std::to_string(count) + " of 8 results");
    if (answer.status == 404 || (answer.status == 200 && count < items.size())) ++lost;
  }
  return lost > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  std::string const name = argv[1];
  record log(argv[3]);
  log.line("case " + name + (trouble() ? "" : ", without the disruption"));
  int code = 2;
  deployment all(argv[2], log, name == "late_trainer" ? k_status_interval_s : 120);
  if (!all.start()) {
    log.line("the gateways did not become ready");
  } else if (name == "long_header") {
    code = long_header(all, log);
  } else if (name == "smuggle") {
    code = smuggle(all, log);
  } else if (name == "late_trainer") {
    code = late_trainer(all, log);
  } else if (name == "base64_id") {
    code = base64_id(all, log);
  } else if (name == "idle_servers") {
    code = idle_servers(all, log);
  } else if (name == "dead_part") {
    code = dead_part(all, log);
  } else if (name == "dropped_service") {
    code = dropped_service(all, log);
  } else if (name == "planned_stop") {
    code = planned_stop(all, log);
  }
  all.end();
  log.line(code == 0 ? "the rule held" : code == 1 ? "THE RULE WAS BROKEN" : "could not run");
  std::cout << name << ": " << code << '\n' << std::flush;
  // Connections' threads may still use the stand-ins.
  ::_exit(code);
}
