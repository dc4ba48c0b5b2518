/// Unpacking of msgpack bytes from outside, which may be damaged or hostile.
#pragma once

#include <cstddef>
#include <msgpack.hpp>
#include <string_view>

#include "cypresswall/common/errors.h"

namespace cypresswall::common {

/// Number of containers that may be nested within each other. The deepest format in use has fewer
/// than 10.
inline constexpr std::size_t kMaximumMsgpackDepth = 32;
/// Upper bound for the values of one text, each of which takes 24 bytes after unpacking. A member
/// list of the largest zone has half of it.
inline constexpr std::size_t kMaximumMsgpackValues = std::size_t{1} << 20;

/// Thrown if bytes are no msgpack value, or are nested too deeply or have too many values.
class MsgpackError : public Error {
 public:
  using Error::Error;
};

/// \return the value that `bytes` consist of. Nothing is allocated before depth and number of
/// values
///   are checked, so that damaged lengths can't claim memory.
/// \throws MsgpackError
msgpack::object_handle unpackBounded(std::string_view bytes);

}  // namespace cypresswall::common
