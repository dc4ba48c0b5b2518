/// The lease holder's table of claims. The holder changes the table on a claim or report, and
/// answers the sender only after a majority of the voters has stored the change.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/idempotency/claim_settings.h"
#include "cypresswall/idempotency/key_ownership.h"
#include "cypresswall/idempotency/messages.h"
#include "cypresswall/lease/authority_view.h"
#include "cypresswall/lease/quorum_log.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::idempotency {

enum class ClaimState : std::uint8_t { kInProgress, kCompleted, kReleased };

}  // namespace cypresswall::idempotency

MSGPACK_ADD_ENUM(cypresswall::idempotency::ClaimState)

namespace cypresswall::idempotency {

/// A claim as replicated to the voters.
struct ClaimRecord {
  ClaimState state = ClaimState::kInProgress;
  std::uint64_t digest = 0;
  ClaimId claim;
  std::string answer;
  /// Zone of the claimer.
  common::ZoneName zone = {};
  MSGPACK_DEFINE(state, digest, claim, answer, zone)
};

class ClaimTable {
 public:
  using ClaimAnswered = std::function<void(const ClaimReply&)>;
  using ReportStored = std::function<void()>;

  ClaimTable(const ClaimSettings& settings, const api::ProcessContext& context,
             lease::AuthorityView& authority, lease::QuorumLog& log,
             membership::MembershipView& membership, const KeyOwnership& ownership);

  void start();
  /// Decides a claim. `answered` may be called later, or never if the lease is lost meanwhile.
  void claim(const ClaimRequest& request, const ClaimAnswered& answered);
  /// Applies a report. `stored` is called once a majority of the voters stores it.
  void report(const ClaimReport& report, const ReportStored& stored);

 private:
  struct Entry {
    ClaimRecord record;
    /// True while `record` is not yet stored by a majority of the voters.
    bool committing = false;
    common::MonotonicTime expires;
    /// The record could not be read: the key may have been used by any request.
    bool unreadable = false;
  };

  void leaseChanged(std::optional<common::Epoch> epoch);
  void load(const common::Epoch& epoch);
  /// \return the record, or nothing if it can't be read
  template <typename Record>
  std::optional<Record> readable(const std::string& key, const std::string& payload);
  void sweep();
  void settleOwnership();
  common::MonotonicTime ownershipSettlesAt() const;
  bool mayDecide(const ClaimRequest& request) const;
  void grantNew(const ClaimRequest& request, const ClaimAnswered& answered);
  ClaimReply evaluate(const ClaimRequest& request, const Entry& entry) const;
  void put(const std::string& key, ClaimRecord record, std::function<void()> committed);
  void forget(const std::string& key);
  bool claimerMayReport(const ClaimRecord& record) const;
  std::string storableAnswer(const std::string& answer) const;

  ClaimSettings settings_;
  api::ProcessContext context_;
  lease::AuthorityView& authority_;
  lease::QuorumLog& log_;
  membership::MembershipView& membership_;
  const KeyOwnership& ownership_;
  std::map<std::string, Entry> entries_;
  std::size_t answer_bytes_ = 0;
  /// Until this time, a key that is not in the table may have been claimed in an earlier generation
  /// of voters, whose records may be lost. Claims on such keys are answered as uncertain. Empty if
  /// there is no such doubt.
  std::optional<common::MonotonicTime> uncertain_until_;
  std::uint32_t generation_ = 0;
  /// Version of a zone set. The retention of all claims made under earlier zone sets has ended.
  /// Replicated to the voters.
  std::uint64_t settled_zones_version_ = 0;
  /// Version of the current zone set, as last seen by this holder.
  std::uint64_t zones_version_ = 0;
  /// Time since which this holder has seen this version.
  common::MonotonicTime zones_version_since_;
  common::Counter& granted_count_;
  common::Counter& full_count_;
  common::Counter& uncertain_count_;
  common::Counter& moved_count_;
  common::Counter& not_owner_count_;
  common::Counter& answer_dropped_count_;
  common::Counter& unreadable_count_;
};

}  // namespace cypresswall::idempotency
