#include "cypresswall/runtime/tcp_progress.h"

// The C library's own declaration of tcp_info lacks the counts.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace cypresswall::runtime {

std::uint32_t receivedDataSegments(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  return ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_data_segs_in
                                                                        : 0;
}

}  // namespace cypresswall::runtime
