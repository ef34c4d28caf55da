/// @file Plays one case: review-case CASE TROUBLE REPOSITORY RECORD
///
/// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't be played.

#include <signal.h>
#include <unistd.h>

#include <exception>
#include <iostream>
#include <map>

#include "cases.h"

namespace {

using namespace frostline::review;

constexpr int k_arguments = 5;
constexpr unsigned k_longest_seconds = 110;

/// Kills the child processes, which the handler set by child_process does, and aborts.
void end_everything(int) { std::terminate(); }

}  // namespace

int main(int argc, char** argv) {
  std::map<std::string, verdict (*)(case_options const&, record&)> const cases = {
      {"broken-answers", play_broken_answers},
      {"unlucky-item", play_unlucky_item},
      {"moved-route", play_moved_route},
      {"two-pools", play_two_pools}};
  if (argc != k_arguments || !cases.contains(argv[1])) {
    std::cerr << "usage: review-case CASE 0|1 REPOSITORY RECORD\n";
    return static_cast<int>(verdict::not_run);
  }
  ::signal(SIGTERM, end_everything);
  ::signal(SIGINT, end_everything);
  ::signal(SIGALRM, end_everything);
  ::alarm(k_longest_seconds);
  try {
    record log(argv[4]);
    case_options const options{argv[3], std::string(argv[2]) != "0"};
    verdict const outcome = cases.at(argv[1])(options, log);
    char const* const words[] = {"the rule held", "the rule was broken", "the case was not played"};
    log.write("verdict", words[static_cast<int>(outcome)]);
    return static_cast<int>(outcome);
  } catch (std::exception const& failure) {
    std::cerr << "review-case: " << failure.what() << '\n';
    return static_cast<int>(verdict::not_run);
  }
}
