/// @file Preloaded into a process under test: raises the signals that FROSTLINE_TEST_SIGNALS lists,
/// as numbers separated by commas, when the program's main function begins.

#include <dlfcn.h>
#include <signal.h>

#include <cstdlib>

namespace {

using main_function = int (*)(int, char**, char**);
using start_function = int (*)(main_function, int, char**, main_function, void (*)(), void (*)(),
                               void*);

main_function program_main = nullptr;

int raise_and_run(int count, char** arguments, char** variables) {
  char const* numbers = std::getenv("FROSTLINE_TEST_SIGNALS");
  while (numbers != nullptr && *numbers != '\0') {
    char* end = nullptr;
    ::raise(static_cast<int>(std::strtol(numbers, &end, 10)));
    numbers = *end == ',' ? end + 1 : end;
  }
  return program_main(count, arguments, variables);
}

}  // namespace

// The name of the function of the C library that this one stands in for.
// NOLINTNEXTLINE(bugprone-reserved-identifier, readability-identifier-naming)
extern "C" int __libc_start_main(main_function main, int count, char** arguments,
                                 main_function initialize, void (*finish)(),
                                 void (*finish_linker)(), void* stack_end) {
  program_main = main;
  auto const next = reinterpret_cast<start_function>(::dlsym(RTLD_NEXT, "__libc_start_main"));
  return next(raise_and_run, count, arguments, initialize, finish, finish_linker, stack_end);
}
