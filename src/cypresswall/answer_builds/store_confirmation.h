/// Confirms by the platform's store that this node knows all builds that may have begun answers.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/object_store/object_store.h"

namespace cypresswall::answer_builds {

/// Reads the list of engines, and the object with the builds that have left, by calls that begin
/// after the request. All requests that wait share the next pair of calls; one pair is in flight at
/// a time.
class StoreConfirmation {
 public:
  using Callback = std::function<void(bool confirmed)>;
  /// Reads the engines anew; calls its argument once, synchronously or later, with true if they
  /// were read by a call that began after this one.
  using ListRefresh = std::function<void(Callback done)>;

  /// \param key of the object with the builds
  /// \param on_read called with the object's value; not called if the store holds none
  /// \pre all references outlive this object
  StoreConfirmation(std::string key, const api::ProcessContext& context,
                    object_store::ObjectStore& store,
                    std::function<void(const std::string& stored)> on_read);
  StoreConfirmation(const StoreConfirmation&) = delete;
  StoreConfirmation& operator=(const StoreConfirmation&) = delete;

  void setListRefresh(ListRefresh refresh) { refresh_ = std::move(refresh); }
  /// \param interval shortest time between the starts of two pairs of calls
  /// \param done called once, later, with true if both calls were answered, with false if one
  /// failed
  void request(common::Duration interval, Callback done);

 private:
  void beginWhenDue();
  void begin();
  void finishCall(bool answered);

  const std::string key_;
  const api::ProcessContext& context_;
  object_store::ObjectStore& store_;
  const std::function<void(const std::string& stored)> on_read_;
  ListRefresh refresh_;
  /// Requests that the next pair of calls answers, and those that the present one does.
  std::vector<Callback> waiting_;
  std::vector<Callback> served_;
  std::size_t calls_missing_ = 0;
  bool all_answered_ = false;
  common::Duration interval_{0};
  common::MonotonicTime next_begin_{};
  common::TimerId timer_ = 0;
};

}  // namespace cypresswall::answer_builds
