/// A node's role as voter: its grants, promises and the records that it stores for the holder.
/// None of this state survives the process; a restarted process is a different node and voter.
#pragma once

#include <cstdint>
#include <optional>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"
#include "cypresswall/lease/lease_settings.h"
#include "cypresswall/lease/messages.h"
#include "cypresswall/lease/record_store.h"
#include "cypresswall/lease/voter_set.h"

namespace cypresswall::lease {

class Voter {
 public:
  Voter(const LeaseSettings& settings, common::NodeId self, const common::Clock& clock)
      : settings_(settings), self_(std::move(self)), clock_(clock) {}

  LeaseReply handle(const common::NodeId& sender, const LeaseRequest& request);
  void handle(const common::NodeId& sender, const ReleaseNotice& notice);
  FetchReply handle(const common::NodeId& sender, const FetchRequest& request);
  ReplicateReply handle(const common::NodeId& sender, const ReplicateRequest& request);
  /// Seals this voter: from then on it refuses all requests of generations before the requested
  /// one. A voter that knows a newer voter set than the sender refuses to be sealed.
  SealReply handle(const SealRequest& request);

  /// Adopts a voter set that a holder proposed or that was read from the store, if the set is newer
  /// than the newest one known to this voter.
  void learn(const VoterSet& set);
  /// Adopts a voter set that is known to be committed. If this node is not a member, it drops its
  /// records, since no quorum depends on them any more.
  void learnCommitted(const VoterSet& set);
  std::uint32_t sealedBefore() const { return lowest_generation_; }
  const VoterSet& newestSet() const { return newest_set_; }
  const common::Epoch& promised() const { return promised_; }
  /// \return the node to which this voter has given a grant that has not expired; nothing if there
  ///   is none.
  std::optional<common::NodeId> grantedTo() const;
  /// \return false for one lease duration after a new generation became known, since a lease of the
  ///   previous generation may be valid that long.
  bool mayGrant() const { return clock_.now() >= no_grant_before_; }
  const RecordStore& records() const { return records_; }

 private:
  struct Grant {
    common::NodeId holder;
    common::Epoch epoch;
    common::MonotonicTime expires;
  };

  GrantVerdict evaluate(const common::NodeId& sender, const LeaseRequest& request);
  GrantVerdict evaluateSet(const LeaseRequest& request);
  /// Promises `epoch` to its holder.
  /// \return false if requests of that epoch must be refused
  bool acceptEpoch(const common::NodeId& sender, const common::Epoch& epoch);

  LeaseSettings settings_;
  common::NodeId self_;
  const common::Clock& clock_;
  VoterSet newest_set_;
  common::Epoch promised_;
  /// The holder of the promised epoch, if its requests about records arrived before its first
  /// request for a grant. That request must not be refused because of the promise. Empty otherwise.
  common::NodeId promised_holder_;
  /// True if the promised epoch was released by a candidate that never held the lease under it;
  /// another node may then use the epoch.
  bool promise_released_ = false;
  std::optional<Grant> grant_;
  std::uint32_t lowest_generation_ = 0;
  common::MonotonicTime no_grant_before_ = common::MonotonicTime::min();
  RecordStore records_;
  std::uint32_t records_incarnation_ = 0;
};

}  // namespace cypresswall::lease
