/// What the kernel counts on a TCP connection.
#pragma once

#include <cstdint>

namespace cypresswall::runtime {

/// \return the number of received segments that carried data; zero if it is unknown. Unlike a count
///   of bytes, it is not changed by the end of the connection.
std::uint32_t receivedDataSegments(int socket);

/// \return bytes read from the connection since it was opened; zero if the kernel does not tell
std::uint64_t bytesReadFrom(int socket);

}  // namespace cypresswall::runtime
