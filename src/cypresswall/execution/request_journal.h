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

/// One attempt at a request. For a model request, includes the router's predictions when it chose
/// the engine.
struct AttemptRecord {
  common::MonotonicTime started{};
  /// Engine name, or address of the service's back end.
  std::string target;
  /// Engine that computes the prompt; empty if `target` does.
  std::string prefill_target;
  common::Duration expected_first_token{0};
  common::Duration expected_between_tokens{0};
  std::uint32_t expected_cached_tokens = 0;
  /// Number of tokens that the caller had already received when the attempt began.
  std::uint32_t resume_from = 0;
  /// How the attempt ended; empty while it runs.
  std::string result;
};

struct RequestRecord {
  std::string request_id;
  /// Identifier of the stream on the engine; empty for service requests.
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
  /// "running" while the request runs; afterwards how it ended, such as the outcome and the reason.
  std::string state = "running";
  std::vector<AttemptRecord> attempts;
};

/// Keeps the records of all running requests and of the most recently ended ones.
class RequestJournal {
 public:
  /// \param maximum_ended maximum number of ended requests whose records are kept
  explicit RequestJournal(std::size_t maximum_ended) : maximum_ended_(maximum_ended) {}

  /// \return the record of a request that has started; the caller updates it until it calls end()
  std::shared_ptr<RequestRecord> begin(RequestRecord record);
  void end(const std::shared_ptr<RequestRecord>& record, std::string state,
           common::MonotonicTime now);
  /// \return the record of the newest request with this identifier; null if there is none
  std::shared_ptr<const RequestRecord> find(const std::string& request_id) const;
  /// \return the records of the running requests, ordered by request identifier
  std::vector<std::shared_ptr<const RequestRecord>> running() const;

 private:
  const std::size_t maximum_ended_;
  std::map<std::string, std::shared_ptr<RequestRecord>> records_;
  std::deque<std::shared_ptr<RequestRecord>> ended_;
};

}  // namespace cypresswall::execution
