/// The record of a lease that is decided by the platform's store: the last holder and its term, as
/// JSON.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::lease {

/// Thrown when the stored lease record of a zone cannot be parsed.
class LeaseRecordError : public common::Error {
 public:
  using common::Error::Error;
};

struct LeaseRecord {
  common::NodeId holder;
  /// From 1; increases with each holder, so that no two holders share a term.
  std::uint32_t term = 0;
  /// Incarnation of the store in which the record was written; zero if the writer names none.
  std::uint64_t store_incarnation = 0;
};

/// \return the key of a zone's lease in the store.
std::string leaseKey(const common::ZoneName& zone);
std::string encodeLeaseRecord(const LeaseRecord& record);
/// \throws LeaseRecordError
LeaseRecord decodeLeaseRecord(const std::string& text);

}  // namespace cypresswall::lease
