/// Lets a few nodes of a zone read the platform's store for all of them. Each topic has three
/// readers: the nodes with the highest link bandwidth, ties broken by rendezvous hashing. Readers
/// poll the store frequently and announce the revision that they have read. The other nodes pull
/// changes from a reader and call the store only if no reader has announced recently or if a reader
/// cannot provide the changes. A starting node copies all objects from a peer. The number of store
/// calls therefore does not grow with the number of nodes, and each node receives each change once
/// rather than from every other node. In a large zone announcements are forwarded along a tree
/// rooted at the reader. Each node then pulls changes from the node that forwarded the announcement
/// to it, so that no node serves more than a few others.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/store_relay/change_history.h"
#include "cypresswall/store_relay/messages.h"
#include "cypresswall/store_relay/store_copy.h"
#include "cypresswall/store_relay/store_incarnation.h"

namespace cypresswall::store_relay {

struct StoreRelaySettings {
  /// Number of readers of each topic in a zone.
  std::size_t readers = 3;
  /// In a zone of at most this many nodes a reader sends its announcements to all nodes itself; in
  /// a larger zone the nodes forward them along a tree.
  std::size_t star_limit = 24;
  /// Maximum number of nodes to which each node of the tree sends an announcement.
  std::size_t fan_out = 4;
  /// Long-poll time of a reader's store calls.
  common::Duration reader_poll_time = std::chrono::milliseconds(1000);
  /// Long-poll time of the store calls of other nodes, which poll only while they receive no
  /// announcements.
  common::Duration other_poll_time = std::chrono::seconds(3);
  /// Interval between announcements while nothing changes. In a zone larger than `star_limit` only
  /// the highest-ranked reader sends them; the other readers start to send them after two intervals
  /// without an announcement.
  common::Duration announcement_interval = std::chrono::milliseconds(300);
  /// A reader that the store has not answered for this long stops announcing. Must exceed
  /// `reader_poll_time`, since the store may hold a poll for that long before it answers.
  common::Duration store_contact_limit = std::chrono::milliseconds(1300);
  /// A node that received no announcement for this long reads the store itself. This time plus the
  /// duration of a store call must stay below the time within which a change must take effect.
  common::Duration announcement_timeout = std::chrono::milliseconds(900);
  /// Time that a node with a pending store call waits for that call to return an announced change
  /// before it pulls the change from the reader.
  common::Duration pending_call_grace = std::chrono::milliseconds(100);
  /// A node whose pull is not answered within this time plus the estimated transfer time reads the
  /// store instead.
  common::Duration reply_timeout = std::chrono::milliseconds(200);
  /// In a large zone, a node whose pulls fail reads the store only if no peer has provided changes
  /// for this long. If every node did so at once, a burst of changes that is too fast for the links
  /// would be sent to each node once more by the store.
  common::Duration progress_limit = std::chrono::milliseconds(800);
  /// A node that has no objects yet reads the store if it gets no copy from a peer within this
  /// time. Must exceed two announcement intervals.
  common::Duration copy_timeout = std::chrono::milliseconds(1200);
  /// A node does not replace its pending store call by a new one until this time plus the estimated
  /// transfer time has passed. If a node replaced its call each time that a reader cannot provide a
  /// change, no call would complete over a busy link. Must exceed the 2 s after which a dead
  /// connection is detected.
  common::Duration minimum_call_time = std::chrono::milliseconds(2500);
  /// Assumed bandwidth for estimates of transfer times: what a 10 Mbit/s link that is busy with
  /// requests leaves to one connection.
  std::size_t slow_bytes_per_second = std::size_t{64} << 10;
  /// Maximum size of the changes of a topic that a node keeps for its peers.
  std::size_t history_bytes = std::size_t{512} << 10;
  /// Maximum size of the changes sent in one reply. Replies go out over the links with the highest
  /// bandwidth, since the nodes with these links are the readers.
  std::size_t reply_bytes = std::size_t{128} << 10;
};

class StoreRelay {
 public:
  /// \pre `membership` and `incarnation` outlive the object, and the object outlives its scheduled
  ///   callbacks
  StoreRelay(const StoreRelaySettings& settings, const api::ProcessContext& context,
             membership::MembershipView& membership, StoreIncarnation& incarnation);
  StoreRelay(const StoreRelay&) = delete;
  StoreRelay& operator=(const StoreRelay&) = delete;

  /// \pre `copy` outlives the object; each topic is followed once, before start()
  void follow(Topic topic, StoreCopy& copy);
  void start();
  /// \return true if this node reads the topic from the store for its zone
  bool isReader(Topic topic) const;

  /// To be called when all objects were read from the store, as of `revision`.
  void listed(Topic topic, std::uint64_t revision);
  /// To be called when the store has answered this node's call for changes. `changes` may be empty.
  void read(Topic topic, std::vector<StoreChange> changes, std::uint64_t revision);
  /// \return how long the copy has lacked a change that a reader announced; nothing if the copy is
  ///   up to date
  std::optional<common::Duration> outdatedFor(Topic topic) const;
  /// \return the long-poll time of this node's next store call, or nothing if this node currently
  ///   relies on its zone's readers
  std::optional<common::Duration> pollTime(Topic topic) const;

 private:
  struct TopicState {
    TopicState(StoreCopy& store_copy, std::size_t history_bytes)
        : copy(store_copy), history(history_bytes) {}

    StoreCopy& copy;
    ChangeHistory history;
    /// Time of the last answer of the store to this node.
    std::optional<common::MonotonicTime> last_store_answer_time;
    /// Time of this node's last store call for changes that readers could not provide.
    std::optional<common::MonotonicTime> asked_time;
    /// Since when the copy has lacked an announced change; meaningless if the copy is up to date.
    common::MonotonicTime behind_since{};
    /// Time of the last announcement of any reader.
    std::optional<common::MonotonicTime> last_announcement_time;
    /// Time of the last announcement of a reader that ranks higher than this node.
    std::optional<common::MonotonicTime> higher_reader_time;
    /// The highest-ranked reader that announces, and the time of its last announcement.
    common::NodeId leader;
    std::optional<common::MonotonicTime> leader_time;
    /// Sequence number of the last announcement of each reader.
    std::map<common::NodeId, std::uint64_t> sequences;
    /// The announcements of each reader that this node has not forwarded yet, in order. The node
    /// forwards an announcement once it has the announced changes. While changes come faster than
    /// this node gets them, a newer announcement must not replace the one whose changes arrive
    /// next: the nodes below would hear of no reader.
    std::map<common::NodeId, std::vector<Announcement>> waiting;
    std::uint64_t own_sequence = 0;
    /// Time of the first attempt to get a copy while this node has no objects yet.
    std::optional<common::MonotonicTime> copy_requested_since;
    /// Peers without objects that asked for a copy while this node had none either. They get one as
    /// soon as this node has one.
    std::set<common::NodeId> awaiting_copy;
    /// Revision of the newest announced change.
    std::uint64_t announced = 0;
    /// Size in bytes of the batch of changes that `announced` refers to.
    std::uint32_t announced_bytes = 0;
    /// Time at which changes of a peer were last applied.
    std::optional<common::MonotonicTime> progress_time;
    /// Timer of a pull that is scheduled or waits for its reply; zero if there is none.
    common::TimerId pull_timer = 0;
    bool uses_readers = false;
  };

  void registerHandlers();
  /// Forgets everything that is compared by revision, and lets the copies be read anew.
  void beginIncarnation();
  /// \return true if a message that names this incarnation can be used: its revisions are
  ///   comparable with those known here
  bool comparable(std::uint64_t incarnation) const;
  void tick();
  void tickTopic(Topic topic, TopicState& followed);
  /// Called while this node has no objects: requests a copy of all objects from a peer. If this
  /// node is a reader or gets no copy from a peer, it reads the store instead.
  void requestCopy(Topic topic, TopicState& followed);
  void sendCopy(Topic topic, const TopicState& followed, const common::NodeId& peer, bool packed);
  /// Called once this node has its first objects.
  void serveAwaitingCopy(Topic topic, TopicState& followed);
  /// \return the peer to request a copy from: the highest-ranked reader if readers announce to all
  ///   nodes themselves, else a random peer
  std::optional<common::NodeId> copySource(Topic topic) const;
  void announce(Topic topic, TopicState& followed);
  /// \return true if a higher-ranked reader makes the regular announcements
  bool defersAnnouncing(const TopicState& followed) const;
  /// \return true if the zone is so small that readers announce to all nodes themselves
  bool starTopology() const;
  /// Sends an announcement to this node's children in the reader's broadcast tree; in a small zone,
  /// all other nodes are children of the reader.
  void fanOut(const Announcement& announcement);
  void fanOutWaiting(TopicState& followed);
  /// Records the sequence number of an announcement.
  /// \return false if this or a later announcement of the reader was already received
  static bool recordSequence(TopicState& followed, const Announcement& announcement);
  bool ranksAmongReaders(Topic topic) const;
  using Rank = std::pair<std::uint64_t, std::uint64_t>;
  /// \return the node's rank for the choice of the topic's readers; the nodes with the highest
  ///   ranks are readers
  Rank rankOf(Topic topic, const common::NodeId& node) const;
  bool withinLimit(const std::optional<common::MonotonicTime>& time, common::Duration limit) const;
  bool readersActive(const TopicState& followed) const;
  void updateSource(Topic topic, TopicState& followed, bool uses_readers, bool reads);

  TopicState* find(std::uint8_t topic);
  void onAnnouncement(const common::NodeId& sender, const Announcement& announcement);
  void onRequest(const common::NodeId& sender, const ChangesRequest& request);
  void onReply(const common::NodeId& sender, const ChangesReply& reply);
  /// Makes `reader` the topic's leader, which decides which objects are sampled, unless a
  /// higher-ranked reader announces.
  /// \return true if `reader` is the leader now
  bool followLeader(Topic topic, TopicState& followed, const common::NodeId& reader);
  void adoptSampleLevel(Topic topic, TopicState& followed, const Announcement& announcement);
  /// Applies the changes in a peer's reply. \return false if they can't be applied
  bool applyReply(Topic topic, TopicState& followed, const ChangesReply& reply);
  /// Applies changes read by a peer.
  /// \return false if the copy cannot apply them
  bool apply(Topic topic, TopicState& followed, std::vector<StoreChange> changes,
             std::uint64_t revision);
  void pull(Topic topic, const common::NodeId& reader);
  void pullTimedOut(Topic topic);
  /// \return estimated transfer time of the announced change over a busy link
  common::Duration transferTime(const TopicState& followed) const;
  /// Reads the announced changes from the store, unless peers have provided changes recently: the
  /// next announcement then leads to the next pull.
  void fetchUnlessProgressing(TopicState& followed);
  /// Reads the announced changes from the store, unless a recent call for them is in flight.
  void fetchFromStore(TopicState& followed);
  static bool behind(const TopicState& followed) {
    return followed.copy.revision() < followed.announced;
  }

  StoreRelaySettings settings_;
  api::ProcessContext context_;
  membership::MembershipView& membership_;
  StoreIncarnation& incarnation_;
  std::map<Topic, TopicState> followed_;
  /// Cache of the topics that this node reads, recomputed after a change of the members.
  mutable std::set<Topic> reader_topics_;
  mutable bool reader_topics_outdated_ = true;
  common::Counter& pulls_;
  common::Counter& unanswered_pulls_;
  common::Counter& unavailable_;
  common::Counter& copies_;
  common::Counter& silences_;
};

}  // namespace cypresswall::store_relay
