/// Fake back ends of plain HTTP services with scripted faults, and fake idempotency-key claims that
/// can be lost.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/idempotency/key_claims.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/services/service_client.h"
#include "cypresswall/simulation/virtual_time.h"

namespace cypresswall::testing {

/// Script of one call to a back end.
enum class CallScript {
  kGood,
  kServerError,  ///< runs, answers 500
  kUnavailable,  ///< runs, answers 503
  kNotSent,
  kRefused,
  kMisdirected,
  kBrokenBeforeRun,
  kBrokenAfterRun,
  kDuplicateAnswer,
  kSlow,   ///< runs, answers shortly before the time limit
  kStale,  ///< runs, but its kept connection breaks; answers if it took a fresh one
};
constexpr int kCallScripts = static_cast<int>(CallScript::kStale) + 1;

/// The n-th call uses the n-th script, later ones succeed.
class FakeServiceClient final : public services::ServiceClient {
 public:
  explicit FakeServiceClient(simulation::VirtualTime& time) : time_(time) {}
  std::unique_ptr<services::ServiceCall> call(
      const common::ServerIdentity& server, services::ServiceRequest request,
      std::function<void(services::ServiceResponse)> callback) override;

  std::vector<CallScript> scripts;
  /// All calls, with the back end that each named.
  std::vector<std::pair<common::ServerIdentity, services::ServiceRequest>> calls;
  /// Number of runs of each request and of each idempotency key.
  std::map<std::string, int> runs_by_request;
  std::map<std::string, int> runs_by_key;
  std::map<CallScript, int> faults;
  common::Duration answer_time = std::chrono::milliseconds(30);
  /// Rate limit announced by every answer.
  std::optional<common::RateLimitNotice> rate_limit;

 private:
  class FakeCall;
  simulation::VirtualTime& time_;
};

/// Idempotency-key claims in one table shared by all nodes, which can lose its content or be
/// unavailable.
class FakeClaims final : public idempotency::KeyClaims {
 public:
  explicit FakeClaims(simulation::VirtualTime& time) : time_(time) {}
  void claim(const std::string& key, std::uint64_t digest,
             std::function<void(idempotency::ClaimAnswer)> callback) override;
  void complete(const std::string& key, std::string answer) override;
  void release(const std::string& key) override;
  /// Drops all claims; keys claimed before are uncertain afterwards.
  void forget();

  bool unavailable = false;
  common::Duration answer_time = std::chrono::milliseconds(5);
  std::map<idempotency::ClaimVerdict, int> verdicts;

 private:
  struct Claim {
    std::uint64_t digest = 0;
    bool completed = false;
    std::string answer;
  };
  idempotency::ClaimAnswer decide(const std::string& key, std::uint64_t digest);

  simulation::VirtualTime& time_;
  std::map<std::string, Claim> claims_;
  std::set<std::string> uncertain_;
};

/// Membership view with a configurable member list and set of leaving machines.
class FakeMembership final : public membership::MembershipView {
 public:
  const common::NodeId& self() const override { return node; }
  const common::ZoneName& zone() const override { return zone_name; }
  const std::vector<membership::Member>& members() const override { return member_list; }
  bool machineLeaving(const common::MachineName& machine) const override {
    return leaving.count(machine) != 0;
  }
  bool addressLeaving(const common::Address&) const override { return false; }
  bool confirmedDead(const common::NodeId&) const override { return false; }
  void setDigest(membership::DigestTopic, std::uint64_t) override {}
  std::optional<std::uint64_t> digest(const common::NodeId&,
                                      membership::DigestTopic) const override {
    return std::nullopt;
  }
  void onChange(std::function<void()> listener) override { listeners.push_back(listener); }
  void changed() const {
    for (const auto& listener : listeners) {
      listener();
    }
  }

  common::NodeId node{"127.0.0.1:1", 7};
  common::ZoneName zone_name = "quay";
  std::vector<membership::Member> member_list;
  std::set<common::MachineName> leaving;
  std::vector<std::function<void()>> listeners;
};

}  // namespace cypresswall::testing
