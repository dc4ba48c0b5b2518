/// Keeps the quarantine list in the platform's object store, so that it survives a simultaneous
/// restart of all nodes.
#pragma once

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
#include "cypresswall/zone_object/zone_object.h"

namespace cypresswall::quarantine {

/// A zone's list is stored as one object. Its owner announces to the other nodes what it has read.
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

  void start() { object_.start(); }
  void listChanged() { object_.valueChanged(); }

 private:
  void onRead(const std::string& stored);
  /// \return the list to store instead of `stored`; nothing if `stored` holds it
  std::optional<std::string> newValue(const std::string& stored) const;

  const api::ProcessContext& context_;
  const Callbacks callbacks_;
  common::Counter& unreadable_;
  zone_object::ZoneObject object_;
};

}  // namespace cypresswall::quarantine
