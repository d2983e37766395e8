/// Tests of membership: over a fake fleet, and message by message.
#include "support/fake_fleet.h"

#include "marjorambay/coordination/membership.h"
#include "marjorambay/coordination/rendezvous.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace marjorambay {
namespace {

template <typename T> std::size_t count(const MembershipActions &Actions) {
  return static_cast<std::size_t>(
      std::count_if(Actions.begin(), Actions.end(), [](const auto &Action) {
        return std::holds_alternative<T>(Action);
      }));
}

bool knowsAll(FakeFleet &Fleet) {
  const std::size_t Others = Fleet.hosts().size() - 1;
  return Fleet.all([&](const FakeHost &Host) {
    std::size_t Live = 0;
    for (const auto &[Id, Peer] : Host.Members->members())
      Live += Peer.State == HostState::Live;
    return Live == Others;
  });
}

TEST_CASE("rendezvous hashing moves as little as it can") {
  constexpr int Keys = 2000;
  const auto Owner = [](int Hosts, int Key) {
    RendezvousChoice<HostId> Choice(hash64(std::to_string(Key)));
    for (int Host = 0; Host < Hosts; ++Host)
      Choice.consider(idOf<HostId>("entry-" + std::to_string(Host)));
    return Choice.best();
  };
  int Moved = 0;
  for (int Key = 0; Key < Keys; ++Key) {
    if (Owner(14, Key) == Owner(15, Key))
      continue;
    ++Moved;
    CHECK(Owner(15, Key) == idOf<HostId>("entry-14"));
  }
  CHECK(Moved > Keys / 30); // 1 in 15 on average
  CHECK(Moved < Keys / 8);
}

TEST_CASE("a small fleet of four zones") {
  FakeFleet Fleet({.Zones = 4, .HostsPerZone = 2, .Loss = 0.05});
  REQUIRE(Fleet.runUntil([&] { return knowsAll(Fleet); }, seconds(20)) >=
          Duration(0));
  const auto Pool = idOf<PoolId>("models");
  const auto Within = [&](Duration Limit, auto Condition) {
    return Fleet.runUntil(Condition, Limit) >= Duration(0);
  };
  const auto ArbiterSeenBy = [&](std::size_t Index) {
    return Fleet.host(Index).Members->arbiterOf(Pool);
  };

  SUBCASE("the hosts of a zone agree on each pool's arbiter") {
    for (std::size_t Index = 0; Index < 8; Index += 2) {
      const HostId Chosen = ArbiterSeenBy(Index);
      CHECK(Chosen == ArbiterSeenBy(Index + 1));
      const ZoneId Zone = Fleet.host(Index).Info.Zone;
      const FakeHost &Elsewhere = Fleet.host((Index + 2) % 8);
      CHECK(Elsewhere.Members->arbiterOf(Pool, Zone) == Chosen);
    }
  }
  SUBCASE("an arbiter that dies is replaced, and its life is told as lost") {
    const std::size_t Arbiter = Fleet.indexOf(ArbiterSeenBy(0));
    const std::size_t Mate = 1 - Arbiter;
    const HostId MateId = Fleet.host(Mate).Info.Id;
    Fleet.kill(Arbiter);
    CHECK(Within(seconds(4), [&] { return ArbiterSeenBy(Mate) == MateId; }));
    Fleet.run(seconds(5));
    REQUIRE(Fleet.host(Mate).Lost.size() == 1);
    CHECK(Fleet.host(Mate).Lost[0] == Fleet.host(Arbiter).Info.Id);

    SUBCASE("and takes its place again once it is back in a new life") {
      Fleet.restart(Arbiter);
      CHECK(Within(seconds(3), [&] {
        return ArbiterSeenBy(Mate) == Fleet.host(Arbiter).Info.Id;
      }));
    }
  }
  SUBCASE("an arbiter that freezes is passed over in the other zones, too") {
    const std::size_t Arbiter = Fleet.indexOf(ArbiterSeenBy(0));
    const ZoneId Zone = Fleet.host(Arbiter).Info.Zone;
    const HostId MateId = Fleet.host(1 - Arbiter).Info.Id;
    const HostId ArbiterId = Fleet.host(Arbiter).Info.Id;
    const auto PassedOver = [&](HostId Chosen) {
      return [&, Chosen] {
        bool All = true;
        for (std::size_t Index = 2; Index < 8; ++Index)
          All =
              All && Fleet.host(Index).Members->arbiterOf(Pool, Zone) == Chosen;
        return All;
      };
    };
    Fleet.pause(Arbiter);
    CHECK(Within(seconds(15), PassedOver(MateId)));
    Fleet.run(seconds(20));
    CHECK(PassedOver(MateId)());
    Fleet.resume(Arbiter);
    CHECK(Within(seconds(15), PassedOver(ArbiterId)));
  }
  SUBCASE("a host that drains hands over at once, and stays a member") {
    const std::size_t Arbiter = Fleet.indexOf(ArbiterSeenBy(0));
    const std::size_t Mate = 1 - Arbiter;
    Fleet.feed(Arbiter, MembershipEvent(HostDrainStarted{}));
    CHECK(ArbiterSeenBy(Arbiter) == Fleet.host(Mate).Info.Id);
    Fleet.run(seconds(1));
    CHECK(ArbiterSeenBy(Mate) == Fleet.host(Mate).Info.Id);
    CHECK(Fleet.host(Mate).Lost.empty());
  }
  SUBCASE("a host that was frozen declares nobody dead when it thaws") {
    Fleet.pause(0);
    Fleet.run(seconds(20));
    REQUIRE_FALSE(Fleet.host(1).Lost.empty());
    Fleet.resume(0);
    Fleet.run(seconds(1));
    CHECK(Fleet.host(0).Pauses == 1);
    CHECK(Fleet.host(0).Lost.empty());
    CHECK(Within(seconds(20), [&] { return knowsAll(Fleet); }));
  }
  SUBCASE("a zone that is cut off arbitrates for itself, and comes back") {
    Fleet.cut(Fleet.host(0).Info.Zone);
    Fleet.run(seconds(180));
    CHECK(ArbiterSeenBy(0) == ArbiterSeenBy(1));
    CHECK_FALSE(knowsAll(Fleet));
    Fleet.heal();
    CHECK(Within(seconds(30), [&] { return knowsAll(Fleet); }));
  }
  SUBCASE("a target that leaves is known everywhere within 3 s") {
    const LeavingNotice Sign{idOf<TargetId>("w1"), IncarnationId(7)};
    const auto Knows = [&](const FakeHost &Host) {
      return Host.Leaving.contains(Sign.Target);
    };
    Fleet.feed(0, MembershipEvent(LeavingNoticeReceived{Sign}));
    CHECK(Within(seconds(3), [&] { return Fleet.all(Knows); }));

    SUBCASE("also by a host that starts later") {
      Fleet.restart(5);
      Fleet.run(seconds(3));
      CHECK(Knows(Fleet.host(5)));
    }
    SUBCASE("and is forgotten everywhere once it shows a newer life") {
      Fleet.feed(6, MembershipEvent(
                        TargetIncarnationSeen{Sign.Target, IncarnationId(8)}));
      CHECK(Within(seconds(3), [&] {
        return Fleet.all([&](const FakeHost &Host) { return !Knows(Host); });
      }));

      SUBCASE("so that an old sign no longer counts") {
        Fleet.feed(2, MembershipEvent(LeavingNoticeReceived{Sign}));
        CHECK_FALSE(Fleet.host(2).Members->isLeaving(Sign.Target));
      }
    }
  }
  SUBCASE("a trip reaches every host and is never undone") {
    const TrippedVersion Trip{RolloutId(1), VersionId(2)};
    Fleet.feed(7, MembershipEvent(VersionFaultDetected{Trip}));
    CHECK(Within(seconds(3), [&] {
      return Fleet.all([](const FakeHost &Host) {
        return Host.Members->isTripped(RolloutId(1), VersionId(2));
      });
    }));
  }
}

TEST_CASE("one host hears heartbeats") {
  MembershipSettings Settings;
  Settings.Self = {HostId(1), "10.0.0.1:7400", ZoneId(1), RegionId(1)};
  Settings.Incarnation = IncarnationId(10);
  Membership Members(Settings, SplitMix64(1));
  TimePoint Now{};
  Heartbeat Beat;
  Beat.Sender = {HostId(2), "10.0.0.2:7400", ZoneId(1), RegionId(1)};
  Beat.Incarnation = IncarnationId(20);
  Beat.Sequence = 5;
  const auto Hear = [&] { return Members.step(HeartbeatReceived{Beat}, Now); };
  REQUIRE(count<HostJoined>(Hear()) == 1);

  SUBCASE("a duplicate or an old one changes nothing") {
    CHECK(Hear().empty());
    Beat.Sequence = 4;
    Beat.Draining = true;
    CHECK(Hear().empty());
    CHECK_FALSE(Members.member(HostId(2))->Draining);
  }
  SUBCASE("a newer life ends the older one") {
    Beat.Incarnation = IncarnationId(21);
    Beat.Sequence = 1;
    const auto Actions = Hear();
    CHECK(count<HostLost>(Actions) == 1);
    CHECK(count<HostJoined>(Actions) == 1);
    Beat.Incarnation = IncarnationId(20);
    Beat.Sequence = 9;
    CHECK(Hear().empty());
  }
  SUBCASE("a newer revision is reported with its holder") {
    Beat.Sequence = 6;
    Beat.ConfigRevision = Revision(3);
    CHECK(count<NewerRevisionSeen>(Hear()) == 1);
    Members.step(RevisionAdopted{Revision(3)}, Now);
    Beat.Sequence = 7;
    CHECK(count<NewerRevisionSeen>(Hear()) == 0);
  }
  SUBCASE("the platform's list names whom to try and proves nothing") {
    Members.step(HostListRead{{{HostId(3), "10.0.0.3:7400", ZoneId(1)}}}, Now);
    CHECK(Members.member(HostId(3)) == nullptr);
    CHECK(count<SendHeartbeat>(Members.step(MembershipTicked{}, Now)) >= 1);
    Members.step(HostListRead{{}}, Now);
    CHECK(Members.member(HostId(2))->State == HostState::Live);
  }
  SUBCASE("signs of targets that are not configured are not kept") {
    Members.step(TargetsConfigured{{TargetId(1)}}, Now);
    Members.step(LeavingNoticeReceived{{TargetId(1)}}, Now);
    Members.step(LeavingNoticeReceived{{TargetId(2)}}, Now);
    CHECK(Members.isLeaving(TargetId(1)));
    CHECK_FALSE(Members.isLeaving(TargetId(2)));
    Members.step(TargetsConfigured{{TargetId(2)}}, Now);
    CHECK_FALSE(Members.isLeaving(TargetId(1)));
  }
  SUBCASE("a sign without a life is bound to the life that is seen") {
    Members.step(LeavingNoticeReceived{{TargetId(1)}}, Now);
    Members.step(TargetIncarnationSeen{TargetId(1), IncarnationId(5)}, Now);
    CHECK(Members.isLeaving(TargetId(1)));
    Members.step(TargetIncarnationSeen{TargetId(1), IncarnationId(6)}, Now);
    CHECK_FALSE(Members.isLeaving(TargetId(1)));
  }
  SUBCASE("trips are bounded: the oldest rollouts go first") {
    for (std::uint64_t Index = 1; Index <= 300; ++Index)
      Members.step(VersionFaultDetected{{RolloutId(Index), VersionId(1),
                                         WallTime(seconds(Index))}},
                   Now);
    CHECK(Members.isTripped(RolloutId(300), VersionId(1)));
    CHECK_FALSE(Members.isTripped(RolloutId(1), VersionId(1)));
  }
  SUBCASE("a large number of signs is sent in bounded pieces") {
    for (std::uint64_t Index = 1; Index <= 500; ++Index)
      Members.step(LeavingNoticeReceived{{TargetId(Index), IncarnationId(1)}},
                   Now);
    std::set<TargetId> Sent;
    for (int Round = 0; Round < 12; ++Round) {
      Now += milliseconds(500);
      Beat.Sequence += 1;
      Hear();
      for (const auto &Action : Members.step(MembershipTicked{}, Now))
        if (const auto *Send = std::get_if<SendHeartbeat>(&Action)) {
          CHECK(Send->Message.LeavingNotices.size() <= 64);
          for (const LeavingNotice &Sign : Send->Message.LeavingNotices)
            Sent.insert(Sign.Target);
        }
    }
    CHECK(Sent.size() == 500);
  }
}

} // namespace
} // namespace marjorambay
