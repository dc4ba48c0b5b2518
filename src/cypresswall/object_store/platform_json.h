/// JSON of the object API and of the machine list (docs/protocols.md).
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/object_store/machine_list.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::object_store {

/// Thrown when an answer of the platform cannot be parsed.
class PlatformProtocolError : public common::Error {
 public:
  using common::Error::Error;
};

/// \return the body of the PUT request; it does not contain the key, which is part of the path.
std::string objectWriteJson(const ObjectWrite& write);

/// Each function parses the body of one kind of answer. \throws PlatformProtocolError
StoredObject parseStoredObject(std::string_view json);
ObjectListing parseObjectListing(std::string_view json);
std::vector<Machine> parseMachines(std::string_view json);

}  // namespace cypresswall::object_store
