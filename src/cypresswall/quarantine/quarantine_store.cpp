#include "cypresswall/quarantine/quarantine_store.h"

#include <algorithm>
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
                                 object_store::ObjectStore& store,
                                 const common::TimeOfDay& time_of_day, Callbacks callbacks)
    : settings_(settings),
      context_(context),
      callbacks_(std::move(callbacks)),
      wall_clock_offset_(
          time_of_day ? std::make_optional(time_of_day() - context.clock.now().time_since_epoch())
                      : std::nullopt),
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
    const StoredQuarantine quarantine = decode(stored);
    callbacks_.restore(quarantine.requests);
    if (wall_clock_offset_) {
      std::vector<RequestCrashes> crashes;
      for (const StoredCrashes& of_request : quarantine.crashes) {
        crashes.push_back(restored(of_request));
      }
      callbacks_.restoreCrashes(crashes);
    }
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
  auto crashes = wall_clock_offset_ ? storedCrashes() : quarantine.crashes;
  if (present == quarantine.requests && crashes == quarantine.crashes) {
    return std::nullopt;
  }
  quarantine.requests = std::move(present);
  quarantine.crashes = std::move(crashes);
  return encodeStoredQuarantine(quarantine);
}

void QuarantineStore::crashAdded() {
  if (!wall_clock_offset_ || std::exchange(write_scheduled_, true)) {
    return;
  }
  context_.scheduler.schedule(settings_.crash_write_delay, [this] { writeCrashes(); });
}

void QuarantineStore::writeCrashes() {
  write_scheduled_ = false;
  object_.valueChanged();
  context_.scheduler.schedule(settings_.answered_crash_delay, [this] { object_.valueChanged(); });
}

std::vector<StoredCrashes> QuarantineStore::storedCrashes() const {
  std::vector<StoredCrashes> all;
  std::size_t count = 0;
  for (const RequestCrashes& of_request : callbacks_.crashes()) {
    count += of_request.crashes.size();
    if (count > settings_.maximum_stored_crashes) {
      break;
    }
    StoredCrashes stored{of_request.request, {}};
    for (const CrashObservation& crash : of_request.crashes) {
      const auto at = crash.at.time_since_epoch() + *wall_clock_offset_;
      stored.crashes.push_back({crash.engine,
                                std::chrono::duration_cast<std::chrono::milliseconds>(at),
                                crash.output_began, crash.earlier_parts, crash.later_parts});
    }
    all.push_back(std::move(stored));
  }
  return all;
}

RequestCrashes QuarantineStore::restored(const StoredCrashes& stored) const {
  const auto now = context_.clock.now();
  RequestCrashes crashes{stored.request, {}};
  for (const StoredCrash& crash : stored.crashes) {
    const common::MonotonicTime at{crash.at - *wall_clock_offset_};
    crashes.crashes.push_back({crash.engine, crash.output_began, std::min(at, now),
                               crash.earlier_parts, crash.later_parts});
  }
  return crashes;
}

}  // namespace cypresswall::quarantine
