/// Record replication on the lease holder: recovers the records from the voters after an election,
/// keeps every voter up to date and reports when a record is committed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/lease/lease_settings.h"
#include "cypresswall/lease/messages.h"
#include "cypresswall/lease/quorum_log.h"
#include "cypresswall/lease/record_store.h"
#include "cypresswall/lease/voter_set.h"

namespace cypresswall::lease {

class Replicator {
 public:
  /// Callbacks into the zone authority.
  struct Lease {
    std::function<void(const common::NodeId&, const FetchRequest&)> send_fetch;
    std::function<void(const common::NodeId&, const ReplicateRequest&)> send_records;
    /// \return true if records stored by `nodes` are durable: `nodes` contain a majority of each
    ///   voter set in use.
    std::function<bool(const NodeSet& nodes)> isDurableOn;
    /// Called when a voter refused a request because it accepted a higher epoch.
    std::function<void()> superseded;
  };

  Replicator(const LeaseSettings& settings, const common::Clock& clock, Lease lease)
      : settings_(settings), clock_(clock), lease_(std::move(lease)) {}

  /// Starts under a newly acquired epoch and drops all earlier state.
  void begin(const common::Epoch& epoch);
  /// Stops; callbacks of uncommitted records are called with false.
  void end();
  /// Starts replication to a node, first fetching the records that it holds.
  void track(const common::NodeId& node);
  /// Stops replication to all nodes but `nodes`.
  void retain(const NodeSet& nodes);
  /// Fetches the records of a node again if the node has dropped them since the last fetch.
  /// \return true if the node has dropped them
  bool checkRecordsIncarnation(const common::NodeId& node, std::uint32_t records_incarnation);
  /// Sends unacknowledged records again; to be called periodically.
  void tick();

  /// \return true once the records that a majority of the voters held were collected, and all of
  ///   these records are stored by a majority.
  bool recovered() const { return recovered_ && recovery_records_ == 0; }
  /// \return true if the node holds every committed record.
  bool synced(const common::NodeId& node) const;
  /// Reevaluates which records are committed; to be called after a change of the voter sets.
  void checkCommitted();

  void handle(const common::NodeId& sender, const FetchReply& reply);
  void handle(const common::NodeId& sender, const ReplicateReply& reply);

  void replicate(const RecordKey& key, std::string payload, QuorumLog::Committed committed);
  void erase(const RecordKey& key);
  const RecordStore::Records& records() const { return records_; }

 private:
  using Content = std::map<RecordKey, RecordVersion>;
  /// A node that records are replicated to.
  struct Follower {
    bool known = false;
    std::uint32_t records_incarnation = 0;
    std::uint64_t fetch_request = 0;
    common::MonotonicTime last_sent;
    /// Versions of the records that the node held when they were fetched.
    Content content;
    /// Versions of the records that the node has not acknowledged yet.
    Content missing;
  };
  /// One message of records in flight.
  struct Batch {
    common::NodeId node;
    std::vector<std::pair<RecordKey, RecordVersion>> records;
  };
  /// A record that is not committed yet.
  struct Pending {
    RecordKey key;
    NodeSet acknowledged;
    QuorumLog::Committed committed;
    bool recovery = false;
  };

  void fetch(const common::NodeId& node, Follower& follower, const RecordKey& after);
  void fetchFinished(const common::NodeId& node, Follower& follower);
  void tryRecovery();
  void adoptRecords(const NodeSet& collected);
  void sendDifferences(const common::NodeId& node, Follower& follower);
  void submit(const RecordKey& key, std::string payload, QuorumLog::Committed committed,
              bool recovery);
  void sendMissing(const common::NodeId& node, Follower& follower);
  void acknowledged(const common::NodeId& node, const RecordKey& key, const RecordVersion& version);

  LeaseSettings settings_;
  const common::Clock& clock_;
  Lease lease_;
  common::Epoch epoch_;
  std::uint64_t next_request_ = 0;
  std::uint64_t next_sequence_ = 0;
  bool recovered_ = false;
  std::size_t recovery_records_ = 0;
  RecordStore::Records records_;
  std::map<common::NodeId, Follower> followers_;
  std::map<std::uint64_t, Batch> batches_;
  /// Records that are not committed yet, by sequence number under the current epoch.
  std::map<std::uint64_t, Pending> pending_;
};

}  // namespace cypresswall::lease
