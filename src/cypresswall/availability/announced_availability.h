/// Keeps what engines and back ends have said about themselves in their answers to this node: that
/// they leave, or for how long they want no requests.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/common/server_announcement.h"

namespace cypresswall::availability {

struct AnnouncedAvailabilitySettings {
  /// False: announcements are recorded and logged, but servers count as available all the same.
  bool enforced = true;
  /// How long a server that said it leaves counts as leaving after the last answer that said so.
  /// Bounds the effect of a server that says so by mistake.
  common::Duration leaving_retention = std::chrono::minutes(10);
  /// Each pause is extended by a random share of up to this value, so that the nodes do not return
  /// to the server at the same time.
  double pause_jitter = 0.25;
};

/// The state that one server announced.
struct AnnouncedState {
  bool leaving = false;
  /// When a response last said that the server leaves.
  common::MonotonicTime leaving_seen_at{};
  common::MonotonicTime paused_until{};
};

/// A server is one life of an engine or back end: its next life has another name and begins with
/// no announcements. The state does not depend on whether the server is declared, so it outlasts a
/// store that is unavailable or returns older entries.
class AnnouncedAvailability {
 public:
  using Listener = std::function<void(const std::string& server)>;

  /// \pre `context` outlives this object
  AnnouncedAvailability(const AnnouncedAvailabilitySettings& settings,
                        const api::ProcessContext& context);
  AnnouncedAvailability(const AnnouncedAvailability&) = delete;
  AnnouncedAvailability& operator=(const AnnouncedAvailability&) = delete;

  /// Records what a server's answer says. Of several pauses, the one that ends last is kept.
  void answered(const std::string& server, const common::ServerAnnouncement& announcement);
  /// Forgets what a server announced. To be called when it has restarted under the same name.
  void forget(const std::string& server);
  /// \return true if the server said that it leaves
  bool leaving(const std::string& server) const;
  /// \return the end of the server's pause; in the past if it has none
  common::MonotonicTime pausedUntil(const std::string& server) const;
  /// \return false if the server leaves or is paused, so that nothing may be sent to it
  bool acceptsRequests(const std::string& server) const;
  /// \return the servers that leave or are paused
  std::vector<std::string> unavailable() const;
  /// \param listener called after the state of a server has changed
  void onChange(Listener listener) { listeners_.push_back(std::move(listener)); }

 private:
  const AnnouncedState* find(const std::string& server) const;
  void recordLeaving(const std::string& server);
  void recordPause(const std::string& server, common::Duration pause);
  void notify(const std::string& server) const;
  void updateGauge() const;
  /// Updates the gauge when the retention of a leaving server has ended. Nothing else happens then.
  void awaitRetentionEnd(const std::string& server);
  bool leaves(const AnnouncedState& state) const;
  /// \return true if the server neither leaves nor is paused any more
  bool expired(const AnnouncedState& state) const;
  void expire();

  const AnnouncedAvailabilitySettings settings_;
  const api::ProcessContext& context_;
  std::map<std::string, AnnouncedState> states_;
  std::vector<Listener> listeners_;
  common::Counter& leaving_;
  common::Counter& pauses_;
  common::Counter& unreadable_;
  common::Counter& unavailable_gauge_;
};

}  // namespace cypresswall::availability
