#include "cypresswall/membership/store_followers.h"

#include <algorithm>
#include <utility>

#include "cypresswall/common/prompt.h"

namespace cypresswall::membership {
namespace {

/// Rank of a node for a topic, the same on every node (rendezvous hashing).
std::uint64_t rankOf(const common::NodeId& node, DigestTopic topic) {
  return common::hash64(node.toString(), static_cast<std::uint64_t>(topic));
}

}  // namespace

StoreFollowers::StoreFollowers(const StoreFollowerSettings& settings,
                               const api::ProcessContext& context, MembershipView& membership)
    : settings_(settings),
      context_(context),
      membership_(membership),
      asked_again_(context.counters.counter("cypresswall_store_asked_again_total",
                                            "Watches dropped since a peer knew of a change")) {
  membership_.onChange([this] { onMembership(); });
}

void StoreFollowers::follow(DigestTopic topic, Revision revision,
                            std::function<void()> look_again) {
  followed_[topic] = Followed{std::move(revision), std::move(look_again)};
}

void StoreFollowers::changed(DigestTopic topic, std::uint64_t revision) {
  membership_.setDigest(topic, revision);
}

common::Duration StoreFollowers::pollTime(DigestTopic topic) const {
  return asksOften(topic) ? settings_.frequent_poll_time : settings_.other_poll_time;
}

bool StoreFollowers::asksOften(DigestTopic topic) const {
  const std::uint64_t own = rankOf(membership_.self(), topic);
  const auto members = membership_.members();
  const auto ahead = std::count_if(members.begin(), members.end(), [&](const Member& member) {
    return member.state == MemberState::kAlive && member.node != membership_.self() &&
           rankOf(member.node, topic) > own;
  });
  return static_cast<std::size_t>(ahead) < settings_.frequent_nodes;
}

bool StoreFollowers::behind(DigestTopic topic, const Followed& followed) const {
  const std::uint64_t reached = followed.revision();
  const auto members = membership_.members();
  return std::any_of(members.begin(), members.end(), [&](const Member& member) {
    return membership_.digest(member.node, topic).value_or(0) > reached;
  });
}

void StoreFollowers::onMembership() {
  for (auto& [topic, followed] : followed_) {
    if (followed.check_pending || !behind(topic, followed)) {
      continue;
    }
    followed.check_pending = true;
    context_.scheduler.schedule(settings_.patience, [this, topic = topic] { check(topic); });
  }
}

void StoreFollowers::check(DigestTopic topic) {
  Followed& followed = followed_.at(topic);
  followed.check_pending = false;
  if (!behind(topic, followed)) {
    return;
  }
  asked_again_.add();
  followed.look_again();
}

}  // namespace cypresswall::membership
