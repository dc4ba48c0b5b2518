#include "cypresswall/runtime/tcp_progress.h"

// The C library's own declaration of tcp_info lacks the counts.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cstddef>
#include <optional>

namespace cypresswall::runtime {
namespace {

/// \param needed size of the part of tcp_info that the caller reads
std::optional<tcp_info> infoOf(int socket, std::size_t needed) {
  tcp_info info{};
  socklen_t size = sizeof info;
  const bool known = ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  return known && size >= needed ? std::optional(info) : std::nullopt;
}

}  // namespace

std::uint32_t receivedDataSegments(int socket) {
  constexpr std::size_t kNeeded =
      offsetof(tcp_info, tcpi_data_segs_in) + sizeof(tcp_info::tcpi_data_segs_in);
  const auto info = infoOf(socket, kNeeded);
  return info ? info->tcpi_data_segs_in : 0;
}

std::uint64_t bytesReadFrom(int socket) {
  constexpr std::size_t kNeeded =
      offsetof(tcp_info, tcpi_bytes_received) + sizeof(tcp_info::tcpi_bytes_received);
  const auto info = infoOf(socket, kNeeded);
  int unread = 0;
  if (!info || ::ioctl(socket, SIOCINQ, &unread) != 0) {
    return 0;
  }
  const auto waiting = static_cast<std::uint64_t>(unread);
  return info->tcpi_bytes_received > waiting ? info->tcpi_bytes_received - waiting : 0;
}

}  // namespace cypresswall::runtime
