/// Lets a few nodes of a zone read the platform's store for all of them. For each topic three
/// nodes, those with the most room on their links and among these found by rendezvous hashing, are
/// its readers: they ask the store often and announce how
/// far they have read. The other nodes ask a reader for what changed, and call the store only if no
/// reader was heard of lately, or if a reader can't give them what they lack. A node that starts
/// takes the copy of a peer. So the store's calls
/// don't grow with the number of nodes, and a change goes to each node once instead of from all to
/// all. In a large zone announcements go down a tree that the reader is the root of, and each node
/// asks the one that told it: no node serves more than a few.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/store_relay/change_history.h"
#include "cypresswall/store_relay/messages.h"
#include "cypresswall/store_relay/store_copy.h"

namespace cypresswall::store_relay {

struct StoreRelaySettings {
  /// Readers of each topic in a zone.
  std::size_t readers = 3;
  /// Up to so many nodes, a reader tells all others itself; beyond, each node tells `fan_out`.
  std::size_t star_limit = 24;
  std::size_t fan_out = 4;
  /// Longest wait of a reader's call at the store, and of another node's that hears of no reader.
  common::Duration reader_poll_time = std::chrono::milliseconds(1000);
  common::Duration other_poll_time = std::chrono::seconds(3);
  /// Time between two announcements without a change between them. In a tree one reader makes them;
  /// the others begin when they miss two of them.
  common::Duration announcement_interval = std::chrono::milliseconds(300);
  /// A reader that the store has not answered for this long announces nothing. Above the time of a
  /// poll that the store held to its end.
  common::Duration store_contact_limit = std::chrono::milliseconds(1300);
  /// A node that heard no announcement for this long asks the store itself. Together with the time
  /// of a call this has to stay below the time within which a change must be in force.
  common::Duration announcement_timeout = std::chrono::milliseconds(900);
  /// How long a node whose own call waits at the store leaves a change to that call.
  common::Duration pending_call_grace = std::chrono::milliseconds(100);
  /// A reader that hasn't given changes within this, and the time that their bytes may take, is
  /// passed over: the store is asked.
  common::Duration reply_timeout = std::chrono::milliseconds(200);
  /// A node that has nothing yet and gets no copy from a peer within this asks the store. Above two
  /// announcements.
  common::Duration copy_timeout = std::chrono::milliseconds(1200);
  /// An own call to the store is not dropped for another one before this, and the time that its
  /// bytes may take: dropped each time that a reader can't give a change, it would never be
  /// answered over a busy link. Above the 2 s after which a dead connection is noticed.
  common::Duration minimum_call_time = std::chrono::milliseconds(2500);
  /// What a link of 10 Mbit/s that is busy with requests leaves to one connection.
  std::size_t slow_bytes_per_second = std::size_t{64} << 10;
  /// Bytes of changes kept for peers, and sent in one reply. Readers are the nodes with the most
  /// room on their links.
  std::size_t history_bytes = std::size_t{512} << 10;
  std::size_t reply_bytes = std::size_t{128} << 10;
};

class StoreRelay {
 public:
  /// \pre `membership` outlives the object, which lives until the process drops its callbacks
  StoreRelay(const StoreRelaySettings& settings, const api::ProcessContext& context,
             membership::MembershipView& membership);
  StoreRelay(const StoreRelay&) = delete;
  StoreRelay& operator=(const StoreRelay&) = delete;

  /// \pre `copy` outlives the object; each topic is followed once, before start()
  void follow(Topic topic, StoreCopy& copy);
  void start();

  /// The copy was read anew from the store, as of `revision`.
  void listed(Topic topic, std::uint64_t revision);
  /// The store answered this node's call for changes, perhaps with none.
  void read(Topic topic, std::vector<StoreChange> changes, std::uint64_t revision);
  /// \return for how long the copy has lacked a change that a reader announced; nothing if it lacks
  ///   none
  std::optional<common::Duration> outdatedFor(Topic topic) const;
  /// \return how long this node's next call may wait at the store, or nothing if this node leaves
  ///   the store to its zone's readers now
  std::optional<common::Duration> pollTime(Topic topic) const;

 private:
  struct TopicState {
    TopicState(StoreCopy& store_copy, std::size_t history_bytes)
        : copy(store_copy), history(history_bytes) {}

    StoreCopy& copy;
    ChangeHistory history;
    /// When the store last answered this node.
    std::optional<common::MonotonicTime> last_store_answer_time;
    /// When this node last asked the store for what readers couldn't give.
    std::optional<common::MonotonicTime> asked_time;
    /// Since when the copy has lacked an announced change; no matter if it lacks none.
    common::MonotonicTime behind_since{};
    /// When a reader was last heard of.
    std::optional<common::MonotonicTime> last_announcement_time;
    /// When a reader that goes before this node was last heard of.
    std::optional<common::MonotonicTime> higher_reader_time;
    /// Number of the last announcement of each reader.
    std::map<common::NodeId, std::uint64_t> sequences;
    /// Announcements that wait to be passed on until this node has what they tell of.
    std::map<common::NodeId, Announcement> waiting;
    std::uint64_t own_sequence = 0;
    /// Since when this node, which has nothing yet, could have asked a peer for a copy.
    std::optional<common::MonotonicTime> copy_requested_since;
    /// The newest change that a reader announced.
    std::uint64_t announced = 0;
    /// Bytes of that change.
    std::uint32_t announced_bytes = 0;
    /// Runs while a request to a reader waits to be sent or answered, else zero.
    common::TimerId pull_timer = 0;
    bool uses_readers = false;
  };

  void registerHandlers();
  void tick();
  void tickTopic(Topic topic, TopicState& followed);
  /// Lets a node that has nothing yet have a peer's copy; the store is asked by the readers, and
  /// where no peer gives one.
  void requestCopy(Topic topic, TopicState& followed);
  /// \return the peer to ask for a copy: the first reader if it tells all others itself, else any
  std::optional<common::NodeId> copySource(Topic topic) const;
  void announce(Topic topic, TopicState& followed);
  /// \return true if another reader makes the regular announcements
  bool defersAnnouncing(const TopicState& followed) const;
  bool starTopology() const;
  /// Sends an announcement on to the nodes that this one serves.
  void fanOut(const Announcement& announcement);
  void fanOutWaiting(TopicState& followed);
  /// Notes an announcement. \return false if it, or a later one of its reader, came before
  static bool recordSequence(TopicState& followed, const Announcement& announcement);
  using Rank = std::pair<std::uint64_t, std::uint64_t>;
  /// \return the node's rank among possible readers of the topic
  Rank rankOf(Topic topic, const common::NodeId& node) const;
  bool isReader(Topic topic) const;
  bool withinLimit(const std::optional<common::MonotonicTime>& time, common::Duration limit) const;
  bool readersActive(const TopicState& followed) const;
  void updateSource(Topic topic, TopicState& followed, bool uses_readers, bool reads);

  TopicState* find(std::uint8_t topic);
  void onAnnouncement(const common::NodeId& sender, const Announcement& announcement);
  void onRequest(const common::NodeId& sender, const ChangesRequest& request);
  void onReply(const common::NodeId& sender, const ChangesReply& reply);
  /// Takes what a peer read.
  /// \return false if the copy can't take it
  bool apply(TopicState& followed, std::vector<StoreChange> changes, std::uint64_t revision);
  void pull(Topic topic, const common::NodeId& reader);
  void pullTimedOut(Topic topic);
  /// \return what the bytes of the announced change may take over a busy link
  common::Duration transferTime(const TopicState& followed) const;
  /// Asks the store for what is announced, unless such a call is under way.
  void fetchFromStore(TopicState& followed);
  static bool behind(const TopicState& followed) {
    return followed.copy.revision() < followed.announced;
  }

  StoreRelaySettings settings_;
  api::ProcessContext context_;
  membership::MembershipView& membership_;
  std::map<Topic, TopicState> followed_;
  common::Counter& pulls_;
  common::Counter& unanswered_pulls_;
  common::Counter& unavailable_;
  common::Counter& copies_;
  common::Counter& silences_;
};

}  // namespace cypresswall::store_relay
