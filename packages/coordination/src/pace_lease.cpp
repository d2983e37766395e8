/// Pledges of hosts to arbiters.
#include "marjorambay/coordination/pace_lease.h"

#include <algorithm>
#include <functional>

namespace marjorambay {

// ---- Of one host ------------------------------------------------------------

bool PacePledges::pledge(PoolId Pool, HostId Arbiter, TimePoint DigestAt,
                         TimePoint Now) {
  if (Now < Started + PledgeTime + PledgeMargin)
    return false;
  Pledge &Known = Pledges[Pool];
  if (Known.Arbiter != Arbiter && Now < Known.Until)
    return false;
  const TimePoint Until = DigestAt + PledgeTime + PledgeMargin;
  Known.Until = Known.Arbiter == Arbiter ? std::max(Known.Until, Until) : Until;
  Known.Arbiter = Arbiter;
  return true;
}

// ---- Of one hub -------------------------------------------------------------

void PaceLeases::recordDigest(HostId To, std::uint64_t Sequence,
                              TimePoint Now) {
  Origin &Known = Origins[To];
  Known.Digests[Known.NextDigest] = {Sequence, Now};
  Known.NextDigest = (Known.NextDigest + 1) % DigestsKept;
}

void PaceLeases::recordHeartbeat(HostId From, IncarnationId Incarnation,
                                 std::uint64_t Sequence,
                                 std::uint64_t DigestSequence,
                                 const std::vector<PoolId> &Pledged) {
  Origin &Known = Origins[From];
  if (Incarnation < Known.Incarnation ||
      (Incarnation == Known.Incarnation && Sequence <= Known.Sequence))
    return; // overtaken by a later heartbeat
  if (Incarnation > Known.Incarnation) {
    Known = Origin{};
    Known.Incarnation = Incarnation;
  }
  Known.Sequence = Sequence;
  Known.Pledged = std::set<PoolId>(Pledged.begin(), Pledged.end());
  for (const auto &[Digest, SentAt] : Known.Digests)
    if (DigestSequence != 0 && Digest == DigestSequence)
      Known.Until = std::max(Known.Until, SentAt + PledgeTime);
}

std::uint64_t PaceLeases::heardSequence(HostId From,
                                        IncarnationId Incarnation) const {
  const auto Known = Origins.find(From);
  return Known != Origins.end() && Known->second.Incarnation == Incarnation
             ? Known->second.Sequence
             : 0;
}

std::optional<TimePoint>
PaceLeases::leaseUntil(PoolId Pool, const std::vector<HostId> &Others,
                       bool PledgesItself, TimePoint Now) const {
  std::vector<TimePoint> Ends;
  if (PledgesItself)
    Ends.push_back(Now + PledgeTime);
  for (const HostId Id : Others) {
    const auto Known = Origins.find(Id);
    if (Known != Origins.end() && Now < Known->second.Until &&
        Known->second.Pledged.count(Pool) != 0)
      Ends.push_back(Known->second.Until);
  }
  const std::size_t Needed = (Others.size() + 1) / 2 + 1;
  if (Ends.size() < Needed)
    return std::nullopt;
  std::nth_element(Ends.begin(),
                   Ends.begin() + static_cast<std::ptrdiff_t>(Needed - 1),
                   Ends.end(), std::greater<>());
  return Ends[Needed - 1];
}

} // namespace marjorambay
