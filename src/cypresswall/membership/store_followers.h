/// How often each node of a zone asks the platform's store for what it follows there. A watch that
/// waits may be swallowed by a fault, so somebody has to ask anew often; a call has its price, so
/// not everybody does. A few nodes ask often; the others hear from them, by the digests that nodes
/// attach to themselves, that there is something newer, and then ask at once.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::membership {

struct StoreFollowerSettings {
  /// Nodes of a zone that ask often, for each thing followed.
  std::size_t frequent_nodes = 3;
  /// Longest wait of a watch of these nodes, and of the others.
  common::Duration frequent_poll_time = std::chrono::milliseconds(1000);
  common::Duration other_poll_time = std::chrono::seconds(3);
  /// What a peer knows is asked for only if the own watch did not tell it within this.
  common::Duration patience = std::chrono::milliseconds(100);
};

class StoreFollowers {
 public:
  /// \return the store's revision that this node has reached
  using Revision = std::function<std::uint64_t()>;

  /// \pre `membership` outlives the object, which lives until the process drops its callbacks
  StoreFollowers(const StoreFollowerSettings& settings, const api::ProcessContext& context,
                 MembershipView& membership);
  StoreFollowers(const StoreFollowers&) = delete;
  StoreFollowers& operator=(const StoreFollowers&) = delete;

  /// \param topic digest by which nodes tell one another the revision of the last change
  /// \param look_again asks the store at once, dropping a watch that waits
  void follow(DigestTopic topic, Revision revision, std::function<void()> look_again);
  /// This node learnt of a change.
  void changed(DigestTopic topic, std::uint64_t revision);
  /// \return how long a watch for `topic` may wait now
  common::Duration pollTime(DigestTopic topic) const;

 private:
  struct Followed {
    Revision revision;
    std::function<void()> look_again;
    bool check_pending = false;
  };

  bool asksOften(DigestTopic topic) const;
  bool behind(DigestTopic topic, const Followed& followed) const;
  void onMembership();
  void check(DigestTopic topic);

  StoreFollowerSettings settings_;
  api::ProcessContext context_;
  MembershipView& membership_;
  std::map<DigestTopic, Followed> followed_;
  common::Counter& asked_again_;
};

}  // namespace cypresswall::membership
