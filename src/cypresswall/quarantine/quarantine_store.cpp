#include "cypresswall/quarantine/quarantine_store.h"

#include <utility>

namespace cypresswall::quarantine {
namespace {

/// \return the stored list; empty if there is none
/// \throws StoredQuarantineError
StoredQuarantine decode(const std::string& stored) {
  return stored.empty() ? StoredQuarantine{} : decodeStoredQuarantine(stored);
}

}  // namespace

QuarantineStore::QuarantineStore(const QuarantineSettings& settings,
                                 const api::ProcessContext& context,
                                 membership::MembershipView& membership,
                                 object_store::ObjectStore& store, Callbacks callbacks)
    : context_(context),
      callbacks_(std::move(callbacks)),
      unreadable_(context.counters.counter("cypresswall_quarantine_store_unreadable_total",
                                           "Stored quarantines that could not be read")),
      object_({"quarantine/" + context.zone, settings.store_retry_delay}, context, membership,
              store,
              {callbacks_.members, [this](const std::string& stored) { return newValue(stored); },
               [this](const std::string& stored) { onRead(stored); }},
              context.counters.counter("cypresswall_quarantine_store_failures_total",
                                       "Calls to the store for the quarantine that failed")) {}

void QuarantineStore::onRead(const std::string& stored) {
  try {
    callbacks_.restore(decode(stored).requests);
  } catch (const StoredQuarantineError& error) {
    unreadable_.add();
    common::LogEvent(context_.log, common::LogLevel::kWarning, "stored_quarantine_unreadable")
        .field("zone", context_.zone)
        .field("reason", error.what());
  }
}

/// An unreadable object counts as an empty list, which the next write replaces.
std::optional<std::string> QuarantineStore::newValue(const std::string& stored) const {
  StoredQuarantine quarantine;
  try {
    quarantine = decode(stored);
  } catch (const StoredQuarantineError&) {  // NOLINT(bugprone-empty-catch): logged by onRead()
  }
  auto present = callbacks_.present();
  if (present == quarantine.requests) {
    return std::nullopt;
  }
  quarantine.requests = std::move(present);
  return encodeStoredQuarantine(quarantine);
}

}  // namespace cypresswall::quarantine
