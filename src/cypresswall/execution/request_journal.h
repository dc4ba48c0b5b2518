/// Records of requests and their attempts, for operator queries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/common/time.h"

namespace cypresswall::execution {

/// One attempt, with the router's predictions at the time it was chosen.
struct AttemptRecord {
  common::MonotonicTime started{};
  /// Engine name, or address of the service's back end.
  std::string target;
  /// Engine that computes the prompt; empty if `target` does.
  std::string prefill_target;
  common::Duration expected_first_token{0};
  common::Duration expected_between_tokens{0};
  std::uint32_t expected_cached_tokens = 0;
  /// Number of tokens that the caller already had.
  std::uint32_t resume_from = 0;
  /// Empty while the attempt runs.
  std::string result;
};

struct RequestRecord {
  std::string request_id;
  /// Empty for services.
  std::string stream_id;
  common::TenantName tenant;
  common::ServiceName service;
  common::ModelName model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t maximum_tokens = 0;
  std::uint32_t tokens_given = 0;
  common::MonotonicTime started{};
  common::MonotonicTime ended{};
  bool running = true;
  /// "running", later the outcome with its reason.
  std::string state = "running";
  std::vector<AttemptRecord> attempts;
};

/// Keeps all running requests and the most recently ended ones.
class RequestJournal {
 public:
  /// \param maximum_ended number of ended requests to keep
  explicit RequestJournal(std::size_t maximum_ended) : maximum_ended_(maximum_ended) {}

  /// \return the record, which the caller updates until end()
  std::shared_ptr<RequestRecord> begin(RequestRecord record);
  void end(const std::shared_ptr<RequestRecord>& record, std::string state,
           common::MonotonicTime now);
  /// \return the newest request with that identifier, null if there is none
  std::shared_ptr<const RequestRecord> find(const std::string& request_id) const;
  /// \return running requests, ordered by identifier
  std::vector<std::shared_ptr<const RequestRecord>> running() const;

 private:
  const std::size_t maximum_ended_;
  std::map<std::string, std::shared_ptr<RequestRecord>> records_;
  std::deque<std::shared_ptr<RequestRecord>> ended_;
};

}  // namespace cypresswall::execution
