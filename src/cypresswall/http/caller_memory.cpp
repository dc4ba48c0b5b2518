#include "cypresswall/http/caller_memory.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace cypresswall::http {
namespace {

/// Share of the limit that connections with more than CallerMemory::kSmallBytes can't use.
constexpr std::size_t kSmallShareDivisor = 4;
/// Among connections that have just progressed, the one that holds the most counts as stalled.
constexpr CallerMemory::TimePoint::duration kLeastStall = std::chrono::microseconds(1);

}  // namespace

std::size_t CallerMemory::limitFor(std::size_t held) const {
  return held <= kSmallBytes ? limit_ : limit_ - limit_ / kSmallShareDivisor;
}

bool CallerMemory::exceeds(std::size_t more, std::size_t limit) const {
  return used_ > limit || more > limit - used_;
}

bool CallerMemory::makeRoom(std::size_t more, std::size_t limit, const MemoryAccount& for_whom,
                            TimePoint now) {
  if (!exceeds(more, limit)) {
    return true;
  }
  const std::size_t kept = used_ - (reclaimable() - for_whom.reclaimable());
  if (kept > limit || more > limit - kept) {
    return false;
  }
  while (exceeds(more, limit)) {
    MemoryAccount* const victim = largestStalled(now);
    if (victim == nullptr || victim == &for_whom) {
      return false;
    }
    end(*victim);
  }
  return true;
}

std::size_t CallerMemory::reclaimable() const {
  return std::accumulate(
      accounts_.begin(), accounts_.end(), std::size_t{0},
      [](std::size_t sum, const MemoryAccount* account) { return sum + account->reclaimable(); });
}

void CallerMemory::end(MemoryAccount& account) {
  account.close();
  account.end_();
}

MemoryAccount* CallerMemory::largestStalled(TimePoint now) const {
  const auto weight = [now](const MemoryAccount& account) {
    const auto stalled = std::max(now - account.progressed_at_, kLeastStall);
    return static_cast<double>(account.reclaimable()) * static_cast<double>(stalled.count());
  };
  MemoryAccount* found = nullptr;
  double most = 0;
  for (MemoryAccount* const account : accounts_) {
    if (const double its_weight = weight(*account); its_weight > most) {
      found = account;
      most = its_weight;
    }
  }
  return found;
}

MemoryAccount::MemoryAccount(std::shared_ptr<CallerMemory> memory, std::function<void()> end)
    : memory_(std::move(memory)),
      end_(std::move(end)),
      position_(memory_->accounts_.insert(memory_->accounts_.end(), this)) {}

MemoryAccount::~MemoryAccount() {
  memory_->used_ -= arriving_ + running_ + unsent_;
  memory_->accounts_.erase(position_);
}

bool MemoryAccount::addArriving(std::size_t bytes) {
  if (closed_) {
    return false;
  }
  const std::size_t held = arriving_ + running_ + unsent_ + bytes;
  if (!memory_->makeRoom(bytes, memory_->limitFor(held), *this, progressed_at_)) {
    return false;
  }
  arriving_ += bytes;
  memory_->used_ += bytes;
  return true;
}

std::size_t MemoryAccount::completeArriving() {
  const std::size_t bytes = std::exchange(arriving_, 0);
  running_ += bytes;
  return bytes;
}

void MemoryAccount::releaseRunning(std::size_t bytes) {
  running_ -= bytes;
  memory_->used_ -= bytes;
}

void MemoryAccount::addUnsent(std::size_t bytes, TimePoint now) {
  if (unsent_ == 0) {
    progressed_at_ = now;
  }
  while (!closed_ && memory_->exceeds(bytes, memory_->limit_)) {
    MemoryAccount* const victim = memory_->largestStalled(now);
    if (victim == nullptr) {
      break;
    }
    CallerMemory::end(*victim);
  }
  if (closed_) {
    return;
  }
  unsent_ += bytes;
  memory_->used_ += bytes;
}

void MemoryAccount::releaseUnsent(std::size_t bytes) {
  if (!closed_) {
    unsent_ -= bytes;
    memory_->used_ -= bytes;
  }
}

void MemoryAccount::close() {
  closed_ = true;
  memory_->used_ -= arriving_ + unsent_;
  arriving_ = 0;
  unsent_ = 0;
}

}  // namespace cypresswall::http
