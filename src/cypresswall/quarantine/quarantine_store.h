/// What is kept from engines, in the platform's store: it outlives all nodes, which may end at once
/// and keep nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"
#include "cypresswall/quarantine/quarantine_settings.h"
#include "cypresswall/quarantine/stored_quarantine.h"

namespace cypresswall::quarantine {

/// One node of the zone, found by rendezvous hashing, keeps the object: it reads it when it takes
/// that over, tells the others what it holds, and writes it when the list has changed. A calm zone
/// makes one call for each node that takes over. Two nodes that both take themselves for the keeper
/// lose nothing: each reads the other's object before it writes again. A node that has lost all
/// others, perhaps by a cut, reads it again each second: nobody else tells it what they keep away.
class QuarantineStore {
 public:
  struct Interfaces {
    /// \return the nodes of which one keeps the object
    std::function<std::vector<common::NodeId>()> members;
    /// \return what is kept away now, ordered
    std::function<std::vector<common::RequestFingerprint>()> present;
    /// Takes what was read from the store.
    std::function<void(const std::vector<common::RequestFingerprint>&)> take;
  };

  QuarantineStore(const QuarantineSettings& settings, const api::ProcessContext& context,
                  membership::MembershipView& membership, object_store::ObjectStore& store,
                  Interfaces interfaces);
  QuarantineStore(const QuarantineStore&) = delete;
  QuarantineStore& operator=(const QuarantineStore&) = delete;

  void start();
  /// The list of what is kept away has changed.
  void listChanged() { lookAfter(common::Duration{0}); }

 private:
  void lookAfter(common::Duration delay);
  /// Reads or writes, if this node is the keeper and there is something to do.
  void look();
  bool keeper() const;
  /// \return true if this node sees no other though it has seen some
  bool deserted();
  void read();
  void onRead(const object_store::StoreResult<object_store::StoredObject>& result);
  void write(const std::vector<common::RequestFingerprint>& requests);
  void storeFailed();
  void onWritten(const object_store::StoreResult<object_store::StoredObject>& result);
  void observe(const object_store::StoredObject& object);

  const QuarantineSettings settings_;
  const api::ProcessContext& context_;
  membership::MembershipView& membership_;
  object_store::ObjectStore& store_;
  const Interfaces interfaces_;
  const std::string key_;
  bool started_ = false;
  bool has_seen_others_ = false;
  bool call_under_way_ = false;
  /// The store failed; nothing is called before this.
  common::MonotonicTime next_call_at_{};
  common::TimerId look_timer_ = 0;
  /// As last read or written by this keeper; empty until then.
  std::optional<StoredQuarantine> stored_;
  std::uint64_t version_ = 0;
  std::uint64_t next_change_ = 0;
  common::Counter& failures_;
  common::Counter& unreadable_;
};

}  // namespace cypresswall::quarantine
