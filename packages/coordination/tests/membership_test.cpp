/// Tests of membership: in a simulated fleet, and message by message.
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

TEST_CASE("rendezvous hashing moves only the keys of an added candidate") {
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
      const FakeHost &Remote = Fleet.host((Index + 2) % 8);
      CHECK(Remote.Members->arbiterOf(Pool, Zone) == Chosen);
    }
  }
  SUBCASE("an arbiter that dies is replaced and reported as lost") {
    const std::size_t Arbiter = Fleet.indexOf(ArbiterSeenBy(0));
    const std::size_t Peer = 1 - Arbiter;
    const HostId PeerId = Fleet.host(Peer).Info.Id;
    Fleet.kill(Arbiter);
    CHECK(Within(seconds(4), [&] { return ArbiterSeenBy(Peer) == PeerId; }));
    Fleet.run(seconds(5));
    REQUIRE(Fleet.host(Peer).Lost.size() == 1);
    CHECK(Fleet.host(Peer).Lost[0] == Fleet.host(Arbiter).Info.Id);

    SUBCASE("and is the arbiter again after a restart") {
      Fleet.restart(Arbiter);
      CHECK(Within(seconds(3), [&] {
        return ArbiterSeenBy(Peer) == Fleet.host(Arbiter).Info.Id;
      }));
    }
  }
  SUBCASE(
      "an arbiter that freezes is also replaced in the view of other zones") {
    const std::size_t Arbiter = Fleet.indexOf(ArbiterSeenBy(0));
    const ZoneId Zone = Fleet.host(Arbiter).Info.Zone;
    const HostId PeerId = Fleet.host(1 - Arbiter).Info.Id;
    const HostId ArbiterId = Fleet.host(Arbiter).Info.Id;
    const auto ArbiterIs = [&](HostId Chosen) {
      return [&, Chosen] {
        bool All = true;
        for (std::size_t Index = 2; Index < 8; ++Index)
          All =
              All && Fleet.host(Index).Members->arbiterOf(Pool, Zone) == Chosen;
        return All;
      };
    };
    Fleet.pause(Arbiter);
    CHECK(Within(seconds(15), ArbiterIs(PeerId)));
    Fleet.run(seconds(20));
    CHECK(ArbiterIs(PeerId)());
    Fleet.resume(Arbiter);
    CHECK(Within(seconds(15), ArbiterIs(ArbiterId)));
  }
  SUBCASE("a draining host hands over at once and stays a member") {
    const std::size_t Arbiter = Fleet.indexOf(ArbiterSeenBy(0));
    const std::size_t Peer = 1 - Arbiter;
    Fleet.feed(Arbiter, MembershipEvent(HostDrainStarted{}));
    CHECK(ArbiterSeenBy(Arbiter) == Fleet.host(Peer).Info.Id);
    Fleet.run(seconds(1));
    CHECK(ArbiterSeenBy(Peer) == Fleet.host(Peer).Info.Id);
    CHECK(Fleet.host(Peer).Lost.empty());
  }
  SUBCASE(
      "a host that was frozen declares no other host lost when it resumes") {
    Fleet.pause(0);
    Fleet.run(seconds(20));
    REQUIRE_FALSE(Fleet.host(1).Lost.empty());
    Fleet.resume(0);
    Fleet.run(seconds(1));
    CHECK(Fleet.host(0).Pauses == 1);
    CHECK(Fleet.host(0).Lost.empty());
    CHECK(Within(seconds(20), [&] { return knowsAll(Fleet); }));
  }
  SUBCASE("a zone that is cut off has its own arbiter and rejoins later") {
    Fleet.cut(Fleet.host(0).Info.Zone);
    Fleet.run(seconds(180));
    CHECK(ArbiterSeenBy(0) == ArbiterSeenBy(1));
    CHECK_FALSE(knowsAll(Fleet));
    Fleet.heal();
    CHECK(Within(seconds(30), [&] { return knowsAll(Fleet); }));
  }
  SUBCASE("a leaving target is known everywhere within 3 s") {
    const LeavingNotice Notice{idOf<TargetId>("w1"), IncarnationId(7)};
    const auto Knows = [&](const FakeHost &Host) {
      return Host.Leaving.contains(Notice.Target);
    };
    Fleet.feed(0, MembershipEvent(LeavingNoticeReceived{Notice}));
    CHECK(Within(seconds(3), [&] { return Fleet.all(Knows); }));

    SUBCASE("also to a host that starts later") {
      Fleet.restart(5);
      Fleet.run(seconds(3));
      CHECK(Knows(Fleet.host(5)));
    }
    SUBCASE("and is cleared everywhere once it reports a newer incarnation") {
      Fleet.feed(6, MembershipEvent(TargetIncarnationSeen{Notice.Target,
                                                          IncarnationId(8)}));
      CHECK(Within(seconds(3), [&] {
        return Fleet.all([&](const FakeHost &Host) { return !Knows(Host); });
      }));

      SUBCASE("so that an old notice no longer has an effect") {
        Fleet.feed(2, MembershipEvent(LeavingNoticeReceived{Notice}));
        CHECK_FALSE(Fleet.host(2).Members->isLeaving(Notice.Target));
      }
    }
  }
  SUBCASE("a trip reaches every host") {
    const TrippedVersion Trip{RolloutId(1), VersionId(2)};
    Fleet.feed(7, MembershipEvent(VersionFaultDetected{Trip}));
    CHECK(Within(seconds(3), [&] {
      return Fleet.all([](const FakeHost &Host) {
        return Host.Members->isTripped(RolloutId(1), VersionId(2));
      });
    }));
  }
}

TEST_CASE("a host receives heartbeats") {
  MembershipSettings Settings;
  Settings.Self = {HostId(1), "10.0.0.1:7400", ZoneId(1), RegionId(1)};
  Settings.Incarnation = IncarnationId(10);
  Membership Members(Settings, SplitMix64(1));
  TimePoint Now{};
  Heartbeat Message;
  Message.Sender = {HostId(2), "10.0.0.2:7400", ZoneId(1), RegionId(1)};
  Message.Incarnation = IncarnationId(20);
  Message.Sequence = 5;
  const auto Receive = [&] {
    return Members.step(HeartbeatReceived{Message}, Now);
  };
  REQUIRE(count<HostJoined>(Receive()) == 1);

  SUBCASE("a duplicate or an older heartbeat changes nothing") {
    CHECK(Receive().empty());
    Message.Sequence = 4;
    Message.Draining = true;
    CHECK(Receive().empty());
    CHECK_FALSE(Members.member(HostId(2))->Draining);
  }
  SUBCASE("a newer incarnation replaces the older one") {
    Message.Incarnation = IncarnationId(21);
    Message.Sequence = 1;
    const auto Actions = Receive();
    CHECK(count<HostLost>(Actions) == 1);
    CHECK(count<HostJoined>(Actions) == 1);
    Message.Incarnation = IncarnationId(20);
    Message.Sequence = 9;
    CHECK(Receive().empty());
  }
  SUBCASE("a newer configuration revision is reported") {
    Message.Sequence = 6;
    Message.ConfigRevision = Revision(3);
    CHECK(count<NewerRevisionSeen>(Receive()) == 1);
    Members.step(RevisionAdopted{Revision(3)}, Now);
    Message.Sequence = 7;
    CHECK(count<NewerRevisionSeen>(Receive()) == 0);
  }
  SUBCASE("the platform's host list only adds probe candidates") {
    Members.step(HostListRead{{{HostId(3), "10.0.0.3:7400", ZoneId(1)}}}, Now);
    CHECK(Members.member(HostId(3)) == nullptr);
    CHECK(count<SendHeartbeat>(Members.step(MembershipTicked{}, Now)) >= 1);
    Members.step(HostListRead{{}}, Now);
    CHECK(Members.member(HostId(2))->State == HostState::Live);
  }
  SUBCASE("notices about targets that are not configured are dropped") {
    Members.step(TargetsConfigured{{TargetId(1)}}, Now);
    Members.step(LeavingNoticeReceived{{TargetId(1)}}, Now);
    Members.step(LeavingNoticeReceived{{TargetId(2)}}, Now);
    CHECK(Members.isLeaving(TargetId(1)));
    CHECK_FALSE(Members.isLeaving(TargetId(2)));
    Members.step(TargetsConfigured{{TargetId(2)}}, Now);
    CHECK_FALSE(Members.isLeaving(TargetId(1)));
  }
  SUBCASE("a notice without an incarnation applies to the first one reported") {
    Members.step(LeavingNoticeReceived{{TargetId(1)}}, Now);
    Members.step(TargetIncarnationSeen{TargetId(1), IncarnationId(5)}, Now);
    CHECK(Members.isLeaving(TargetId(1)));
    Members.step(TargetIncarnationSeen{TargetId(1), IncarnationId(6)}, Now);
    CHECK_FALSE(Members.isLeaving(TargetId(1)));
  }
  SUBCASE("trips are bounded; those of the oldest rollouts are dropped") {
    for (std::uint64_t Index = 1; Index <= 300; ++Index)
      Members.step(VersionFaultDetected{{RolloutId(Index), VersionId(1),
                                         WallTime(seconds(Index))}},
                   Now);
    CHECK(Members.isTripped(RolloutId(300), VersionId(1)));
    CHECK_FALSE(Members.isTripped(RolloutId(1), VersionId(1)));
  }
  SUBCASE("many notices are sent in heartbeats of bounded size") {
    for (std::uint64_t Index = 1; Index <= 500; ++Index)
      Members.step(LeavingNoticeReceived{{TargetId(Index), IncarnationId(1)}},
                   Now);
    std::set<TargetId> Sent;
    for (int Round = 0; Round < 12; ++Round) {
      Now += milliseconds(500);
      Message.Sequence += 1;
      Receive();
      for (const auto &Action : Members.step(MembershipTicked{}, Now))
        if (const auto *Send = std::get_if<SendHeartbeat>(&Action)) {
          CHECK(Send->Message.LeavingNotices.size() <= 64);
          for (const LeavingNotice &Notice : Send->Message.LeavingNotices)
            Sent.insert(Notice.Target);
        }
    }
    CHECK(Sent.size() == 500);
  }
}

} // namespace
} // namespace marjorambay
