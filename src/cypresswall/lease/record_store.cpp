#include "cypresswall/lease/record_store.h"

namespace cypresswall::lease {
namespace {

/// Approximate encoded size of a record without key and payload, in bytes.
constexpr std::size_t kRecordOverhead = 32;

}  // namespace

std::size_t encodedSize(const Record& record) {
  return record.key.key.size() + record.payload.size() + kRecordOverhead;
}

void RecordStore::apply(const Record& record) {
  const auto held = records_.find(record.key);
  if (held != records_.end() && held->second.version >= record.version) {
    return;
  }
  if (!record.erased) {
    records_[record.key] = record;
  } else if (held != records_.end()) {
    records_.erase(held);
  }
}

std::vector<Record> RecordStore::page(const RecordKey& after, std::size_t bytes) const {
  std::vector<Record> page;
  std::size_t size = 0;
  for (auto it = records_.upper_bound(after); it != records_.end(); ++it) {
    size += encodedSize(it->second);
    if (!page.empty() && size > bytes) {
      break;
    }
    page.push_back(it->second);
  }
  return page;
}

}  // namespace cypresswall::lease
