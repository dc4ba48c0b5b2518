/// The open connections of a CurlMulti. libcurl does not tell the socket of a reused connection,
/// only its addresses and ports.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::runtime {

class OpenConnections {
 public:
  /// \param name of the connection; no other open connection of the process has it
  void opened(int socket, const std::string& name, const common::Address& peer) {
    closed(socket);
    sockets_[name] = socket;
    names_[socket] = {name, peer};
    by_peer_.emplace(peer, socket);
  }
  void closed(int socket) {
    const auto known = names_.extract(socket);
    if (!known.empty()) {
      sockets_.erase(known.mapped().first);
      by_peer_.erase({known.mapped().second, socket});
    }
  }
  /// \return the socket of the connection with that name, if it is open
  std::optional<int> find(const std::string& name) const {
    const auto socket = sockets_.find(name);
    return socket == sockets_.end() ? std::nullopt : std::optional(socket->second);
  }
  std::vector<int> socketsTo(const common::Address& peer) const {
    std::vector<int> sockets;
    for (auto entry = by_peer_.lower_bound({peer, 0});
         entry != by_peer_.end() && entry->first == peer; ++entry) {
      sockets.push_back(entry->second);
    }
    return sockets;
  }

 private:
  std::unordered_map<std::string, int> sockets_;
  std::unordered_map<int, std::pair<std::string, common::Address>> names_;
  std::set<std::pair<common::Address, int>> by_peer_;
};

}  // namespace cypresswall::runtime
