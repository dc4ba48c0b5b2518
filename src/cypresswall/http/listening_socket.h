/// Operations on a listening socket that let a server stop without resetting connections.
#pragma once

namespace cypresswall::http {

/// Attaches a socket filter with which the kernel drops new connection attempts (SYN packets).
/// Callers retransmit the dropped packets and are refused once the socket is closed. No effect on
/// kernels without socket filters.
void dropNewHandshakes(int listening_socket);

/// \return true if established connections are waiting to be accepted.
bool hasPendingConnections(int listening_socket);

}  // namespace cypresswall::http
