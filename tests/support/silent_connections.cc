#include "silent_connections.h"

#include <linux/filter.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <boost/filesystem.hpp>
#include <cerrno>
#include <optional>
#include <stdexcept>
#include <string>
#include <system_error>

namespace frostline::testing {
namespace {

/// Owns a file descriptor.
class descriptor {
 public:
  explicit descriptor(long number) : number_(static_cast<int>(number)) {}
  ~descriptor() {
    if (number_ >= 0) ::close(number_);
  }
  descriptor(descriptor const&) = delete;
  descriptor& operator=(descriptor const&) = delete;

  int number() const { return number_; }
  bool is_open() const { return number_ >= 0; }

 private:
  int number_;
};

using name_call = int (*)(int, sockaddr*, socklen_t*);

/// Returns the address of a socket that `call` reads; nothing if the socket has none or is not an
/// IPv4 socket.
std::optional<tcp::endpoint> address_of(int socket, name_call call) {
  tcp::endpoint found;
  socklen_t size = static_cast<socklen_t>(found.capacity());
  if (call(socket, found.data(), &size) != 0) return std::nullopt;
  if (found.data()->sa_family != AF_INET) return std::nullopt;
  found.resize(size);
  return found;
}

bool is_stream(int socket) {
  int kind = 0;
  socklen_t size = sizeof kind;
  return ::getsockopt(socket, SOL_SOCKET, SO_TYPE, &kind, &size) == 0 && kind == SOCK_STREAM;
}

/// Attaches a socket filter that drops all incoming segments.
void drop_arrivals(int socket) {
  sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
  sock_fprog const program{1, &drop_all};
  if (::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) != 0) {
    throw std::system_error(errno, std::generic_category(), "SO_ATTACH_FILTER");
  }
}

}  // namespace

std::size_t silence_connections(pid_t process, connection_filter const& chosen) {
  descriptor const handle(::syscall(SYS_pidfd_open, process, 0));
  if (!handle.is_open()) throw std::system_error(errno, std::generic_category(), "pidfd_open");
  std::size_t silenced = 0;
  std::string const folder = "/proc/" + std::to_string(process) + "/fd";
  // The process may exit meanwhile; it then has no connections left.
  boost::system::error_code ended;
  for (boost::filesystem::directory_iterator entry(folder, ended), end; !ended && entry != end;
       entry.increment(ended)) {
    int const number = std::stoi(entry->path().filename().string());
    descriptor const copy(::syscall(SYS_pidfd_getfd, handle.number(), number, 0));
    // The descriptor may have been closed meanwhile.
    if (!copy.is_open() || !is_stream(copy.number())) continue;
    auto const peer = address_of(copy.number(), ::getpeername);
    auto const local = address_of(copy.number(), ::getsockname);
    if (!peer || !local || !chosen(*local, *peer)) continue;
    drop_arrivals(copy.number());
    ++silenced;
  }
  return silenced;
}

}  // namespace frostline::testing
