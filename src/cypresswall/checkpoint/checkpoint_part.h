/// Interface of what takes long to learn and is kept over a restart of all nodes.
#pragma once

#include <string>

#include "cypresswall/common/time.h"

namespace cypresswall::checkpoint {

/// One part of a checkpoint, such as the speeds of engines. Its owner alone knows what is inside.
class CheckpointPart {
 public:
  CheckpointPart() = default;
  CheckpointPart(const CheckpointPart&) = delete;
  CheckpointPart& operator=(const CheckpointPart&) = delete;
  virtual ~CheckpointPart() = default;

  /// \return the part's key in the checkpoint, which never changes, such as "engine-speed"
  virtual std::string name() const = 0;
  /// \return msgpack bytes, a few KiB at most; empty if nothing has been learnt. Equal knowledge
  ///   should give equal bytes, so that a checkpoint is only written when something changed.
  virtual std::string encode() const = 0;
  /// Called at most once, shortly after start. What has been learnt since the start goes before
  /// what is restored, and entries of engines that have restarted since are dropped.
  /// \param bytes may be damaged, of another build or huge: what can't be used is ignored with a
  ///   log line
  /// \param age time since encode(), an upper bound
  virtual void restore(const std::string& bytes, common::Duration age) = 0;
};

}  // namespace cypresswall::checkpoint
