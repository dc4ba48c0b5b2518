/// An object of the platform's store in which the nodes of a zone, which have no persistent state
/// of their own, keep what must survive a simultaneous restart of all of them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::zone_object {

struct ZoneObjectSettings {
  /// Key in the store.
  std::string key;
  /// Delay before the next call to the store after a failed one.
  common::Duration retry_delay = std::chrono::seconds(1);
  /// Number of nodes that read and write the object: with several, it is kept although the store
  /// refuses some of them.
  std::size_t owners = 1;
};

/// One node of the zone or a few, chosen by rendezvous hashing, own the object. An owner reads the
/// object when it becomes one, and writes it when its value has changed. Without changes, each new
/// owner makes a single call to the store. Nothing is lost if several nodes own the object, or
/// consider themselves its owner: a write fails if another node has written since, and the object
/// is then read before it is written again. After a change, the owners other than the first wait
/// for its write, and read the object before they write it. Once the store has been restored from a
/// copy, which may hold an older object, the owner reads the object again. A node that has lost
/// contact with all others, for example in a network partition, rereads the object every second,
/// since the others can't tell it anything.
class ZoneObject {
 public:
  struct Callbacks {
    /// \return the nodes from which the owner of the object is chosen
    std::function<std::vector<common::NodeId>()> members;
    /// \return the value to store instead of `stored`; nothing if `stored` is up to date
    std::function<std::optional<std::string>(const std::string& stored)> newValue;
    /// Called with the value that the owner has read; empty if the store holds none.
    std::function<void(const std::string& stored)> onRead;
  };

  /// \param failures counts the calls to the store that failed
  /// \pre all references outlive this object
  ZoneObject(ZoneObjectSettings settings, const api::ProcessContext& context,
             membership::MembershipView& membership, object_store::ObjectStore& store,
             Callbacks callbacks, common::Counter& failures);
  ZoneObject(const ZoneObject&) = delete;
  ZoneObject& operator=(const ZoneObject&) = delete;

  void start();
  /// To be called when newValue() may return another value than before.
  void valueChanged();
  /// \return the nodes that own the object, the first owner first
  std::vector<common::NodeId> owners() const;

 private:
  /// The object as last read or written.
  struct Stored {
    /// Zero if the store holds no object.
    std::uint64_t version = 0;
    std::string value;
  };

  void reconcileAfter(common::Duration delay);
  /// If this node is the owner, reads the object if its value is unknown, or writes it if the value
  /// has changed.
  void reconcile();
  /// \return this node's place among the owners, the first one being 0; nothing if it is none
  std::optional<std::size_t> ownerRank() const;
  /// \return true if this node sees no other node but has seen some before
  bool isolated();
  void watchIncarnation();
  /// Forgets the object if the store has begun a new incarnation.
  void checkIncarnation();
  void read();
  void onRead(const object_store::StoreResult<object_store::StoredObject>& result);
  void write(std::string value);
  void onWritten(const object_store::StoreResult<object_store::StoredObject>& result);
  void storeFailed();

  const ZoneObjectSettings settings_;
  const api::ProcessContext& context_;
  membership::MembershipView& membership_;
  object_store::ObjectStore& store_;
  const Callbacks callbacks_;
  bool started_ = false;
  bool has_seen_others_ = false;
  bool call_in_flight_ = false;
  /// Earliest time of the next call after a failure of the store.
  common::MonotonicTime next_call_at_{};
  common::TimerId reconcile_timer_ = 0;
  /// Of the store, at the last check.
  std::uint64_t incarnation_ = 0;
  /// Empty unless this node is an owner and has read the object.
  std::optional<Stored> stored_;
  std::uint64_t next_change_ = 0;
  common::Counter& failures_;
};

}  // namespace cypresswall::zone_object
