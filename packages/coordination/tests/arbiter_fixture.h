/// Helpers that build the arbiter's events and read its actions.
#ifndef MARJORAMBAY_TESTS_ARBITER_FIXTURE_H
#define MARJORAMBAY_TESTS_ARBITER_FIXTURE_H

#include "marjorambay/coordination/arbiter.h"

#include <string_view>
#include <vector>

namespace marjorambay::testing {

inline TimePoint at(Duration SinceStart) {
  return TimePoint(hours(1)) + SinceStart;
}
inline TierRank tier(int Rank) { return static_cast<TierRank>(Rank); }
inline HostId host(std::string_view Name) { return idOf<HostId>(Name); }
inline AccountId account(std::string_view Name) {
  return idOf<AccountId>(Name);
}
inline TargetId target(std::string_view Name) { return idOf<TargetId>(Name); }
inline VersionId version(std::string_view Name) {
  return idOf<VersionId>(Name);
}
inline CrashKey segment(std::uint64_t Value) {
  return {CrashKeyKind::Segment, Value};
}
inline RequestKey key(std::uint64_t Id, std::string_view Origin = "entry-1") {
  return {host(Origin), static_cast<IncarnationId>(1),
          static_cast<RequestId>(Id)};
}

/// Returns a target with the given batch width that decodes 1000 tokens per
/// second.
inline TargetInfo worker(std::string_view Name, std::uint32_t Width,
                         std::string_view Version = "v1") {
  TargetInfo Info;
  Info.Id = target(Name);
  Info.Version = version(Version);
  Info.MaxRequestsInFlight = Width;
  return Info;
}

/// Returns a reservation for 100 output tokens, due in a minute.
inline Reservation reservation(std::uint64_t Id, int Rank = 0,
                               std::string_view Account = "member") {
  Reservation Request;
  Request.Key = key(Id);
  Request.Tier = tier(Rank);
  Request.Account = account(Account);
  Request.Cost = {100, 100};
  Request.Remaining = minutes(1);
  return Request;
}

template <typename Action>
std::vector<Action> only(const ArbiterActions &Actions) {
  std::vector<Action> Found;
  for (const ArbiterAction &Each : Actions)
    if (const auto *Match = std::get_if<Action>(&Each))
      Found.push_back(*Match);
  return Found;
}

/// Returns the ids of the granted requests, in order.
inline std::vector<std::uint64_t> granted(const ArbiterActions &Actions) {
  std::vector<std::uint64_t> Ids;
  for (const GrantSlot &Each : only<GrantSlot>(Actions))
    Ids.push_back(number(Each.Key.Id));
  return Ids;
}

inline std::vector<std::uint64_t> refused(const ArbiterActions &Actions) {
  std::vector<std::uint64_t> Ids;
  for (const RefuseSlot &Each : only<RefuseSlot>(Actions))
    Ids.push_back(number(Each.Key.Id));
  return Ids;
}

} // namespace marjorambay::testing

#endif // MARJORAMBAY_TESTS_ARBITER_FIXTURE_H
