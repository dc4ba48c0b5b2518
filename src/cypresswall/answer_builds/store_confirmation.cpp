#include "cypresswall/answer_builds/store_confirmation.h"

#include <exception>
#include <utility>

namespace cypresswall::answer_builds {
namespace {

/// The list of engines and the object with the builds.
constexpr std::size_t kCalls = 2;

}  // namespace

StoreConfirmation::StoreConfirmation(std::string key, const api::ProcessContext& context,
                                     object_store::ObjectStore& store,
                                     std::function<void(const std::string& stored)> on_read)
    : key_(std::move(key)), context_(context), store_(store), on_read_(std::move(on_read)) {}

void StoreConfirmation::request(common::Duration interval, Callback done) {
  waiting_.push_back(std::move(done));
  interval_ = interval;
  beginWhenDue();
}

void StoreConfirmation::beginWhenDue() {
  if (waiting_.empty() || calls_missing_ != 0 || timer_ != 0) {
    return;
  }
  const auto now = context_.clock.now();
  if (now >= next_begin_) {
    begin();
    return;
  }
  timer_ = context_.scheduler.schedule(next_begin_ - now, [this] {
    timer_ = 0;
    beginWhenDue();
  });
}

void StoreConfirmation::begin() {
  served_ = std::exchange(waiting_, {});
  next_begin_ = context_.clock.now() + interval_;
  calls_missing_ = kCalls;
  all_answered_ = true;
  store_.get(key_, [this](const object_store::StoreResult<object_store::StoredObject>& result) {
    try {
      if (result.ok()) {
        on_read_(result.value().value);
      }
    } catch (const std::exception&) {
      finishCall(false);
      throw;
    }
    finishCall(result.ok() || result.failure().kind == object_store::StoreFailure::kNotFound);
  });
  if (refresh_) {
    refresh_([this](bool current) { finishCall(current); });
  } else {
    finishCall(false);
  }
}

void StoreConfirmation::finishCall(bool answered) {
  all_answered_ = all_answered_ && answered;
  if (--calls_missing_ != 0) {
    return;
  }
  // Each is an event of its own, so that one that throws does not end the others.
  for (Callback& done : std::exchange(served_, {})) {
    context_.scheduler.schedule(
        common::Duration{0},
        [done = std::move(done), confirmed = all_answered_] { done(confirmed); });
  }
  beginWhenDue();
}

}  // namespace cypresswall::answer_builds
