/// VersionShare: integer credits for versions under rollout.
#include "marjorambay/coordination/version_share.h"

#include <algorithm>

namespace marjorambay {

namespace {

constexpr std::uint64_t Million = 1'000'000;

// Credit for two requests: a version whose targets were busy may use its credit
// later, but cannot accumulate enough for a burst.
constexpr std::uint64_t MaxCredit = 2 * Million;

} // namespace

void VersionShare::setShare(VersionId Version, double Share) {
  const double Bounded = std::clamp(Share, 0.0, 1.0);
  Rollouts[Version].PartsPerMillion =
      static_cast<std::uint64_t>(Bounded * Million + 1e-6);
}

bool VersionShare::uncapped(VersionId Version) const {
  if (number(Version) == 0) // a target whose version is unknown
    return !tripped(Version);
  const auto Found = Rollouts.find(Version);
  if (Found == Rollouts.end())
    return !Serving || *Serving == Version;
  return Found->second.PartsPerMillion >= Million;
}

bool VersionShare::usable(VersionId Version) const {
  const auto Found = Rollouts.find(Version);
  return !tripped(Version) &&
         (uncapped(Version) ||
          (Found != Rollouts.end() && Found->second.PartsPerMillion != 0));
}

bool VersionShare::allows(VersionId Version) const {
  if (!usable(Version))
    return false;
  const auto Found = Rollouts.find(Version);
  if (Found == Rollouts.end())
    return true;
  const Rollout &Cap = Found->second;
  if (Cap.PartsPerMillion >= Million)
    return true;
  if (Cap.Credit + Cap.PartsPerMillion < Million)
    return false;
  const std::uint64_t Slots = (InFlight + 1) * Cap.PartsPerMillion / Million;
  return Cap.InFlight < std::max<std::uint64_t>(1, Slots);
}

void VersionShare::recordGrant(VersionId Version) {
  ++InFlight;
  for (auto &[Id, Cap] : Rollouts) {
    Cap.Credit += Cap.PartsPerMillion;
    if (Id == Version) {
      Cap.Credit -= std::min(Cap.Credit, Million);
      ++Cap.InFlight;
    }
    Cap.Credit = std::min(Cap.Credit, MaxCredit);
  }
}

void VersionShare::recordCompletion(VersionId Version) {
  InFlight -= std::min<std::uint64_t>(InFlight, 1);
  const auto Found = Rollouts.find(Version);
  if (Found != Rollouts.end())
    Found->second.InFlight -=
        std::min<std::uint64_t>(Found->second.InFlight, 1);
}

} // namespace marjorambay
