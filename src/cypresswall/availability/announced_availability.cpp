#include "cypresswall/availability/announced_availability.h"

#include <utility>

namespace cypresswall::availability {

AnnouncedAvailability::AnnouncedAvailability(const AnnouncedAvailabilitySettings& settings,
                                             const api::ProcessContext& context)
    : settings_(settings),
      context_(context),
      leaving_(context.counters.counter("cypresswall_servers_leaving_announced_total",
                                        "Servers that said in an answer that they leave")),
      pauses_(context.counters.counter("cypresswall_servers_pauses_requested_total",
                                       "Answers that asked for a time without requests")),
      unreadable_(context.counters.counter("cypresswall_servers_pauses_unreadable_total",
                                           "Answers that asked for a time that can't be read")),
      unavailable_gauge_(context.counters.gauge(
          "cypresswall_servers_unavailable_announced",
          "Servers that get nothing from this node since they said that they leave or want a "
          "pause")) {}

void AnnouncedAvailability::answered(const std::string& server,
                                     const common::ServerAnnouncement& announcement) {
  if (announcement.leaving) {
    recordLeaving(server);
  }
  if (announcement.pause) {
    recordPause(server, *announcement.pause);
  }
  if (announcement.pause_unreadable) {
    unreadable_.add();
    common::LogEvent(context_.log, common::LogLevel::kWarning, "server_pause_unreadable")
        .field("server", server);
  }
}

void AnnouncedAvailability::recordLeaving(const std::string& server) {
  expire();
  AnnouncedState& state = states_[server];
  state.leaving_seen_at = context_.clock.now();
  if (std::exchange(state.leaving, true)) {
    return;
  }
  leaving_.add();
  common::LogEvent(context_.log, common::LogLevel::kInfo, "server_leaving_announced")
      .field("server", server);
  notify(server);
  awaitRetentionEnd(server);
}

void AnnouncedAvailability::recordPause(const std::string& server, common::Duration pause) {
  expire();
  pauses_.add();
  const double stretch = 1.0 + settings_.pause_jitter * context_.random.unit();
  const auto now = context_.clock.now();
  const auto until = now + common::fromSeconds(common::toSeconds(pause) * stretch);
  AnnouncedState& state = states_[server];
  const bool paused = now < state.paused_until;
  if (until <= state.paused_until) {
    return;
  }
  state.paused_until = until;
  if (!paused) {
    common::LogEvent(context_.log, common::LogLevel::kInfo, "server_pause_requested")
        .field("server", server)
        .field("asked_ms", pause / std::chrono::milliseconds(1))
        .field("for_ms", (until - now) / std::chrono::milliseconds(1));
  }
  notify(server);
  context_.scheduler.schedule(until - now, [this] { updateGauge(); });
}

void AnnouncedAvailability::forget(const std::string& server) {
  if (states_.erase(server) != 0) {
    notify(server);
  }
}

void AnnouncedAvailability::notify(const std::string& server) const {
  updateGauge();
  for (const Listener& listener : listeners_) {
    listener(server);
  }
}

void AnnouncedAvailability::updateGauge() const {
  unavailable_gauge_.set(static_cast<double>(unavailable().size()));
}

void AnnouncedAvailability::awaitRetentionEnd(const std::string& server) {
  const auto end = states_[server].leaving_seen_at + settings_.leaving_retention;
  constexpr common::Duration kJustAfter{1};
  context_.scheduler.schedule(end - context_.clock.now() + kJustAfter, [this, server] {
    updateGauge();
    if (leaving(server)) {
      awaitRetentionEnd(server);
    }
  });
}

bool AnnouncedAvailability::leaves(const AnnouncedState& state) const {
  return state.leaving &&
         context_.clock.now() - state.leaving_seen_at <= settings_.leaving_retention;
}

bool AnnouncedAvailability::expired(const AnnouncedState& state) const {
  return !leaves(state) && context_.clock.now() >= state.paused_until;
}

void AnnouncedAvailability::expire() {
  std::erase_if(states_, [this](const auto& entry) { return expired(entry.second); });
}

const AnnouncedState* AnnouncedAvailability::find(const std::string& server) const {
  const auto found = states_.find(server);
  const bool known = settings_.enforced && found != states_.end() && !expired(found->second);
  return known ? &found->second : nullptr;
}

bool AnnouncedAvailability::leaving(const std::string& server) const {
  const AnnouncedState* const state = find(server);
  return state != nullptr && leaves(*state);
}

common::MonotonicTime AnnouncedAvailability::pausedUntil(const std::string& server) const {
  const AnnouncedState* const state = find(server);
  return state == nullptr ? common::MonotonicTime{} : state->paused_until;
}

bool AnnouncedAvailability::acceptsRequests(const std::string& server) const {
  return find(server) == nullptr;
}

std::vector<std::string> AnnouncedAvailability::unavailable() const {
  std::vector<std::string> servers;
  for (const auto& [server, state] : states_) {
    if (find(server) != nullptr) {
      servers.push_back(server);
    }
  }
  return servers;
}

}  // namespace cypresswall::availability
