#include "cypresswall/configuration/change_log.h"

#include <algorithm>

#include "cypresswall/common/prompt.h"
#include "cypresswall/configuration/change.h"
#include "cypresswall/configuration/change_encoding.h"

namespace cypresswall::configuration {
namespace {

std::size_t sizeOf(const LoggedChange& entry) {
  std::size_t bytes = sizeof(LoggedChange) + entry.change.change_id.size();
  for (const ObjectChange& object : entry.change.objects) {
    bytes += sizeof(ObjectChange) + object.name.size() + object.value_json.size();
  }
  return bytes;
}

}  // namespace

ChainDigest chainDigest(ChainDigest previous, const ConfigurationChange& change) {
  return common::hash64(encodeChangeBody(change), previous);
}

LoggedChange chainChange(ChainDigest previous, ConfigurationChange change) {
  const ChainDigest digest = chainDigest(previous, change);
  return LoggedChange{std::move(change), previous, digest};
}

ChangeLog::ChangeLog(const ConfigurationSettings& settings)
    : settings_(settings), current_(std::make_shared<const FleetConfiguration>()) {}

AppendResult ChangeLog::append(const LoggedChange& entry) {
  const std::uint64_t entry_version = entry.change.version;
  if (entry_version <= version()) {
    const auto known = digestAt(entry_version);
    return known && *known != entry.digest ? AppendResult::kFork : AppendResult::kKnown;
  }
  if (entry_version > version() + 1) {
    return AppendResult::kGap;
  }
  if (entry.previous_digest != digest_ || chainDigest(digest_, entry.change) != entry.digest) {
    return AppendResult::kFork;
  }
  AppendResult result = AppendResult::kApplied;
  FleetConfiguration next;
  try {
    next = applyChange(*current_, entry.change, DecodeOptions{false, false});
  } catch (const ConfigurationError&) {
    next = *current_;
    next.version = entry_version;
    result = AppendResult::kAppliedWithoutEffect;
  }
  current_ = std::make_shared<const FleetConfiguration>(std::move(next));
  digest_ = entry.digest;
  retain(entry);
  return result;
}

bool ChangeLog::install(const ConfigurationSnapshot& snapshot) {
  if (snapshot.configuration.version <= version()) {
    return false;
  }
  current_ = std::make_shared<const FleetConfiguration>(snapshot.configuration);
  digest_ = snapshot.digest;
  changes_.clear();
  retained_bytes_ = 0;
  records_.assign(snapshot.records.begin(), snapshot.records.end());
  const auto& last = snapshot.last_change;
  if (last && last->change.version == version() && last->digest == digest_) {
    changes_.push_back(*last);
    retained_bytes_ = sizeOf(*last);
  }
  return true;
}

void ChangeLog::retain(const LoggedChange& entry) {
  changes_.push_back(entry);
  retained_bytes_ += sizeOf(entry);
  while (changes_.size() > settings_.retained_changes ||
         (retained_bytes_ > settings_.retained_bytes && changes_.size() > 1)) {
    retained_bytes_ -= sizeOf(changes_.front());
    changes_.pop_front();
  }
  records_.push_back(ChangeRecord{entry.change.version, entry.digest, entry.change.change_id,
                                  entry.change.author});
  if (records_.size() > settings_.retained_records) {
    records_.pop_front();
  }
}

const LoggedChange* ChangeLog::find(std::uint64_t version) const {
  if (changes_.empty() || version < changes_.front().change.version || version > this->version()) {
    return nullptr;
  }
  return &changes_[version - changes_.front().change.version];
}

std::vector<LoggedChange> ChangeLog::from(std::uint64_t version, std::size_t maximum_bytes) const {
  std::vector<LoggedChange> entries;
  std::size_t bytes = 0;
  for (const LoggedChange* entry = find(version); entry != nullptr; entry = find(++version)) {
    bytes += sizeOf(*entry);
    if (!entries.empty() && bytes > maximum_bytes) {
      break;
    }
    entries.push_back(*entry);
  }
  return entries;
}

std::optional<ChainDigest> ChangeLog::digestAt(std::uint64_t version) const {
  if (version == this->version()) {
    return digest_;
  }
  if (version == 0) {
    return ChainDigest{0};
  }
  const auto record = std::lower_bound(
      records_.begin(), records_.end(), version,
      [](const ChangeRecord& known, std::uint64_t wanted) { return known.version < wanted; });
  if (record == records_.end() || record->version != version) {
    return std::nullopt;
  }
  return record->digest;
}

const ChangeRecord* ChangeLog::findChangeId(const std::string& change_id) const {
  const auto record =
      std::find_if(records_.rbegin(), records_.rend(),
                   [&](const ChangeRecord& known) { return known.change_id == change_id; });
  return record == records_.rend() ? nullptr : &*record;
}

ConfigurationSnapshot ChangeLog::snapshot() const {
  ConfigurationSnapshot snapshot{*current_, digest_, {}, std::nullopt};
  if (!changes_.empty()) {
    snapshot.last_change = changes_.back();
  }
  const std::size_t count = std::min(records_.size(), settings_.snapshot_records);
  snapshot.records.assign(records_.end() - static_cast<std::ptrdiff_t>(count), records_.end());
  return snapshot;
}

}  // namespace cypresswall::configuration
