/// A mixed load on a TestFleet: streamed answers, compared byte by byte with the answers of the
/// emulated engines, and bookings that may run at most once, checked against the service's ledger.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "tests/process/test_fleet.h"

namespace cypresswall::testing {

/// Results so far. Only `violations` are failures; the rest may result from injected faults.
struct WorkloadReport {
  std::uint64_t whole_streams = 0;
  /// Streams that ended with an explicit error, or with their gateway's connection.
  std::uint64_t failed_streams = 0;
  /// Streams whose connection was established and ended before the answer was complete.
  std::uint64_t broken_streams = 0;
  /// Streams that were refused, or whose connection could not be established.
  std::uint64_t refused_streams = 0;
  std::uint64_t bookings_done = 0;
  std::uint64_t bookings_not_run = 0;
  std::uint64_t bookings_unknown = 0;
  /// Calls of the service that may be repeated.
  std::uint64_t lookups_whole = 0;
  std::uint64_t lookups_failed = 0;
  /// Details of each broken stream and each booking with unknown outcome.
  std::vector<std::string> incidents;
  /// Wrong or incomplete answers, bookings that ran twice or contrary to their reported outcome,
  /// and refusals for load without Retry-After.
  std::vector<std::string> violations;
};

/// A call of the HTTP service, as the service receives it.
struct ServiceCall {
  std::string method;
  std::string path;
  std::string key;
  std::string body;
};

/// \return the identifier of the request that the service ran for `call` if `body` is its whole
///   response, byte by byte
std::optional<std::string> requestOfWholeBody(const std::string& body, const ServiceCall& call);

/// \return true for a status that must not be given to a request that may have run, since callers
///   repeat it
bool invitesRepeat(int status);

HttpAnswer callService(HttpClient& client, const std::string& gateway, const ServiceCall& call);

class Workload {
 public:
  Workload(const TestFleet& fleet, std::size_t threads);
  ~Workload();
  Workload(const Workload&) = delete;
  Workload& operator=(const Workload&) = delete;

  /// Excludes a node from new requests, or includes it again.
  void setEnabled(std::size_t node, bool enabled) { enabled_[node] = enabled; }
  WorkloadReport report() const;
  /// Waits for this many more complete streams and done bookings.
  void waitForMore(std::uint64_t streams, std::uint64_t bookings) const;
  /// Ends the load, and adds violations found in the service's ledger.
  WorkloadReport finish();

 private:
  /// Outcomes reported to the callers of one key.
  struct KeyHistory {
    bool reported_done = false;
    bool only_reported_not_run = true;
    /// Identifiers of the runs whose answers the caller got.
    std::vector<std::string> answered_by;
  };

  void run(std::size_t thread);
  void stream(HttpClient& client, const std::string& gateway, const std::string& prompt);
  void checkStream(const HttpAnswer& answer, const std::string& prompt);
  void book(std::size_t thread, const std::string& key);
  void recordBooking(const HttpAnswer& answer, const ServiceCall& call);
  void lookUp(HttpClient& client, const std::string& gateway, const std::string& name);
  /// Records a violation if a success isn't the service's whole body for this call.
  /// \return the identifier of the request that the service ran; empty for a wrong body
  std::string checkServiceBody(const HttpAnswer& answer, const ServiceCall& call);
  void checkRefusal(const HttpAnswer& answer);
  /// Records a violation if the status invites the caller to repeat a request that may have run.
  void checkUnknownOutcome(const HttpAnswer& answer);
  void checkLedger();
  const std::string& pickGateway(std::uint64_t number) const;
  void recordIncident(const std::string& request, const HttpAnswer& answer);
  void addViolation(const std::string& text);

  const TestFleet& fleet_;
  std::vector<std::atomic<bool>> enabled_;
  std::atomic<bool> stop_{false};
  mutable std::mutex mutex_;
  WorkloadReport report_;
  std::map<std::string, KeyHistory> keys_;
  std::vector<std::thread> threads_;
};

}  // namespace cypresswall::testing
