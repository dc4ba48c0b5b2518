/// Records that the lease holder replicates to the zone's voters, by module and key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"

namespace cypresswall::lease {

/// Which module a record belongs to.
enum class RecordModule : std::uint8_t { kNone = 0, kIdempotency = 1, kOrders = 2 };

}  // namespace cypresswall::lease

MSGPACK_ADD_ENUM(cypresswall::lease::RecordModule)

namespace cypresswall::lease {

struct RecordKey {
  RecordModule module = RecordModule::kNone;
  std::string key;

  auto operator<=>(const RecordKey&) const = default;  // NOLINT(modernize-use-nullptr)
  MSGPACK_DEFINE(module, key)
};

/// Orders the values of one key: by the epoch of the holder that wrote them, then by the sequence
/// number that this holder gave them.
struct RecordVersion {
  common::Epoch epoch;
  std::uint64_t sequence = 0;

  auto operator<=>(const RecordVersion&) const = default;  // NOLINT(modernize-use-nullptr)
  MSGPACK_DEFINE(epoch, sequence)
};

struct Record {
  RecordKey key;
  RecordVersion version;
  /// Tombstone: the key is to be removed; the payload is empty.
  bool erased = false;
  std::string payload;
  MSGPACK_DEFINE(key, version, erased, payload)
};

class RecordStore {
 public:
  using Records = std::map<RecordKey, Record>;

  /// Stores the record if it is newer than the stored one; an erased record removes its key.
  void apply(const Record& record);
  void clear() { records_.clear(); }
  const Records& records() const { return records_; }
  /// \return the records with keys after `after`, in key order, up to a total size of `bytes`; at
  ///   least one record if there is any.
  std::vector<Record> page(const RecordKey& after, std::size_t bytes) const;

 private:
  Records records_;
};

/// \return the approximate size of a record in a message, in bytes.
std::size_t encodedSize(const Record& record);

}  // namespace cypresswall::lease
