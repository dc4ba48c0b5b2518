#include "cypresswall/store_relay/packed_changes.h"

#include <zlib.h>

#include <cstring>
#include <msgpack.hpp>

#include "cypresswall/common/bounded_unpack.h"

namespace cypresswall::store_relay {
namespace {

/// The unpacked size in bytes stands before the compressed data.
using SizePrefix = std::uint64_t;

}  // namespace

std::string packChanges(const std::vector<StoreChange>& changes) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, changes);
  const SizePrefix size = buffer.size();
  uLongf length = compressBound(buffer.size());
  std::string packed(sizeof(size) + length, '\0');
  std::memcpy(packed.data(), &size, sizeof(size));
  if (compress2(reinterpret_cast<Bytef*>(packed.data() + sizeof(size)), &length,
                reinterpret_cast<const Bytef*>(buffer.data()), buffer.size(),
                Z_BEST_SPEED) != Z_OK) {
    throw std::bad_alloc();
  }
  packed.resize(sizeof(size) + length);
  return packed;
}

std::optional<std::vector<StoreChange>> unpackChanges(const std::string& packed) {
  SizePrefix size = 0;
  if (packed.size() < sizeof(size)) {
    return std::nullopt;
  }
  std::memcpy(&size, packed.data(), sizeof(size));
  if (size > kMaximumUnpackedBytes) {
    return std::nullopt;
  }
  std::string text(size, '\0');
  uLongf length = text.size();
  const int result = uncompress(reinterpret_cast<Bytef*>(text.data()), &length,
                                reinterpret_cast<const Bytef*>(packed.data() + sizeof(size)),
                                packed.size() - sizeof(size));
  if (result != Z_OK || length != text.size()) {
    return std::nullopt;
  }
  try {
    return common::unpackBounded(text).get().as<std::vector<StoreChange>>();
  } catch (const common::MsgpackError&) {
    return std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
}

}  // namespace cypresswall::store_relay
