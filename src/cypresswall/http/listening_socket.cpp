#include "cypresswall/http/listening_socket.h"

#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>

namespace cypresswall::http {

void dropNewHandshakes(int listening_socket) {
  constexpr unsigned kFlagsOffset = 13;  // within the TCP header
  constexpr unsigned kSyn = 0x02;
  constexpr unsigned kAck = 0x10;
  constexpr unsigned kDrop = 0;
  constexpr unsigned kKeep = 0xffffffff;
  std::array<sock_filter, 5> program = {{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSyn | kAck),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, kDrop),
      BPF_STMT(BPF_RET | BPF_K, kKeep),
  }};
  const sock_fprog filter = {static_cast<unsigned short>(program.size()), program.data()};
  ::setsockopt(listening_socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

bool hasPendingConnections(int listening_socket) {
  pollfd poll_entry{listening_socket, POLLIN, 0};
  return ::poll(&poll_entry, 1, 0) > 0;
}

}  // namespace cypresswall::http
