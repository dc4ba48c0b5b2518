#include "tests/process/link_cut.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <filesystem>
#include <stdexcept>

namespace cypresswall::testing {
namespace {

using AddressCall = int (*)(int, sockaddr*, socklen_t*);

/// \return "IP:port"; empty if the socket has no such IPv4 address
std::string addressOf(int socket, AddressCall call) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (call(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0 ||
      address.sin_family != AF_INET) {
    return "";
  }
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

bool isTcp(int socket) {
  int type = 0;
  socklen_t size = sizeof type;
  return getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

void dropIncoming(int socket) {
  sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program{1, &drop_all};
  setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

std::vector<int> descriptorsOf(pid_t process) {
  std::vector<int> found;
  const auto folder = "/proc/" + std::to_string(process) + "/fd";
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    const std::string name = entry.path().filename().string();
    int descriptor = 0;
    std::from_chars(name.data(), name.data() + name.size(), descriptor);
    found.push_back(descriptor);
  }
  return found;
}

}  // namespace

void LinkCut::silence(pid_t process, const Selection& selected) {
  const auto handle = static_cast<int>(syscall(SYS_pidfd_open, process, 0));
  if (handle < 0) {
    throw std::runtime_error("no process " + std::to_string(process));
  }
  for (const int descriptor : descriptorsOf(process)) {
    const auto copy = static_cast<int>(syscall(SYS_pidfd_getfd, handle, descriptor, 0));
    if (copy < 0 && errno == EPERM) {
      close(handle);
      throw std::runtime_error("not permitted to read the process's descriptors");
    }
    if (copy < 0) {
      continue;  // closed meanwhile
    }
    if (isTcp(copy) && selected(addressOf(copy, &getsockname), addressOf(copy, &getpeername))) {
      dropIncoming(copy);
      sockets_.push_back(copy);
    } else {
      close(copy);
    }
  }
  close(handle);
}

void LinkCut::heal() {
  for (const int socket : sockets_) {
    const int unused = 0;
    setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
    close(socket);
  }
  sockets_.clear();
}

}  // namespace cypresswall::testing
