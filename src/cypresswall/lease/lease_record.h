/// What the platform's store holds of a zone's lease where the store itself decides who has it:
/// the last holder and its term, as JSON.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::lease {

/// The stored value of a zone's lease can't be read.
class LeaseRecordError : public common::Error {
 public:
  using common::Error::Error;
};

struct LeaseRecord {
  common::NodeId holder;
  /// From 1; rises with each holder, so that no two use one.
  std::uint32_t term = 0;
};

/// \return the store's key for the lease of a zone.
std::string leaseKey(const common::ZoneName& zone);
std::string encodeLeaseRecord(const LeaseRecord& record);
/// \throws LeaseRecordError
LeaseRecord decodeLeaseRecord(const std::string& text);

}  // namespace cypresswall::lease
