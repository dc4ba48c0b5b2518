// Orders to an emulated engine, the changes that they trigger, crashes and restarts.
#include <algorithm>

#include "cypresswall/emulation/engine.h"
#include "cypresswall/emulation/engine_stream.h"

namespace cypresswall::emulation {

using engines::OrderKind;

std::optional<engines::OrderReply> EmulatedEngine::handleOrder(const engines::EngineOrder& order) {
  if (down_) {
    return std::nullopt;
  }
  const FenceContext situation{incarnation_, change_.has_value(), idle()};
  engines::OrderReply reply;
  reply.verdict = fence_.evaluate(order, situation);
  ++ledger_.orders_received;
  if (ledger_.orders.size() < settings_.ledger_limit) {
    ledger_.orders.push_back({order, reply.verdict, incarnation_, clock_.now()});
  }
  if (reply.verdict == engines::OrderVerdict::kAccepted) {
    beginChange(order.content);
  }
  reply.highest_epoch = fence_.highestEpoch();
  reply.last_sequence = fence_.lastSequence();
  reply.in_progress = change_.has_value();
  return reply;
}

bool EmulatedEngine::alreadyInEffect(const engines::OrderContent& content) const {
  switch (content.kind) {
    case OrderKind::kRaiseFence:
      return true;
    case OrderKind::kChangeRole:
      return content.role == role_;
    case OrderKind::kLoadModel:
      return content.model == model_ && content.version == version_;
    case OrderKind::kLoadAdapter:
      return std::find(adapters_.begin(), adapters_.end(), content.adapter) != adapters_.end();
    case OrderKind::kUnloadAdapter:
      return false;
  }
  return true;
}

bool EmulatedEngine::makesUnavailable(const engines::OrderContent& content) const {
  return content.kind == OrderKind::kChangeRole || content.kind == OrderKind::kLoadModel;
}

void EmulatedEngine::beginChange(const engines::OrderContent& content) {
  if (alreadyInEffect(content)) {
    recordLoad();
    return;
  }
  if (content.kind == OrderKind::kUnloadAdapter) {
    std::erase(adapters_, content.adapter);
    recordLoad();
    return;
  }
  change_ = content;
  change_started_ = clock_.now();
  ++change_number_;
  if (makesUnavailable(content)) {
    breakAllStreams(StreamEnd::kCutByOrder);
    retained_kv_.clear();
  }
  switch (content.kind) {
    case OrderKind::kChangeRole:
      becomeUnavailable(settings_.role_change_time);
      break;
    case OrderKind::kLoadModel:
      fetchWeights();
      break;
    default:
      becomeUnavailable(settings_.adapter_load_time);
      break;
  }
  recordLoad();
}

void EmulatedEngine::fetchWeights() {
  if (weights_ == nullptr) {
    becomeUnavailable(settings_.model_load_time);
    return;
  }
  weights_->fetch("weights://" + change_->model + "/" + change_->version,
                  [this, alive = alive_, change = change_number_](const WeightTransfer& transfer) {
                    if (*alive) {
                      weightsFetched(change, transfer);
                    }
                  });
}

void EmulatedEngine::weightsFetched(std::uint64_t change, const WeightTransfer& transfer) {
  if (!change_ || change != change_number_) {
    return;
  }
  if (transfer.complete) {
    becomeUnavailable(settings_.model_load_time);
    return;
  }
  change_timer_ = scheduler_.schedule(transfer.retry_after, [this] { fetchWeights(); });
}

void EmulatedEngine::becomeUnavailable(common::Duration duration) {
  if (faults_.crash_in_next_change) {
    faults_.crash_in_next_change = false;
    change_timer_ = scheduler_.schedule(duration / 2, [this] { crash(); });
    return;
  }
  change_timer_ = scheduler_.schedule(duration, [this] { finishChange(); });
}

void EmulatedEngine::finishChange() {
  const engines::OrderContent content = *change_;
  change_.reset();
  switch (content.kind) {
    case OrderKind::kChangeRole:
      role_ = content.role;
      ++ledger_.role_changes;
      break;
    case OrderKind::kLoadModel:
      model_ = content.model;
      version_ = content.version;
      adapters_.clear();
      ++ledger_.model_loads;
      break;
    case OrderKind::kLoadAdapter:
      adapters_.push_back(content.adapter);
      break;
    default:
      break;
  }
  if (makesUnavailable(content)) {
    cache_.clear();
    ledger_.unavailable_time += clock_.now() - change_started_;
  }
  recordLoad();
}

void EmulatedEngine::crash() {
  if (down_) {
    return;
  }
  down_ = true;
  ++ledger_.crashes;
  scheduler_.cancel(step_timer_);
  scheduler_.cancel(change_timer_);
  step_running_ = false;
  if (change_ && makesUnavailable(*change_)) {
    ledger_.unavailable_time += clock_.now() - change_started_;
  }
  change_.reset();
  breakAllStreams(StreamEnd::kCrashed);
  retained_kv_.clear();
  cache_.forget();
  load_history_.clear();
  fence_ = OrderFence();
  change_timer_ = scheduler_.schedule(settings_.restart_time, [this] { restart(); });
}

void EmulatedEngine::restart() {
  ++incarnation_;
  down_ = false;
  recordLoad();
}

void EmulatedEngine::setFaults(const EngineFaults& faults) {
  faults_ = faults;
  cache_.setEventFaults(faults.cache_events);
  recordLoad();
}

}  // namespace cypresswall::emulation
