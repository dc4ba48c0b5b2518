#include "cypresswall/store_relay/store_relay.h"

#include <algorithm>
#include <utility>

#include "cypresswall/membership/broadcast_tree.h"
#include "cypresswall/membership/rendezvous.h"
#include "cypresswall/store_relay/packed_changes.h"

namespace cypresswall::store_relay {
namespace {

/// Once the sequence numbers of more readers than this are kept, all are dropped, so that those of
/// readers that have left the zone do not accumulate.
constexpr std::size_t kRememberedReaders = 32;
/// Maximum number of announcements of one reader that wait for their changes: the oldest, which is
/// forwarded first, and the newest.
constexpr std::size_t kWaitingAnnouncements = 2;
/// Maximum number of peers that wait for this node's first copy. Peers choose whom they ask at
/// random, so that more than a few are rare; the others ask again.
constexpr std::size_t kMaximumAwaitingCopy = 8;
/// Source of an incarnation of the store, for the log.
constexpr const char* kPeerSource = "peer";

}  // namespace

using membership::Member;
using membership::MemberState;
using membership::rendezvousRank;

StoreRelay::StoreRelay(const StoreRelaySettings& settings, const api::ProcessContext& context,
                       membership::MembershipView& membership, StoreIncarnation& incarnation)
    : settings_(settings),
      context_(context),
      membership_(membership),
      incarnation_(incarnation),
      pulls_(context.counters.counter("cypresswall_store_relay_pulls_total",
                                      "Requests to readers of the store for changes")),
      unanswered_pulls_(context.counters.counter("cypresswall_store_relay_unanswered_total",
                                                 "Requests to readers without an answer in time")),
      unavailable_(context.counters.counter("cypresswall_store_relay_unavailable_total",
                                            "Requests to readers that could not give the changes")),
      copies_(context.counters.counter("cypresswall_store_relay_copies_total",
                                       "Whole copies given to peers that had nothing")),
      silences_(context.counters.counter("cypresswall_store_relay_silences_total",
                                         "Times that a node heard of no reader any more")) {
  registerHandlers();
  membership_.onChange([this] { reader_topics_outdated_ = true; });
  incarnation_.onChange([this] { beginIncarnation(); });
}

void StoreRelay::beginIncarnation() {
  for (auto& [topic, followed] : followed_) {
    context_.scheduler.cancel(std::exchange(followed.pull_timer, 0));
    followed.announced = 0;
    followed.announced_bytes = 0;
    followed.waiting.clear();
    followed.copy_requested_since.reset();
    followed.asked_time.reset();
    followed.history.restart(0);
    // The first incarnation that this node hears of is no news for a copy that is still empty.
    if (incarnation_.restored() || followed.copy.revision() != 0) {
      followed.copy.beginIncarnation();
    }
  }
}

/// Builds that name no incarnation don't notice that the store was restored. Once it was, their
/// revisions may belong to an earlier incarnation.
bool StoreRelay::comparable(std::uint64_t incarnation) const {
  return incarnation == incarnation_.current() ||
         ((incarnation == 0 || incarnation_.current() == 0) && !incarnation_.restored());
}

void StoreRelay::registerHandlers() {
  auto& dispatcher = context_.dispatcher;
  dispatcher.handle<Announcement>(
      [this](const common::NodeId& sender, const Announcement& message) {
        onAnnouncement(sender, message);
      });
  dispatcher.handle<ChangesRequest>(
      [this](const common::NodeId& sender, const ChangesRequest& request) {
        onRequest(sender, request);
      });
  dispatcher.handle<ChangesReply>(
      [this](const common::NodeId& sender, const ChangesReply& reply) { onReply(sender, reply); });
}

void StoreRelay::follow(Topic topic, StoreCopy& copy) {
  followed_.try_emplace(topic, copy, settings_.history_bytes);
  reader_topics_outdated_ = true;
}

void StoreRelay::start() {
  membership_.onChange([this] {
    for (auto& [topic, followed] : followed_) {
      if (followed.copy.revision() == 0) {
        requestCopy(topic, followed);
      }
    }
  });
  tick();
}

void StoreRelay::tick() {
  context_.scheduler.schedule(settings_.announcement_interval, [this] { tick(); });
  for (auto& [topic, followed] : followed_) {
    tickTopic(topic, followed);
  }
}

void StoreRelay::requestCopy(Topic topic, TopicState& followed) {
  if (followed.copy.callPending() || membership_.joining()) {
    return;
  }
  const auto now = context_.clock.now();
  const auto since = followed.copy_requested_since.value_or(now);
  followed.copy_requested_since = since;
  const auto source = copySource(topic);
  // In a large zone the copies come down the announcement tree; if every node that waits for its
  // parent's copy read the store instead, the calls would grow with the zone.
  const bool copy_expected = !starTopology() && readersActive(followed);
  const bool late = now - since >= settings_.copy_timeout;
  if (isReader(topic) || !source || (late && !copy_expected)) {
    followed.copy.fetchFromStore();
  } else if (followed.pull_timer == 0) {
    pull(topic, *source);
  }
}

std::optional<common::NodeId> StoreRelay::copySource(Topic topic) const {
  std::vector<common::NodeId> peers;
  for (const Member& member : membership_.members()) {
    if (member.state == MemberState::kAlive && member.node != membership_.self()) {
      peers.push_back(member.node);
    }
  }
  if (peers.empty()) {
    return std::nullopt;
  }
  if (!starTopology()) {
    return peers[context_.random.below(peers.size())];
  }
  return *std::max_element(peers.begin(), peers.end(), [&](const auto& left, const auto& right) {
    return rankOf(topic, left) < rankOf(topic, right);
  });
}

void StoreRelay::tickTopic(Topic topic, TopicState& followed) {
  if (followed.copy.revision() == 0) {
    requestCopy(topic, followed);
    return;
  }
  const bool reads = isReader(topic);
  if (reads && !defersAnnouncing(followed)) {
    announce(topic, followed);
  }
  const bool uses_readers = !reads && readersActive(followed);
  updateSource(topic, followed, uses_readers, reads);
  if (!uses_readers && !followed.copy.callPending()) {
    followed.copy.fetchFromStore();
  }
}

void StoreRelay::updateSource(Topic topic, TopicState& followed, bool uses_readers, bool reads) {
  if (std::exchange(followed.uses_readers, uses_readers) == uses_readers) {
    return;
  }
  if (!uses_readers && !reads) {
    silences_.add();
  }
  common::LogEvent(context_.log, common::LogLevel::kInfo, "store_source_changed")
      .field("topic", nameOf(topic))
      .field("source", uses_readers ? "readers" : "store")
      .field("reader", reads)
      .field("revision", followed.copy.revision());
}

void StoreRelay::announce(Topic topic, TopicState& followed) {
  if (withinLimit(followed.last_store_answer_time, settings_.store_contact_limit)) {
    fanOut(Announcement{static_cast<std::uint8_t>(topic), followed.history.changed(),
                        followed.history.revision(), followed.history.newestBytes(),
                        membership_.self(), ++followed.own_sequence, followed.copy.sampleLevel(),
                        incarnation_.current()});
  }
}

bool StoreRelay::starTopology() const {
  return membership_.members().size() <= settings_.star_limit;
}

bool StoreRelay::defersAnnouncing(const TopicState& followed) const {
  return !starTopology() &&
         withinLimit(followed.higher_reader_time, 2 * settings_.announcement_interval);
}

void StoreRelay::fanOut(const Announcement& announcement) {
  const auto& members = membership_.members();
  const std::size_t fan_out = starTopology() ? members.size() : settings_.fan_out;
  for (const common::NodeId& child :
       membership::treeChildren(announcement.reader, membership_.self(), members, fan_out)) {
    context_.sendTo(child, announcement);
  }
}

void StoreRelay::fanOutWaiting(TopicState& followed) {
  for (auto& [reader, waiting] : followed.waiting) {
    const auto held =
        std::find_if(waiting.rbegin(), waiting.rend(), [&](const Announcement& announcement) {
          return followed.copy.revision() >= announcement.changed;
        });
    if (held != waiting.rend()) {
      fanOut(*held);
      waiting.erase(waiting.begin(), held.base());
    }
  }
  std::erase_if(followed.waiting, [](const auto& entry) { return entry.second.empty(); });
}

bool StoreRelay::recordSequence(TopicState& followed, const Announcement& announcement) {
  if (followed.sequences.size() > kRememberedReaders) {
    followed.sequences.clear();
    followed.waiting.clear();
  }
  std::uint64_t& last = followed.sequences[announcement.reader];
  const bool later = announcement.sequence > last;
  last = std::max(last, announcement.sequence);
  return later;
}

StoreRelay::Rank StoreRelay::rankOf(Topic topic, const common::NodeId& node) const {
  return {membership::linkBandwidthClass(membership_, node), rendezvousRank(nameOf(topic), node)};
}

bool StoreRelay::isReader(Topic topic) const {
  if (std::exchange(reader_topics_outdated_, false)) {
    reader_topics_.clear();
    for (const auto& [followed_topic, followed] : followed_) {
      if (ranksAmongReaders(followed_topic)) {
        reader_topics_.insert(followed_topic);
      }
    }
  }
  return reader_topics_.contains(topic);
}

bool StoreRelay::ranksAmongReaders(Topic topic) const {
  const Rank own = rankOf(topic, membership_.self());
  const auto& members = membership_.members();
  const auto ahead = std::count_if(members.begin(), members.end(), [&](const Member& member) {
    return member.state == MemberState::kAlive && member.node != membership_.self() &&
           rankOf(topic, member.node) > own;
  });
  return static_cast<std::size_t>(ahead) < settings_.readers;
}

bool StoreRelay::withinLimit(const std::optional<common::MonotonicTime>& time,
                             common::Duration limit) const {
  return time && context_.clock.now() - *time <= limit;
}

bool StoreRelay::readersActive(const TopicState& followed) const {
  return withinLimit(followed.last_announcement_time, settings_.announcement_timeout);
}

std::optional<common::Duration> StoreRelay::pollTime(Topic topic) const {
  if (isReader(topic)) {
    return settings_.reader_poll_time;
  }
  if (readersActive(followed_.at(topic))) {
    return std::nullopt;
  }
  return settings_.other_poll_time;
}

void StoreRelay::listed(Topic topic, std::uint64_t revision) {
  TopicState& followed = followed_.at(topic);
  followed.last_store_answer_time = context_.clock.now();
  followed.copy_requested_since.reset();
  followed.history.restart(revision);
  fanOutWaiting(followed);
  // Nodes that started at the same time wait for the first announcement.
  if (isReader(topic) && !defersAnnouncing(followed)) {
    announce(topic, followed);
  }
  serveAwaitingCopy(topic, followed);
}

void StoreRelay::read(Topic topic, std::vector<StoreChange> changes, std::uint64_t revision) {
  TopicState& followed = followed_.at(topic);
  followed.last_store_answer_time = context_.clock.now();
  const bool changed = !changes.empty();
  followed.history.add(std::move(changes), revision);
  fanOutWaiting(followed);
  if (changed && isReader(topic)) {
    announce(topic, followed);
  }
}

StoreRelay::TopicState* StoreRelay::find(std::uint8_t topic) {
  const auto found = followed_.find(static_cast<Topic>(topic));
  return found == followed_.end() ? nullptr : &found->second;
}

void StoreRelay::onAnnouncement(const common::NodeId& sender, const Announcement& announcement) {
  incarnation_.observe(announcement.incarnation, kPeerSource);
  TopicState* const followed = find(announcement.topic);
  const bool own = announcement.reader == membership_.self();
  if (followed == nullptr || own || !comparable(announcement.incarnation) ||
      !recordSequence(*followed, announcement)) {
    return;
  }
  auto& waiting = followed->waiting[announcement.reader];
  if (waiting.size() == kWaitingAnnouncements) {
    waiting.pop_back();
  }
  waiting.push_back(announcement);
  followed->last_announcement_time = context_.clock.now();
  const auto known_topic = static_cast<Topic>(announcement.topic);
  adoptSampleLevel(known_topic, *followed, announcement);
  if (followed->copy.revision() == 0) {
    followed->announced = std::max(followed->announced, announcement.changed);
    if (followed->pull_timer == 0 && !followed->copy.callPending()) {
      pull(known_topic, sender);
    }
    return;
  }
  fanOutWaiting(*followed);
  if (rankOf(known_topic, announcement.reader) > rankOf(known_topic, membership_.self())) {
    followed->higher_reader_time = followed->last_announcement_time;
  }
  if (announcement.changed > followed->announced) {
    if (!behind(*followed)) {
      followed->behind_since = context_.clock.now();
    }
    followed->announced = announcement.changed;
    followed->announced_bytes = announcement.bytes;
  }
  if (!behind(*followed)) {
    if (followed->copy.revision() < announcement.seen) {
      apply(known_topic, *followed, {}, announcement.seen);
    }
    return;
  }
  const bool sender_lacks_it = announcement.changed <= followed->copy.revision();
  if (followed->pull_timer != 0 || sender_lacks_it) {
    return;
  }
  const auto topic = static_cast<Topic>(announcement.topic);
  if (!followed->copy.callPending()) {
    pull(topic, sender);
    return;
  }
  followed->pull_timer = context_.scheduler.schedule(
      settings_.pending_call_grace, [this, topic, sender] { pull(topic, sender); });
}

void StoreRelay::adoptSampleLevel(Topic topic, TopicState& followed,
                                  const Announcement& announcement) {
  if (!followLeader(topic, followed, announcement.reader) || followed.copy.revision() == 0 ||
      followed.copy.sampleLevel() == announcement.sample_level) {
    return;
  }
  const bool decides_here =
      isReader(topic) && rankOf(topic, announcement.reader) < rankOf(topic, membership_.self());
  if (!decides_here) {
    followed.copy.adoptSampleLevel(announcement.sample_level);
  }
}

bool StoreRelay::followLeader(Topic topic, TopicState& followed, const common::NodeId& reader) {
  const bool replaces = followed.leader.empty() || followed.leader == reader ||
                        !withinLimit(followed.leader_time, settings_.announcement_timeout) ||
                        rankOf(topic, reader) > rankOf(topic, followed.leader);
  if (replaces) {
    followed.leader = reader;
    followed.leader_time = context_.clock.now();
  }
  return replaces;
}

bool StoreRelay::applyReply(Topic topic, TopicState& followed, const ChangesReply& reply) {
  if (followed.copy.incomplete() && reply.packed_changes.empty()) {
    // The late answer to a request for the changes after a revision.
    return false;
  }
  if (followed.copy.revision() == 0) {
    followed.copy.adoptSampleLevel(reply.sample_level);
  } else if (reply.sample_level > followed.copy.sampleLevel()) {
    // Changes of objects that this copy holds may be missing.
    return false;
  }
  auto changes = reply.packed_changes.empty() ? std::make_optional(reply.changes)
                                              : unpackChanges(reply.packed_changes);
  return changes && apply(topic, followed, std::move(*changes), reply.revision);
}

bool StoreRelay::apply(Topic topic, TopicState& followed, std::vector<StoreChange> changes,
                       std::uint64_t revision) {
  const bool first = followed.copy.revision() == 0;
  if (!followed.copy.applyPeerChanges(changes, revision)) {
    return false;
  }
  const auto now = context_.clock.now();
  followed.progress_time = now;
  followed.copy_requested_since.reset();
  if (first) {
    followed.history.restart(revision);
  } else {
    followed.history.add(std::move(changes), revision);
  }
  fanOutWaiting(followed);
  if (first) {
    // The copy comes from readers, whose first announcement may still be on its way.
    followed.last_announcement_time = followed.last_announcement_time.value_or(now);
    serveAwaitingCopy(topic, followed);
  }
  return true;
}

void StoreRelay::pull(Topic topic, const common::NodeId& reader) {
  TopicState& followed = followed_.at(topic);
  followed.pull_timer = 0;
  if (!behind(followed) && followed.copy.revision() != 0) {
    return;
  }
  pulls_.add();
  context_.sendTo(reader, ChangesRequest{static_cast<std::uint8_t>(topic), followed.copy.revision(),
                                         true, incarnation_.current()});
  followed.pull_timer = context_.scheduler.schedule(
      settings_.reply_timeout + transferTime(followed), [this, topic] { pullTimedOut(topic); });
}

common::Duration StoreRelay::transferTime(const TopicState& followed) const {
  const double seconds = static_cast<double>(followed.announced_bytes) /
                         static_cast<double>(settings_.slow_bytes_per_second);
  return common::fromSeconds(seconds);
}

void StoreRelay::pullTimedOut(Topic topic) {
  TopicState& followed = followed_.at(topic);
  followed.pull_timer = 0;
  if (followed.copy.revision() == 0) {
    unanswered_pulls_.add();
  } else if (behind(followed)) {
    unanswered_pulls_.add();
    fetchUnlessProgressing(followed);
  }
}

void StoreRelay::onRequest(const common::NodeId& sender, const ChangesRequest& request) {
  incarnation_.observe(request.incarnation, kPeerSource);
  TopicState* const followed = find(request.topic);
  if (followed == nullptr) {
    return;
  }
  if (request.revision == 0) {
    const bool waits = followed->copy.revision() == 0 && request.accepts_packed &&
                       followed->awaiting_copy.size() < kMaximumAwaitingCopy;
    if (waits) {
      followed->awaiting_copy.insert(sender);
    } else {
      sendCopy(static_cast<Topic>(request.topic), *followed, sender, request.accepts_packed);
    }
    return;
  }
  ChangesReply reply;
  reply.topic = request.topic;
  reply.incarnation = incarnation_.current();
  reply.sample_level = followed->copy.sampleLevel();
  if (!comparable(request.incarnation)) {
    context_.sendTo(sender, reply);
    return;
  }
  reply.revision = followed->history.revision();
  auto changes = followed->history.since(request.revision, settings_.reply_bytes);
  if (changes && reply.revision > request.revision) {
    reply.available = true;
    reply.changes = std::move(*changes);
  }
  context_.sendTo(sender, reply);
}

void StoreRelay::sendCopy(Topic topic, const TopicState& followed, const common::NodeId& peer,
                          bool packed) {
  ChangesReply reply;
  reply.topic = static_cast<std::uint8_t>(topic);
  reply.incarnation = incarnation_.current();
  reply.sample_level = followed.copy.sampleLevel();
  reply.revision = followed.copy.revision();
  reply.available = reply.revision != 0;
  if (reply.available) {
    copies_.add();
    reply.changes = followed.copy.allObjects();
    if (packed) {
      reply.packed_changes = packChanges(reply.changes);
      reply.changes.clear();
    }
  }
  context_.sendTo(peer, reply);
}

void StoreRelay::serveAwaitingCopy(Topic topic, TopicState& followed) {
  for (const common::NodeId& peer : std::exchange(followed.awaiting_copy, {})) {
    sendCopy(topic, followed, peer, true);
  }
}

/// Applies the changes in a reply even if the reply arrives after the pull has timed out.
void StoreRelay::onReply(const common::NodeId& sender, const ChangesReply& reply) {
  incarnation_.observe(reply.incarnation, kPeerSource);
  TopicState* const followed = find(reply.topic);
  if (followed == nullptr || !comparable(reply.incarnation)) {
    return;
  }
  const bool awaited = followed->pull_timer != 0;
  const bool useful = reply.available && reply.revision > followed->copy.revision() &&
                      applyReply(static_cast<Topic>(reply.topic), *followed, reply);
  if (!awaited && !useful) {
    return;
  }
  context_.scheduler.cancel(std::exchange(followed->pull_timer, 0));
  if (!behind(*followed) || followed->copy.revision() == 0) {
    return;
  }
  if (useful) {
    pull(static_cast<Topic>(reply.topic), sender);
  } else {
    unavailable_.add();
    fetchUnlessProgressing(*followed);
  }
}

void StoreRelay::fetchUnlessProgressing(TopicState& followed) {
  const bool progressing =
      !starTopology() && withinLimit(followed.progress_time, settings_.progress_limit);
  if (!progressing) {
    fetchFromStore(followed);
  }
}

void StoreRelay::fetchFromStore(TopicState& followed) {
  const common::Duration limit = settings_.minimum_call_time + transferTime(followed);
  if (followed.copy.callPending() && withinLimit(followed.asked_time, limit)) {
    return;
  }
  followed.asked_time = context_.clock.now();
  followed.copy.fetchFromStore();
}

std::optional<common::Duration> StoreRelay::outdatedFor(Topic topic) const {
  const TopicState& followed = followed_.at(topic);
  if (!behind(followed)) {
    return std::nullopt;
  }
  return context_.clock.now() - followed.behind_since;
}

}  // namespace cypresswall::store_relay
