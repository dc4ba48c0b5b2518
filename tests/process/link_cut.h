/// Cuts a process off: the kernel drops what arrives on chosen sockets of a child process, without
/// an acknowledgement, as on a broken link.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

namespace cypresswall::testing {

class LinkCut {
 public:
  /// \return true if the socket is part of the cut
  /// \param local "IP:port"; \param peer "IP:port", empty for a listening socket
  using Selection = std::function<bool(const std::string& local, const std::string& peer)>;

  LinkCut() = default;
  ~LinkCut() { heal(); }
  LinkCut(const LinkCut&) = delete;
  LinkCut& operator=(const LinkCut&) = delete;

  /// Silences the chosen TCP sockets that the process has now. \throws std::runtime_error
  void silence(pid_t process, const Selection& selected);
  /// Lets everything pass again.
  void heal();
  std::size_t sockets() const { return sockets_.size(); }

 private:
  /// Duplicates of the processes' descriptors.
  std::vector<int> sockets_;
};

}  // namespace cypresswall::testing
