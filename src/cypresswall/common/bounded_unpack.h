/// Unpacking of msgpack bytes that may be damaged.
#pragma once

#include <cstddef>
#include <msgpack.hpp>
#include <string>

namespace cypresswall::common {

/// \return the unpacked object. A damaged length can't allocate more than the bytes can hold.
/// \throws std::exception if the bytes are malformed
inline msgpack::object_handle unpackBounded(const std::string& bytes) {
  const std::size_t size = bytes.size();
  const msgpack::unpack_limit limit(size, size, size, size, size);
  return msgpack::unpack(bytes.data(), size, nullptr, nullptr, limit);
}

}  // namespace cypresswall::common
