/// Keeps the quarantine list and the crashes that are counted in the platform's object store, so
/// that they survive a simultaneous restart of all nodes.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/common/request_fingerprint.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/object_store/object_store.h"
#include "cypresswall/quarantine/crash_history.h"
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
    /// \return the crashes under requests that are not quarantined, the most important first
    std::function<std::vector<RequestCrashes>()> crashes;
    /// Adds crashes that were read from the store to those that are counted.
    std::function<void(const std::vector<RequestCrashes>&)> restoreCrashes;
  };

  /// \param time_of_day wall-clock time since the Unix epoch; if it is empty, no crashes are stored
  QuarantineStore(const QuarantineSettings& settings, const api::ProcessContext& context,
                  membership::MembershipView& membership, object_store::ObjectStore& store,
                  const common::TimeOfDay& time_of_day, Callbacks callbacks);
  QuarantineStore(const QuarantineStore&) = delete;
  QuarantineStore& operator=(const QuarantineStore&) = delete;

  void start() { object_.start(); }
  void listChanged() { object_.valueChanged(); }
  /// To be called after a crash was counted.
  void crashAdded();
  /// \return the nodes that write the object
  std::vector<common::NodeId> owners() const { return object_.owners(); }

 private:
  void writeCrashes();
  std::vector<StoredCrashes> storedCrashes() const;
  RequestCrashes restored(const StoredCrashes& stored) const;
  void onRead(const std::string& stored);
  /// \return the list to store instead of `stored`; nothing if `stored` holds it
  std::optional<std::string> newValue(const std::string& stored) const;

  const QuarantineSettings settings_;
  const api::ProcessContext& context_;
  const Callbacks callbacks_;
  /// Wall-clock time at the beginning of the monotonic clock; empty if the wall clock is not known.
  /// Read once, so that a jump of the wall clock changes no stored time.
  const std::optional<common::Duration> wall_clock_offset_;
  bool write_scheduled_ = false;
  common::Counter& unreadable_;
  zone_object::ZoneObject object_;
};

}  // namespace cypresswall::quarantine
