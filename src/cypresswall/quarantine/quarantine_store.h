/// Keeps the quarantine list in the platform's object store, so that it survives a simultaneous
/// restart of all nodes, which have no persistent state of their own.
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

/// A zone's list is stored as one object. One node of the zone, chosen by rendezvous hashing, owns
/// the object. The owner reads the object when it becomes the owner, announces the content to the
/// other nodes, and writes the object when the list has changed. Without changes, each new owner
/// makes a single call to the store. If two nodes both consider themselves the owner, no entry is
/// lost: a write fails if the other node has written since, and the object is then read before it
/// is written again. A node that has lost contact with all others, for example in a network
/// partition, rereads the object every second, since it gets no notices from them.
class QuarantineStore {
 public:
  struct Callbacks {
    /// \return the nodes from which the owner of the object is chosen
    std::function<std::vector<common::NodeId>()> members;
    /// \return the requests that are quarantined now, ordered
    std::function<std::vector<common::RequestFingerprint>()> present;
    /// Adds requests that were read from the store to the quarantine.
    std::function<void(const std::vector<common::RequestFingerprint>&)> restore;
  };

  QuarantineStore(const QuarantineSettings& settings, const api::ProcessContext& context,
                  membership::MembershipView& membership, object_store::ObjectStore& store,
                  Callbacks callbacks);
  QuarantineStore(const QuarantineStore&) = delete;
  QuarantineStore& operator=(const QuarantineStore&) = delete;

  void start();
  void listChanged() { reconcileAfter(common::Duration{0}); }

 private:
  void reconcileAfter(common::Duration delay);
  /// If this node is the owner, reads the object if its content is unknown, or writes it if the
  /// list has changed.
  void reconcile();
  bool isOwner() const;
  /// \return true if this node sees no other node but has seen some before
  bool isolated();
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
  const Callbacks callbacks_;
  const std::string key_;
  bool started_ = false;
  bool has_seen_others_ = false;
  bool call_in_flight_ = false;
  /// Earliest time of the next call after a failure of the store.
  common::MonotonicTime next_call_at_{};
  common::TimerId reconcile_timer_ = 0;
  /// Content of the object as last read or written while this node is the owner; empty if the
  /// object must be read first.
  std::optional<StoredQuarantine> stored_;
  std::uint64_t version_ = 0;
  std::uint64_t next_change_ = 0;
  common::Counter& failures_;
  common::Counter& unreadable_;
};

}  // namespace cypresswall::quarantine
