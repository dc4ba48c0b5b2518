#include "cypresswall/lease/replicator.h"

#include <algorithm>
#include <utility>

namespace cypresswall::lease {
namespace {

/// Number of the latest requests whose replies are still accepted. Replies to older requests are
/// ignored, so the records that they acknowledge are sent again.
constexpr std::uint64_t kRememberedRequests = 4096;

}  // namespace

void Replicator::begin(const common::Epoch& epoch) {
  end();
  epoch_ = epoch;
  next_sequence_ = 0;
  recovered_ = false;
  recovery_records_ = 0;
  records_.clear();
}

void Replicator::end() {
  followers_.clear();
  batches_.clear();
  const auto pending = std::move(pending_);
  pending_.clear();
  for (const auto& [sequence, record] : pending) {
    if (record.committed) {
      record.committed(false);
    }
  }
}

void Replicator::track(const common::NodeId& node) {
  const auto [follower, added] = followers_.try_emplace(node);
  if (added) {
    fetch(node, follower->second, RecordKey{});
  }
}

void Replicator::retain(const NodeSet& nodes) {
  std::erase_if(followers_, [&](const auto& entry) { return !nodes.contains(entry.first); });
  std::erase_if(batches_, [&](const auto& entry) { return !nodes.contains(entry.second.node); });
}

bool Replicator::checkRecordsIncarnation(const common::NodeId& node,
                                         std::uint32_t records_incarnation) {
  const auto follower = followers_.find(node);
  if (follower == followers_.end() || !follower->second.known ||
      follower->second.records_incarnation == records_incarnation) {
    return false;
  }
  follower->second = Follower{};
  fetch(node, follower->second, RecordKey{});
  return true;
}

void Replicator::fetch(const common::NodeId& node, Follower& follower, const RecordKey& after) {
  follower.fetch_request = ++next_request_;
  follower.last_sent = clock_.now();
  lease_.send_fetch(node, FetchRequest{follower.fetch_request, epoch_, after});
}

void Replicator::handle(const common::NodeId& sender, const FetchReply& reply) {
  const auto found = followers_.find(sender);
  if (found == followers_.end() || found->second.fetch_request != reply.request ||
      found->second.known) {
    return;
  }
  if (!reply.accepted) {
    lease_.superseded();
    return;
  }
  Follower& follower = found->second;
  if (!follower.content.empty() && follower.records_incarnation != reply.records_incarnation) {
    follower.content.clear();
    fetch(sender, follower, RecordKey{});
    return;
  }
  follower.records_incarnation = reply.records_incarnation;
  for (const auto& record : reply.records) {
    follower.content[record.key] = record.version;
    auto& held = records_[record.key];
    if (!recovered_ && held.version < record.version) {
      held = record;
    } else if (held.version == RecordVersion{}) {
      records_.erase(record.key);
    }
  }
  if (!reply.finished) {
    fetch(sender, follower, reply.records.back().key);
    return;
  }
  fetchFinished(sender, follower);
}

void Replicator::fetchFinished(const common::NodeId& node, Follower& follower) {
  follower.known = true;
  if (recovered_) {
    sendDifferences(node, follower);
  } else {
    tryRecovery();
  }
}

void Replicator::tryRecovery() {
  NodeSet collected;
  for (const auto& [node, follower] : followers_) {
    if (follower.known) {
      collected.insert(node);
    }
  }
  if (!lease_.isDurableOn(collected)) {
    return;
  }
  recovered_ = true;
  adoptRecords(collected);
  for (auto& [node, follower] : followers_) {
    if (follower.known) {
      sendDifferences(node, follower);
    }
  }
}

void Replicator::adoptRecords(const NodeSet& collected) {
  std::vector<RecordKey> uncertain;
  for (const auto& entry : records_) {
    const Record& record = entry.second;
    const auto holds = [&](const common::NodeId& node) {
      const auto& content = followers_.at(node).content;
      const auto held = content.find(record.key);
      return held != content.end() && held->second == record.version;
    };
    if (!std::all_of(collected.begin(), collected.end(), holds)) {
      uncertain.push_back(record.key);
    }
  }
  for (const auto& key : uncertain) {
    ++recovery_records_;
    submit(key, records_.at(key).payload, nullptr, true);
  }
}

void Replicator::sendDifferences(const common::NodeId& node, Follower& follower) {
  for (const auto& [key, record] : records_) {
    const auto held = follower.content.find(key);
    if (held == follower.content.end() || held->second != record.version) {
      follower.missing[key] = record.version;
    }
  }
  std::vector<Record> erased;
  for (const auto& [key, version] : follower.content) {
    if (!records_.contains(key)) {
      erased.push_back(Record{key, {epoch_, ++next_sequence_}, true, {}});
    }
  }
  follower.content.clear();
  if (!erased.empty()) {
    lease_.send_records(node, ReplicateRequest{++next_request_, epoch_, std::move(erased)});
  }
  sendMissing(node, follower);
}

void Replicator::replicate(const RecordKey& key, std::string payload,
                           QuorumLog::Committed committed) {
  submit(key, std::move(payload), std::move(committed), false);
}

void Replicator::submit(const RecordKey& key, std::string payload, QuorumLog::Committed committed,
                        bool recovery) {
  const RecordVersion version{epoch_, ++next_sequence_};
  records_[key] = Record{key, version, false, std::move(payload)};
  pending_[version.sequence] = Pending{key, {}, std::move(committed), recovery};
  for (auto& [node, follower] : followers_) {
    follower.missing[key] = version;
    if (follower.known && !recovery) {
      batches_[++next_request_] = Batch{node, {{key, version}}};
      follower.last_sent = clock_.now();
      lease_.send_records(node, ReplicateRequest{next_request_, epoch_, {records_.at(key)}});
    }
  }
}

void Replicator::erase(const RecordKey& key) {
  if (records_.erase(key) == 0) {
    return;
  }
  std::vector<QuorumLog::Committed> dropped;
  std::erase_if(pending_, [&](auto& entry) {
    const bool drop = entry.second.key == key;
    if (drop && entry.second.committed) {
      dropped.push_back(std::move(entry.second.committed));
    }
    return drop;
  });
  const Record record{key, {epoch_, ++next_sequence_}, true, {}};
  for (auto& [node, follower] : followers_) {
    follower.missing.erase(key);
    lease_.send_records(node, ReplicateRequest{++next_request_, epoch_, {record}});
  }
  for (const auto& committed : dropped) {
    committed(false);
  }
}

void Replicator::sendMissing(const common::NodeId& node, Follower& follower) {
  follower.last_sent = clock_.now();
  ReplicateRequest request{++next_request_, epoch_, {}};
  Batch batch{node, {}};
  std::size_t bytes = 0;
  for (const auto& [key, version] : follower.missing) {
    const auto record = records_.find(key);
    bytes += encodedSize(record->second);
    if (!batch.records.empty() && bytes > settings_.maximum_batch_bytes) {
      break;
    }
    request.records.push_back(record->second);
    batch.records.emplace_back(key, version);
  }
  if (!batch.records.empty()) {
    batches_[request.request] = std::move(batch);
    lease_.send_records(node, request);
  }
}

void Replicator::tick() {
  const auto now = clock_.now();
  for (auto& [node, follower] : followers_) {
    if (now - follower.last_sent < settings_.resend_interval) {
      continue;
    }
    if (!follower.known) {
      const RecordKey after =
          follower.content.empty() ? RecordKey{} : follower.content.rbegin()->first;
      fetch(node, follower, after);
    } else if (!follower.missing.empty()) {
      sendMissing(node, follower);
    }
  }
}

void Replicator::handle(const common::NodeId& sender, const ReplicateReply& reply) {
  const auto batch = batches_.extract(reply.request);
  if (batch.empty() || batch.mapped().node != sender) {
    return;
  }
  if (!reply.accepted) {
    lease_.superseded();
    return;
  }
  if (checkRecordsIncarnation(sender, reply.records_incarnation)) {
    return;
  }
  for (const auto& [key, version] : batch.mapped().records) {
    acknowledged(sender, key, version);
  }
  batches_.erase(
      batches_.begin(),
      batches_.lower_bound(reply.request - std::min(reply.request, kRememberedRequests)));
  checkCommitted();
}

void Replicator::acknowledged(const common::NodeId& node, const RecordKey& key,
                              const RecordVersion& version) {
  const auto follower = followers_.find(node);
  if (follower != followers_.end()) {
    const auto missing = follower->second.missing.find(key);
    if (missing != follower->second.missing.end() && missing->second == version) {
      follower->second.missing.erase(missing);
    }
  }
  if (version.epoch != epoch_) {
    return;
  }
  // Acknowledging a value also acknowledges the older values of its key.
  const auto end = pending_.upper_bound(version.sequence);
  for (auto pending = pending_.begin(); pending != end; ++pending) {
    if (pending->second.key == key) {
      pending->second.acknowledged.insert(node);
    }
  }
}

void Replicator::checkCommitted() {
  std::vector<QuorumLog::Committed> callbacks;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (!lease_.isDurableOn(it->second.acknowledged)) {
      ++it;
      continue;
    }
    recovery_records_ -= it->second.recovery ? 1 : 0;
    callbacks.push_back(std::move(it->second.committed));
    it = pending_.erase(it);
  }
  for (const auto& callback : callbacks) {
    if (callback) {
      callback(true);
    }
  }
}

bool Replicator::synced(const common::NodeId& node) const {
  const auto follower = followers_.find(node);
  if (follower == followers_.end() || !follower->second.known || !recovered_) {
    return false;
  }
  const auto& missing = follower->second.missing;
  return std::all_of(missing.begin(), missing.end(), [this](const auto& entry) {
    return entry.second.epoch == epoch_ && pending_.contains(entry.second.sequence);
  });
}

}  // namespace cypresswall::lease
