/// What became of each request and where its attempts went, for operators who ask.
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

/// One attempt, and what was expected of it when it was chosen.
struct AttemptRecord {
  common::MonotonicTime started{};
  /// Engine's name, or address of a service's back end.
  std::string target;
  /// Engine that computes the prompt, empty if `target` does.
  std::string prefill_target;
  common::Duration expected_first_token{0};
  common::Duration expected_between_tokens{0};
  std::uint32_t expected_cached_tokens = 0;
  /// Tokens that the caller already had.
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
  /// "running", then the outcome with its reason.
  std::string state = "running";
  std::vector<AttemptRecord> attempts;
};

/// Keeps all running requests and the last ended ones.
class RequestJournal {
 public:
  /// \param kept_ended number of ended requests that are kept
  explicit RequestJournal(std::size_t kept_ended) : kept_ended_(kept_ended) {}

  /// \return the record, to be filled in by its owner until end()
  std::shared_ptr<RequestRecord> begin(RequestRecord record);
  void end(const std::shared_ptr<RequestRecord>& record, std::string state,
           common::MonotonicTime now);
  /// \return the newest request of that identifier, null if none is known
  std::shared_ptr<const RequestRecord> find(const std::string& request_id) const;
  /// \return requests that run, ordered by identifier
  std::vector<std::shared_ptr<const RequestRecord>> running() const;

 private:
  const std::size_t kept_ended_;
  std::map<std::string, std::shared_ptr<RequestRecord>> records_;
  std::deque<std::shared_ptr<RequestRecord>> ended_;
};

}  // namespace cypresswall::execution
