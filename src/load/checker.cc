#include "load/checker.h"

#include <algorithm>
#include <boost/filesystem.hpp>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "base/encoding.h"
#include "config/keys.h"
#include "http/json_fields.h"
#include "rpc/codec.h"
#include "schema/frostline_generated.h"
#include "standin/engine_model.h"

namespace frostline::load {
namespace {

namespace json = boost::json;

using event_list = std::vector<json::object>;

struct sample_id {
  std::string task;
  std::uint64_t group = 0;
  std::uint64_t index = 0;

  auto operator<=>(sample_id const&) const = default;
};

std::uint64_t unsigned_field(json::object const& event, std::string_view key) {
  return static_cast<std::uint64_t>(json_number(event, key));
}

double number_or_zero(json::object const& event, std::string_view key) {
  auto const* found = event.if_contains(key);
  return found != nullptr && found->is_number() ? found->to_number<double>() : 0;
}

event_list read_events(std::string const& folder) {
  event_list events;
  for (auto const& file : boost::filesystem::directory_iterator(folder)) {
    if (file.path().extension() != ".jsonl") continue;
    std::ifstream lines(file.path().string());
    std::string line;
    while (std::getline(lines, line)) {
      auto event = parse_json_object(line);
      // A killed process may leave an incomplete last line.
      if (event) events.push_back(std::move(*event));
    }
  }
  return events;
}

/// Published versions of each task, by store revision.
class publication_history {
 public:
  void add(json::object const& write) {
    std::string const key = json_text(write, "key");
    if (!key.starts_with(config::k_versions)) return;
    auto const value = base64_decode(json_text(write, "value"));
    auto const record = value ? rpc::decode<rpc::VersionRecordT>(*value) : std::nullopt;
    if (record) versions_[record->task][unsigned_field(write, "revision")] = record->version;
  }

  std::uint64_t published_at(std::string const& task, std::uint64_t revision) const {
    auto const found = versions_.find(task);
    if (found == versions_.end()) return 0;
    auto const after = found->second.upper_bound(revision);
    return after == found->second.begin() ? 0 : std::prev(after)->second;
  }

 private:
  std::map<std::string, std::map<std::uint64_t, std::uint64_t>> versions_;
};

struct declared_span {
  std::uint64_t version = 0;
  std::uint64_t tokens = 0;
};

std::vector<declared_span> declared_spans(json::object const& sample) {
  std::vector<declared_span> spans;
  auto const* list = sample.if_contains("spans");
  if (list == nullptr || !list->is_array()) return spans;
  for (json::value const& item : list->as_array()) {
    spans.push_back(
        {unsigned_field(item.as_object(), "version"), unsigned_field(item.as_object(), "tokens")});
  }
  return spans;
}

/// Compares the declared spans with the generated text: each token holds the version that generated
/// it and a hash of its prompt, sample and position.
bool has_correct_versions(json::object const& sample, std::string const& prompt) {
  auto const index = static_cast<std::uint32_t>(unsigned_field(sample, "index"));
  std::istringstream words(json_text(sample, "text"));
  std::uint32_t position = 0;
  std::string word;
  for (declared_span const& span : declared_spans(sample)) {
    for (std::uint64_t token = 0; token < span.tokens; ++token) {
      if (!(words >> word)) return false;
      if (word + " " != standin::token_text(span.version, prompt, index, position)) return false;
      ++position;
    }
  }
  bool const more = static_cast<bool>(words >> word);
  return position > 0 && !more;
}

class checker {
 public:
  explicit checker(check_options const& options) : options_(options) {}

  check_report run() {
    event_list const events = read_events(options_.folder);
    for (json::object const& event : events) collect(event);
    for (json::object const* sample : samples_) check_sample(*sample);
    check_totals();
    check_calls();
    check_leaving();
    return report_;
  }

 private:
  void collect(json::object const& event) {
    std::string const kind = json_text(event, "event");
    if (kind == "write") collect_write(event);
    if (kind == "submitted") collect_submission(event);
    if (kind == "sample") samples_.push_back(&event);
    if (kind == "attempt") attempts_.push_back(&event);
    if (kind == "request") requests_.push_back(&event);
    if (kind == "admitted") admissions_.push_back(&event);
    if (kind == "leaving") leaving_[json_text(event, "backend")] = unsigned_field(event, "at_ms");
    if (kind == "finished") collect_finish(event);
  }

  void collect_write(json::object const& event) {
    history_.add(event);
    if (!json_text(event, "key").starts_with(config::k_tasks)) return;
    auto const value = base64_decode(json_text(event, "value"));
    auto const record = value ? rpc::decode<rpc::TaskRecordT>(*value) : std::nullopt;
    if (record) freshness_bounds_[record->name] = record->freshness_bound;
  }

  void collect_submission(json::object const& event) {
    std::string const task = json_text(event, "task");
    std::uint64_t const group = unsigned_field(event, "group");
    prompts_[{task, group, 0}] = json_text(event, "prompt");
    for (std::uint64_t index = 0; index < unsigned_field(event, "samples"); ++index) {
      requested_.insert({task, group, index});
    }
  }

  void collect_finish(json::object const& event) {
    if (event.contains("idle_seconds")) {
      report_.trainer_idle_seconds += number_or_zero(event, "idle_seconds");
      report_.trainers_finished = report_.trainers_finished && json_flag(event, "finished");
    }
    if (event.contains("p50_ms")) {
      report_.caller_p50_ms = number_or_zero(event, "p50_ms");
      report_.caller_p99_ms = number_or_zero(event, "p99_ms");
    }
  }

  void check_sample(json::object const& sample) {
    std::string const task = json_text(sample, "task");
    sample_id const id{task, unsigned_field(sample, "group"), unsigned_field(sample, "index")};
    if (!delivered_.insert(id).second) ++report_.samples_duplicated;
    if (!json_flag(sample, "scored")) ++report_.samples_unscored;
    auto const prompt = prompts_.find({task, id.group, 0});
    bool const known = prompt != prompts_.end();
    if (!known || !has_correct_versions(sample, prompt->second)) {
      ++report_.samples_with_wrong_versions;
    }
    auto const spans = declared_spans(sample);
    if (spans.empty()) return;
    if (spans.size() > 1) ++report_.samples_spanning_versions;
    auto const by_version = [](declared_span const& left, declared_span const& right) {
      return left.version < right.version;
    };
    std::uint64_t const oldest = std::min_element(spans.begin(), spans.end(), by_version)->version;
    std::uint64_t const published = history_.published_at(task, unsigned_field(sample, "revision"));
    std::uint64_t const age = published > oldest ? published - oldest : 0;
    staleness_sum_ += static_cast<double>(age);
    if (age > freshness_bounds_[task]) ++report_.samples_over_bound;
  }

  void check_totals() {
    report_.samples_requested = requested_.size();
    report_.samples_delivered = delivered_.size();
    for (sample_id const& id : requested_) {
      if (!delivered_.contains(id)) ++report_.samples_lost;
    }
    if (!samples_.empty()) {
      report_.staleness_mean = staleness_sum_ / static_cast<double>(samples_.size());
    }
  }

  void check_calls() {
    std::map<std::string, std::uint64_t> runs;
    for (json::object const* request : requests_) {
      bool const at_most_once = json_text(*request, "method") == "POST";
      if (at_most_once) ++runs[json_text(*request, "key")];
    }
    std::map<std::string, std::uint64_t> may_have_run;
    std::set<std::string> keys;
    for (json::object const* attempt : attempts_) {
      std::string const key = json_text(*attempt, "key");
      keys.insert(key);
      if (json_text(*attempt, "run_state") != "not_run") ++may_have_run[key];
      if (json_flag(*attempt, "cut")) ++report_.requests_cut;
      if (!json_flag(*attempt, "right", true)) ++report_.answers_wrong;
    }
    report_.requests_made = keys.size();
    for (auto const& [key, count] : runs) {
      if (count > 1) ++report_.requests_run_twice;
      if (count > may_have_run[key]) ++report_.refused_but_run;
    }
  }

  void check_leaving() {
    auto const late = [this](json::object const& event, std::string_view key) {
      auto const left = leaving_.find(json_text(event, key));
      if (left == leaving_.end()) return false;
      return unsigned_field(event, "at_ms") > left->second + options_.leaving_limit_ms;
    };
    for (json::object const* event : admissions_) {
      if (late(*event, "engine")) ++report_.sent_after_leaving;
    }
    for (json::object const* event : requests_) {
      if (late(*event, "app")) ++report_.sent_after_leaving;
    }
  }

  check_options options_;
  check_report report_;
  publication_history history_;
  std::map<std::string, std::uint32_t> freshness_bounds_;
  std::set<sample_id> requested_;
  std::set<sample_id> delivered_;
  std::map<sample_id, std::string> prompts_;
  std::vector<json::object const*> samples_;
  std::vector<json::object const*> attempts_;
  std::vector<json::object const*> requests_;
  std::vector<json::object const*> admissions_;
  std::map<std::string, std::uint64_t> leaving_;
  double staleness_sum_ = 0;
};

}  // namespace

bool check_report::is_good() const {
  std::uint64_t const broken = samples_lost + samples_duplicated + samples_over_bound +
                               samples_with_wrong_versions + requests_cut + requests_run_twice +
                               refused_but_run + answers_wrong + sent_after_leaving;
  return broken == 0 && trainers_finished;
}

json::object check_report::to_json() const {
  return {{"samples_requested", samples_requested},
          {"samples_delivered", samples_delivered},
          {"samples_lost", samples_lost},
          {"samples_duplicated", samples_duplicated},
          {"samples_over_bound", samples_over_bound},
          {"samples_with_wrong_versions", samples_with_wrong_versions},
          {"samples_spanning_versions", samples_spanning_versions},
          {"samples_unscored", samples_unscored},
          {"requests_made", requests_made},
          {"requests_cut", requests_cut},
          {"requests_run_twice", requests_run_twice},
          {"refused_but_run", refused_but_run},
          {"answers_wrong", answers_wrong},
          {"sent_after_leaving", sent_after_leaving},
          {"trainer_idle_seconds", trainer_idle_seconds},
          {"staleness_mean", staleness_mean},
          {"caller_p50_ms", caller_p50_ms},
          {"caller_p99_ms", caller_p99_ms},
          {"trainers_finished", trainers_finished},
          {"good", is_good()}};
}

check_report check_journals(check_options const& options) { return checker(options).run(); }

}  // namespace frostline::load
