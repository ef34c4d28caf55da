#include "ctl/commands.h"

#include <charconv>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>

#include "rpc/blocking.h"

namespace frostline::ctl {

char const k_usage[] =
    "frostlinectl --node IP:port [--json] COMMAND [key=value ...]\n\n"
    "Commands:\n"
    "  status                       nodes, engines, tasks, shards, routes, leaving backends\n"
    "  put-task name=T model=M      create or change a task; further keys: priority,\n"
    "                               freshness_bound, engines (a,b,c), scorer (IP:port),\n"
    "                               batch_size, shards, expected_revision\n"
    "  publish task=T version=N     publish a weight version; further key: weights (IP:port/path)\n"
    "  put-route name=R path_prefix=/p backends=a,b\n"
    "                               create or change a route; further keys: repeatable\n"
    "                               (true/false), deadline_ms, max_concurrent, max_queued,\n"
    "                               retry_budget_percent, expected_revision\n"
    "  drain backend=B              stop sending new work to B; further key: incarnation\n"
    "  undrain backend=B            revoke a drain\n\n"
    "Exit codes: 0 done; 1 refused or unreachable, nothing changed; 2 invalid command line;\n"
    "3 another change won; 4 outcome unknown.\n";

namespace {

constexpr milliseconds k_timeout{10'000};

/// Thrown if the command line is invalid.
struct usage_error {
  std::string message;
};

/// The key=value arguments of a command. Each read removes a key; `finish` reports those left.
class arguments {
 public:
  explicit arguments(std::vector<std::string> const& words) {
    for (std::string const& word : words) {
      auto const equals = word.find('=');
      if (equals == std::string::npos) throw usage_error{"not of the form key=value: " + word};
      values_[word.substr(0, equals)] = word.substr(equals + 1);
    }
  }

  std::string text(std::string const& key) {
    auto const found = take_value(key);
    if (!found) throw usage_error{"missing: " + key};
    return *found;
  }

  std::string text(std::string const& key, std::string fallback) {
    return take_value(key).value_or(std::move(fallback));
  }

  template <class Number>
  Number number(std::string const& key, std::optional<Number> fallback) {
    auto const found = take_value(key);
    if (!found && fallback) return *fallback;
    if (!found) throw usage_error{"missing: " + key};
    Number value{};
    char const* const end = found->data() + found->size();
    auto const [stop, error] = std::from_chars(found->data(), end, value);
    if (error != std::errc() || stop != end) throw usage_error{key + ": not a number"};
    return value;
  }

  bool flag(std::string const& key, bool fallback) {
    auto const found = take_value(key);
    if (!found) return fallback;
    if (*found != "true" && *found != "false") throw usage_error{key + ": must be true or false"};
    return *found == "true";
  }

  std::vector<std::string> list(std::string const& key) {
    std::vector<std::string> items;
    std::istringstream words(text(key, ""));
    std::string word;
    while (std::getline(words, word, ',')) items.push_back(word);
    return items;
  }

  /// Throws usage_error if an argument was not read.
  void finish() const {
    if (!values_.empty()) throw usage_error{"unknown key: " + values_.begin()->first};
  }

 private:
  std::optional<std::string> take_value(std::string const& key) {
    auto const found = values_.find(key);
    if (found == values_.end()) return std::nullopt;
    std::string value = std::move(found->second);
    values_.erase(found);
    return value;
  }

  std::map<std::string, std::string> values_;
};

template <class Message>
void print_json(Message const& message) {
  rpc::json_codec codec;
  std::cout << codec.to_json(rpc::type_name<Message>(), rpc::encode(message), false);
}

exit_code report_problem(rpc::problem const& problem) {
  std::cerr << "frostlinectl: " << rpc::to_string(problem.why) << ": " << problem.detail;
  if (problem.retry_after.count() > 0) {
    std::cerr << " (retry after " << problem.retry_after.count() << " ms)";
  }
  std::cerr << '\n';
  return problem.state == rpc::run_state::unknown ? exit_code::unknown : exit_code::failed;
}

template <class Request>
exit_code change(invocation const& command_line, std::string_view method, Request const& request) {
  rpc::blocking_client client;
  auto const answer = client.call<Request, rpc::ChangeResponseT>(
      command_line.node, "OperatorService", method, request, k_timeout);
  if (!answer) return report_problem(answer.error());
  rpc::ChangeResponseT const& response = answer.value();
  if (command_line.json) print_json(response);
  switch (response.outcome) {
    case rpc::ChangeOutcome::ACCEPTED:
      if (!command_line.json) std::cout << "accepted at revision " << response.revision << '\n';
      return exit_code::done;
    case rpc::ChangeOutcome::CONFLICT:
      std::cerr << "frostlinectl: another change won, at revision " << response.revision << '\n';
      return exit_code::conflict;
    case rpc::ChangeOutcome::UNKNOWN:
      std::cerr << "frostlinectl: outcome unknown; look for token " << response.change_token
                << " in 'status --json'\n";
      return exit_code::unknown;
  }
  return exit_code::failed;
}

exit_code put_task(invocation const& command_line) {
  arguments options(command_line.arguments);
  rpc::PutTaskRequestT request;
  request.task = std::make_unique<rpc::TaskRecordT>();
  rpc::TaskRecordT& task = *request.task;
  task.name = options.text("name");
  task.model = options.text("model");
  task.priority = options.number<std::int32_t>("priority", task.priority);
  task.freshness_bound = options.number<std::uint32_t>("freshness_bound", task.freshness_bound);
  task.engines = options.list("engines");
  task.scorer = options.text("scorer", "");
  task.batch_size = options.number<std::uint32_t>("batch_size", task.batch_size);
  task.shards = options.number<std::uint32_t>("shards", task.shards);
  request.expected_revision = options.number<std::int64_t>("expected_revision", -1);
  options.finish();
  return change(command_line, "PutTask", request);
}

exit_code publish(invocation const& command_line) {
  arguments options(command_line.arguments);
  rpc::PublishVersionRequestT request;
  request.task = options.text("task");
  request.version = options.number<std::uint64_t>("version", std::nullopt);
  request.weights = options.text("weights", "");
  options.finish();
  return change(command_line, "PublishVersion", request);
}

exit_code put_route(invocation const& command_line) {
  arguments options(command_line.arguments);
  rpc::PutRouteRequestT request;
  request.route = std::make_unique<rpc::RouteRecordT>();
  rpc::RouteRecordT& route = *request.route;
  route.name = options.text("name");
  route.path_prefix = options.text("path_prefix");
  route.backends = options.list("backends");
  route.repeatable = options.flag("repeatable", route.repeatable);
  route.deadline_ms = options.number<std::uint32_t>("deadline_ms", route.deadline_ms);
  route.max_concurrent = options.number<std::uint32_t>("max_concurrent", route.max_concurrent);
  route.max_queued = options.number<std::uint32_t>("max_queued", route.max_queued);
  route.retry_budget_percent =
      options.number<std::uint32_t>("retry_budget_percent", route.retry_budget_percent);
  request.expected_revision = options.number<std::int64_t>("expected_revision", -1);
  options.finish();
  return change(command_line, "PutRoute", request);
}

exit_code set_drain(invocation const& command_line, bool leaving) {
  arguments options(command_line.arguments);
  rpc::SetDrainRequestT request;
  request.backend = options.text("backend");
  request.incarnation = options.number<std::uint64_t>("incarnation", 0);
  request.leaving = leaving;
  options.finish();
  return change(command_line, "SetDrain", request);
}

std::string describe_versions(rpc::EngineStatusT const& engine) {
  std::string text;
  for (auto const& held : engine.versions) {
    if (!text.empty()) text += ' ';
    text += held->model + ":" + std::to_string(held->version);
  }
  return text.empty() ? "-" : text;
}

/// Prints rows with columns as wide as their widest cell.
void print_table(std::string const& title, std::vector<std::vector<std::string>> const& rows) {
  std::cout << title << '\n';
  std::vector<std::size_t> widths(rows.front().size());
  for (auto const& row : rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (auto const& row : rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      std::cout << "  " << std::left << std::setw(static_cast<int>(widths[column])) << row[column];
    }
    std::cout << '\n';
  }
}

void print_status(rpc::GetStatusResponseT const& status) {
  using rows = std::vector<std::vector<std::string>>;
  auto const text = [](auto number) { return std::to_string(number); };
  std::cout << "asked " << status.node << ", configuration revision " << status.config_revision
            << ", key-value service " << (status.kv_reachable ? "answers" : "is silent") << '\n';
  rows nodes = {{"node", "zone", "address", "state"}};
  for (auto const& node : status.nodes)
    nodes.push_back({node->id, node->zone, node->address, node->state});
  print_table("nodes", nodes);
  rows engines = {{"engine", "zone", "state", "controller", "versions", "running", "swap error"}};
  for (auto const& engine : status.engines) {
    engines.push_back({engine->id, engine->zone, engine->state, engine->controller,
                       describe_versions(*engine),
                       text(engine->running) + "/" + text(engine->slots),
                       engine->swap_error.empty() ? "-" : engine->swap_error});
  }
  print_table("engines", engines);
  rows tasks = {{"task", "model", "published", "bound", "priority", "revision"}};
  for (auto const& task : status.tasks) {
    tasks.push_back({task->record->name, task->record->model, text(task->published_version),
                     text(task->record->freshness_bound), text(task->record->priority),
                     text(task->revision)});
  }
  print_table("tasks", tasks);
  rows shards = {{"shard", "owner", "epoch", "queued", "running", "finished", "batch", "reruns"}};
  for (auto const& shard : status.shards) {
    shards.push_back({shard->task + "/" + text(shard->shard), shard->owner, text(shard->epoch),
                      text(shard->queued), text(shard->running), text(shard->finished),
                      text(shard->batch), text(shard->reruns_for_freshness)});
  }
  print_table("shards", shards);
  rows routes = {{"route", "path", "repeatable", "deadline ms", "revision"}};
  for (auto const& route : status.routes) {
    routes.push_back({route->record->name, route->record->path_prefix,
                      route->record->repeatable ? "yes" : "no", text(route->record->deadline_ms),
                      text(route->revision)});
  }
  print_table("routes", routes);
  rows leaving = {{"leaving", "incarnation", "source"}};
  for (auto const& entry : status.leaving) {
    leaving.push_back({entry->backend, text(entry->incarnation), entry->source});
  }
  print_table("leaving", leaving);
}

exit_code show_status(invocation const& command_line) {
  arguments(command_line.arguments).finish();
  rpc::blocking_client client;
  auto const answer = client.call<rpc::GetStatusRequestT, rpc::GetStatusResponseT>(
      command_line.node, "OperatorService", "GetStatus", {}, k_timeout);
  if (!answer) return report_problem(answer.error());
  if (command_line.json) {
    print_json(answer.value());
  } else {
    print_status(answer.value());
  }
  return exit_code::done;
}

}  // namespace

exit_code run(invocation const& command_line) {
  std::map<std::string, std::function<exit_code(invocation const&)>> const commands = {
      {"status", show_status},
      {"put-task", put_task},
      {"publish", publish},
      {"put-route", put_route},
      {"drain", [](invocation const& parsed) { return set_drain(parsed, true); }},
      {"undrain", [](invocation const& parsed) { return set_drain(parsed, false); }},
  };
  auto const command = commands.find(command_line.command);
  if (command == commands.end()) {
    std::cerr << "frostlinectl: no such command: " << command_line.command << "\n\n" << k_usage;
    return exit_code::usage;
  }
  try {
    return command->second(command_line);
  } catch (usage_error const& error) {
    std::cerr << "frostlinectl " << command_line.command << ": " << error.message << '\n';
    return exit_code::usage;
  }
}

}  // namespace frostline::ctl
