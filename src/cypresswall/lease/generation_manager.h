/// The part of a zone's authority that lies in the platform's store: which generation of voters is
/// in force. It creates the first, notes the holder's voters, and begins a new generation once
/// every voter that the store names has ended or promised to stay out.
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
  /// What the keeper needs of the authority.
  struct Authority {
    std::function<const VoterSet&()> newest_set;
    std::function<void(const VoterSet&)> learn;
    /// Takes the first set of a new generation and tells the zone.
    std::function<void(const VoterSet&)> broadcast;
    std::function<void(const common::NodeId&, const VoterSetRequest&)> ask_set;
    std::function<void(const common::NodeId&, const SealRequest&)> ask_seal;
  };

  GenerationManager(const LeaseSettings& settings, const api::ProcessContext& context,
                    membership::MembershipView& membership, object_store::ObjectStore& store,
                    Authority authority);

  /// To be called often while no holder is believed in.
  void onHolderMissing();
  /// To be called when a holder is believed in.
  void onHolderKnown();
  void handle(const common::NodeId& sender, const SealReply& reply);
  /// Notes that a voter takes part in no generation before `generation`.
  void recordSealed(const common::NodeId& voter, std::uint32_t generation);

  /// For the holder: where the noting of its voters in the store stands.
  struct RecordingStep {
    /// If set, the anchors that the holder has to commit next.
    std::optional<std::vector<NodeList>> anchors;
  };
  /// Brings the store's record up to the holder's committed set, one step a call.
  RecordingStep recordVoters(const VoterSet& committed);
  /// Forgets what a former time as holder left unfinished.
  void resetRecording();

 private:
  /// What the store held when last read.
  struct Stored {
    std::uint64_t version = 0;
    std::optional<AuthorityRecord> record;
  };
  enum class RecordingState : std::uint8_t { kIdle, kReading, kRead, kWriting, kWritten };

  void read(std::function<void(const Stored&)> use);
  void write(std::uint64_t expected_version, const AuthorityRecord& record,
             const std::function<void(bool)>& done);
  void resolveOutcome(std::uint64_t expected_version, const AuthorityRecord& record,
                      const std::string& change_id, const std::function<void(bool)>& done);
  void requestVoterSets();
  void consider(const Stored& stored);
  void createFirst();
  void considerTakeover(const Stored& stored);
  void begin(std::uint64_t expected_version, std::uint32_t generation);
  bool quorumLost(const VoterSet& set) const;
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
  /// The lowest generation that each sealed voter takes part in.
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
