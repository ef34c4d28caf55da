#include "link_cut.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/filesystem.hpp>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iterator>
#include <sstream>
#include <string>
#include <system_error>

namespace frostline::testing {
namespace {

sockaddr_in to_address(endpoint const& where) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(where.port);
  ::inet_pton(AF_INET, where.address.c_str(), &address.sin_addr);
  return address;
}

bool is_bound_to(int socket, endpoint const& where) {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  if (::getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size) != 0) return false;
  sockaddr_in const wanted = to_address(where);
  return bound.sin_family == AF_INET && bound.sin_port == wanted.sin_port &&
         bound.sin_addr.s_addr == wanted.sin_addr.s_addr;
}

/// Calls `visit` for each socket of this process that is bound to one of `addresses`: listening
/// ones and their connections.
void for_each_socket(std::vector<endpoint> const& addresses,
                     std::function<void(int socket)> const& visit) {
  std::vector<int> found;
  for (boost::filesystem::directory_entry const& entry :
       boost::filesystem::directory_iterator("/proc/self/fd")) {
    int const socket = std::stoi(entry.path().filename().string());
    for (endpoint const& where : addresses) {
      if (is_bound_to(socket, where)) found.push_back(socket);
    }
  }
  for (int const socket : found) visit(socket);
}

/// Attaches a socket filter that drops segments with data, FIN or RST. Connections inherit it from
/// the listening socket.
void drop_data(int socket) {
  // Offsets in the TCP header, where the filter's data begins.
  constexpr std::uint32_t header_size_offset = 12;
  constexpr std::uint32_t flags_offset = 13;
  constexpr std::uint32_t pass_whole_segment = 0xffffffff;
  sock_filter program[] = {
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_FIN | TH_RST, 7, 0),
      // The upper four bits hold the size of the header in units of four bytes.
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, header_size_offset),
      BPF_STMT(BPF_ALU | BPF_RSH | BPF_K, 4),
      BPF_STMT(BPF_ALU | BPF_LSH | BPF_K, 2),
      BPF_STMT(BPF_MISC | BPF_TAX, 0),
      BPF_STMT(BPF_LD | BPF_W | BPF_LEN, 0),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_X, 0, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, pass_whole_segment),
      BPF_STMT(BPF_RET | BPF_K, 0),
  };
  sock_fprog const filter{static_cast<unsigned short>(std::size(program)), program};
  if (::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) != 0) {
    throw std::system_error(errno, std::generic_category(), "SO_ATTACH_FILTER");
  }
}

void pass_data(int socket) {
  int const unused = 0;
  // Fails for sockets without the filter.
  (void)::setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
}

/// Returns an address as /proc/net/tcp writes it.
std::string to_table_text(endpoint const& where) {
  sockaddr_in const address = to_address(where);
  char text[16];
  std::snprintf(text, sizeof text, "%08X:%04X", address.sin_addr.s_addr, where.port);
  return text;
}

}  // namespace

link_cut::link_cut(std::vector<endpoint> addresses) : addresses_(std::move(addresses)) {
  for_each_socket(addresses_, drop_data);
}

link_cut::~link_cut() { heal(); }

void link_cut::heal() {
  if (healed_) return;
  healed_ = true;
  for_each_socket(addresses_, pass_data);
}

std::size_t unacknowledged_bytes(endpoint const& peer) {
  std::string const wanted = to_table_text(peer);
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);  // headings
  std::size_t bytes = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number, local, remote, state, queues;
    fields >> number >> local >> remote >> state >> queues;
    if (remote == wanted) bytes += std::stoul(queues.substr(0, queues.find(':')), nullptr, 16);
  }
  return bytes;
}

}  // namespace frostline::testing
