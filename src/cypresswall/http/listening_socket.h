/// What a server needs of its listening socket to stop without resetting any connection.
#pragma once

namespace cypresswall::http {

/// Lets the kernel drop whatever begins a new connection to the listening socket. Callers try again
/// by themselves, and are refused once the socket is closed. Without effect where the kernel knows
/// no socket filters.
void refuseHandshakes(int listening_socket);

/// \return true if connections wait to be accepted.
bool connectionsWait(int listening_socket);

}  // namespace cypresswall::http
