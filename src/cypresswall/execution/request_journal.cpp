#include "cypresswall/execution/request_journal.h"

#include <utility>

namespace cypresswall::execution {

std::shared_ptr<RequestRecord> RequestJournal::begin(RequestRecord record) {
  auto shared = std::make_shared<RequestRecord>(std::move(record));
  records_[shared->request_id] = shared;
  return shared;
}

void RequestJournal::end(const std::shared_ptr<RequestRecord>& record, std::string state,
                         common::MonotonicTime now) {
  record->running = false;
  record->state = std::move(state);
  record->ended = now;
  ended_.push_back(record);
  if (ended_.size() <= maximum_ended_) {
    return;
  }
  const auto oldest = std::move(ended_.front());
  ended_.pop_front();
  const auto entry = records_.find(oldest->request_id);
  // If a later request used the same identifier, `records_` contains its record, which must stay.
  if (entry != records_.end() && entry->second == oldest) {
    records_.erase(entry);
  }
}

std::shared_ptr<const RequestRecord> RequestJournal::find(const std::string& request_id) const {
  const auto entry = records_.find(request_id);
  return entry == records_.end() ? nullptr : entry->second;
}

std::vector<std::shared_ptr<const RequestRecord>> RequestJournal::running() const {
  std::vector<std::shared_ptr<const RequestRecord>> found;
  for (const auto& [request_id, record] : records_) {
    if (record->running) {
      found.push_back(record);
    }
  }
  return found;
}

}  // namespace cypresswall::execution
