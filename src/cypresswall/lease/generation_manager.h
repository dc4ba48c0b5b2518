/// Manages the authority record in the platform's store, which names the current generation of
/// voters. Creates the first generation and records the lease holder's current voters. If the
/// voters have lost their quorum, begins a new generation once every voter that the store names has
/// ended or is sealed, that is, has agreed to take no further part in the old generation.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/lease/authority_record.h"
#include "cypresswall/lease/lease_settings.h"
#include "cypresswall/lease/messages.h"
#include "cypresswall/lease/voter_set.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::lease {

class GenerationManager {
 public:
  /// Callbacks into the zone authority.
  struct Authority {
    std::function<const VoterSet&()> newest_set;
    std::function<void(const VoterSet&)> learn;
    /// Adopts the first set of a new generation and sends it to the zone.
    std::function<void(const VoterSet&)> broadcast;
    std::function<void(const common::NodeId&, const VoterSetRequest&)> request_set;
    std::function<void(const common::NodeId&, const SealRequest&)> request_seal;
  };

  GenerationManager(const LeaseSettings& settings, const api::ProcessContext& context,
                    membership::MembershipView& membership, object_store::ObjectStore& store,
                    Authority authority);

  /// To be called periodically while no holder is known.
  void onHolderMissing();
  /// To be called periodically while a holder is known.
  void onHolderKnown();
  void handle(const common::NodeId& sender, const SealReply& reply);
  /// Records that a voter no longer takes part in generations before `generation`.
  void recordSealed(const common::NodeId& voter, std::uint32_t generation);

  /// What the holder must do next to get its voters recorded in the store.
  struct RecordingStep {
    /// The anchors (see VoterSet) that the holder must commit next; nothing if there are none to
    /// commit.
    std::optional<std::vector<NodeList>> anchors;
  };
  /// Updates the record in the store to the holder's committed voter set. To be called repeatedly,
  /// as each call does one step only.
  RecordingStep recordVoters(const VoterSet& committed);
  /// Discards an update of the record that was not finished when this node last lost the lease.
  void resetRecording();

 private:
  /// The record as last read from the store.
  struct Stored {
    std::uint64_t version = 0;
    std::optional<AuthorityRecord> record;
  };
  enum class RecordingState : std::uint8_t { kIdle, kReading, kRead, kWriting, kWritten };

  void read(std::function<void(const Stored&)> use);
  void write(std::uint64_t expected_version, const AuthorityRecord& record,
             const std::function<void(bool)>& done);
  /// Reads the record back to find out whether a write without an answer took effect.
  void resolveOutcome(std::uint64_t expected_version, const AuthorityRecord& record,
                      const std::string& change_id, const std::function<void(bool)>& done);
  void requestVoterSets();
  void consider(const Stored& stored);
  void createFirst();
  void considerTakeover(const Stored& stored);
  void begin(std::uint64_t expected_version, std::uint32_t generation);
  bool quorumLost(const VoterSet& set) const;
  /// \return true if the voter is confirmed dead or sealed against generations before
  ///   `next_generation`.
  bool isRetired(const common::NodeId& voter, std::uint32_t next_generation) const;
  void readForRecording();

  LeaseSettings settings_;
  api::ProcessContext context_;
  membership::MembershipView& membership_;
  object_store::ObjectStore& store_;
  Authority authority_;
  common::MonotonicTime start_time_;
  std::optional<common::MonotonicTime> no_holder_since_;
  common::MonotonicTime next_store_check_;
  bool busy_ = false;
  /// Lowest generation in which each sealed voter still takes part.
  std::map<common::NodeId, std::uint32_t> sealed_before_;
  RecordingState recording_ = RecordingState::kIdle;
  std::uint64_t recording_round_ = 0;
  common::MonotonicTime next_recording_;
  std::uint64_t stored_version_ = 0;
  NodeList stored_voters_;
  NodeList wanted_voters_;
  std::uint64_t change_count_ = 0;
  common::Counter& conflict_count_;
  common::Counter& unavailable_count_;
  common::Counter& lost_answer_count_;
  common::Counter& generation_count_;
};

}  // namespace cypresswall::lease
