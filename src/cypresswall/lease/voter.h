/// One node's part as a voter: grants, promises and the records that it keeps for the holder.
/// Nothing of it outlives the process; a restarted process is another node and another voter.
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
  /// Refuses every request of generations before the one named, from now on, unless this voter
  /// knows a newer set than the sender judged by.
  SealReply handle(const SealRequest& request);

  /// Takes a voter set that some holder proposed or the store gave, if it is newer.
  void learn(const VoterSet& set);
  /// Takes a voter set that is known to be committed. A node that it leaves out forgets its
  /// records: no quorum counts on them any more.
  void learnCommitted(const VoterSet& set);
  std::uint32_t sealedBefore() const { return lowest_generation_; }
  const VoterSet& newestSet() const { return newest_set_; }
  const common::Epoch& promised() const { return promised_; }
  /// \return the node whose grant has not run out, if any.
  std::optional<common::NodeId> grantedTo() const;
  /// \return false for one lease duration after a new generation became known, since a lease of the
  ///   generation before may last that long.
  bool mayGrant() const { return clock_.now() >= no_grant_before_; }
  const RecordStore& records() const { return records_; }

 private:
  struct Grant {
    common::NodeId holder;
    common::Epoch epoch;
    common::MonotonicTime expires;
  };

  GrantVerdict judge(const common::NodeId& sender, const LeaseRequest& request);
  GrantVerdict judgeSet(const LeaseRequest& request);
  /// \return true if a request of the holder of `epoch` is to be carried out; promises the epoch.
  bool acceptEpoch(const common::NodeId& sender, const common::Epoch& epoch);

  LeaseSettings settings_;
  common::NodeId self_;
  const common::Clock& clock_;
  VoterSet newest_set_;
  common::Epoch promised_;
  /// The holder of the promised epoch, if it is known from its records; a grant may follow.
  common::NodeId promised_holder_;
  /// The promised epoch was given back by a candidate that never won it.
  bool promise_released_ = false;
  std::optional<Grant> grant_;
  std::uint32_t lowest_generation_ = 0;
  common::MonotonicTime no_grant_before_ = common::MonotonicTime::min();
  RecordStore records_;
  std::uint32_t records_incarnation_ = 0;
};

}  // namespace cypresswall::lease
