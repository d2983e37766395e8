/// Tests of configuration synchronization in a small fleet and in a fleet of 24
/// zones.
#include "support/fake_fleet.h"

#include "marjorambay/coordination/config_sync.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace marjorambay {
namespace {

std::string documentOf(int Entries, int Changed = -1, int Round = 0) {
  std::string Text = "{\n";
  for (int Index = 0; Index < Entries; ++Index)
    Text += "  entry " + std::to_string(Index) + " round " +
            std::to_string(Index == Changed ? Round : 0) + "\n";
  return Text + "}\n";
}

void propose(FakeFleet &Fleet, std::size_t Host, std::uint64_t Proposal,
             Revision Base, std::string Document) {
  Fleet.feed(Host, ConfigSyncEvent(
                       ConfigProposed{Proposal, Base, std::move(Document)}));
}

/// Waits at most 60 s for the answer to a proposal.
Result<Revision> answerOf(FakeFleet &Fleet, std::size_t Host,
                          std::uint64_t Proposal) {
  const auto &Answers = Fleet.host(Host).Answers;
  Fleet.runUntil([&] { return Answers.contains(Proposal); }, seconds(60));
  REQUIRE(Answers.contains(Proposal));
  return Answers.at(Proposal);
}

bool onlyRises(const std::vector<Revision> &Adopted) {
  return std::adjacent_find(Adopted.begin(), Adopted.end(),
                            std::greater_equal<>()) == Adopted.end();
}

TEST_CASE("documents are compared line by line") {
  const std::string Old = documentOf(1000);

  SUBCASE("a changed line gives one edit of about its size") {
    const std::string New = documentOf(1000, 500, 1);
    const auto Edits = diffDocuments(Old, New);
    CHECK(Edits.size() == 1);
    CHECK(approximateSize(Edits) < 100);
    CHECK(applyEdits(Old, Edits) == New);
  }
  SUBCASE("the edits between any two documents reproduce the new one") {
    SplitMix64 Random(3);
    for (int Round = 0; Round < 50; ++Round) {
      std::string Left;
      std::string Right;
      for (int Line = 0; Line < 40; ++Line) {
        const std::string Text = std::to_string(Random.next() % 9) + "\n";
        Left += Random.next() % 3 != 0 ? Text : "";
        Right += Random.next() % 3 != 0 ? Text : "";
      }
      CHECK(applyEdits(Left, diffDocuments(Left, Right)) == Right);
    }
  }
  SUBCASE("edits that are out of range or out of order are rejected") {
    CHECK_FALSE(applyEdits("abc", {{2, 5, "x"}}));
    CHECK_FALSE(applyEdits("abc", {{9, 0, "x"}}));
    CHECK_FALSE(applyEdits("abc", {{2, 1, "x"}, {0, 1, "y"}}));
  }
  SUBCASE("an added line changes one part of a split document") {
    const auto Before = splitDocument(Old);
    std::string New = Old;
    New.insert(New.find("  entry 500"), "  entry added\n");
    std::size_t Differ = 0;
    for (std::string_view Part : splitDocument(New))
      Differ += std::find(Before.begin(), Before.end(), Part) == Before.end();
    CHECK(Before.size() > 10);
    CHECK(Differ <= 2);
  }
}

TEST_CASE("operators change the configuration of a small fleet") {
  FakeFleet Fleet({.Zones = 4, .HostsPerZone = 2});
  Fleet.AfterStep = [](FakeHost &Host) { CHECK(onlyRises(Host.Adopted)); };
  Fleet.run(seconds(5));
  propose(Fleet, 0, 1, Revision(0), "first\n");
  REQUIRE(ok(answerOf(Fleet, 0, 1)));
  const Revision First = value(answerOf(Fleet, 0, 1));
  const auto AllHave = [&](Revision Rev) {
    return Fleet.runUntil([&] { return Fleet.allHave(Rev); }, seconds(5)) >=
           Duration(0);
  };
  REQUIRE(AllHave(First));
  FakePlatform &Platform = Fleet.platform();

  SUBCASE("of two concurrent proposals one is rejected with the differences") {
    propose(Fleet, 0, 2, First, "ours\n");
    propose(Fleet, 3, 3, First, "theirs\n");
    const auto Ours = answerOf(Fleet, 0, 2);
    const auto Theirs = answerOf(Fleet, 3, 3);
    REQUIRE(ok(Ours) != ok(Theirs));
    const Error &Rejected = ok(Ours) ? error(Theirs) : error(Ours);
    CHECK(Rejected.Kind == ErrorKind::Conflict);
    CHECK(Rejected.Message.find(ok(Ours) ? "ours" : "theirs") !=
          std::string::npos);
    CHECK(AllHave(ok(Ours) ? value(Ours) : value(Theirs)));
  }
  SUBCASE("a proposal based on an old revision is rejected at once") {
    propose(Fleet, 0, 2, Revision(0), "late\n");
    REQUIRE(Fleet.host(0).Answers.contains(2));
    CHECK(error(Fleet.host(0).Answers.at(2)).Kind == ErrorKind::Conflict);
  }
  SUBCASE("a lost response is resolved by reading back") {
    Platform.LoseAnswers = 1;
    propose(Fleet, 0, 2, First, "second\n");
    const auto Answer = answerOf(Fleet, 0, 2);
    REQUIRE(ok(Answer));
    CHECK(AllHave(value(Answer)));
    CHECK(Fleet.host(7).Config->document() == "second\n");
  }
  SUBCASE("a lost response is resolved although another change followed") {
    const ZoneId Cut = Fleet.host(0).Info.Zone;
    Platform.LoseAnswers = 1;
    Platform.OnLostAnswer = [&] { Fleet.NoPlatform.insert(Cut); };
    propose(Fleet, 0, 2, First, "second\n");
    const auto Second = static_cast<Revision>(number(First) + 1);
    Fleet.runUntil([&] { return Fleet.host(4).Config->revision() >= Second; },
                   seconds(5));
    propose(Fleet, 4, 3, Second, "third\n");
    CHECK(ok(answerOf(Fleet, 4, 3)));
    REQUIRE_FALSE(Fleet.host(0).Answers.contains(2));
    Fleet.NoPlatform.clear();
    REQUIRE(ok(answerOf(Fleet, 0, 2)));
    CHECK(value(answerOf(Fleet, 0, 2)) == Second);
  }
  SUBCASE("a lost write request is retried and committed once") {
    Platform.LoseRequests = 2;
    propose(Fleet, 0, 2, First, "second\n");
    const auto Answer = answerOf(Fleet, 0, 2);
    REQUIRE(ok(Answer));
    CHECK(number(value(Answer)) == number(First) + 1);
  }
  SUBCASE("while the platform is down nothing is accepted") {
    Platform.Up = false;
    propose(Fleet, 0, 2, First, "second\n");
    const auto Answer = answerOf(Fleet, 0, 2);
    REQUIRE(!ok(Answer));
    CHECK(error(Answer).Kind == ErrorKind::PlatformUnavailable);
    Platform.Up = true;
    Fleet.run(seconds(60));
    CHECK(Fleet.all([&](const FakeHost &Host) {
      return Host.Config->revision() == First;
    }));
  }
  SUBCASE("an outage after the write is reported as an unknown outcome") {
    Platform.LoseAnswers = 1;
    Platform.OnLostAnswer = [&] { Platform.Up = false; };
    propose(Fleet, 0, 2, First, "second\n");
    const auto Answer = answerOf(Fleet, 0, 2);
    REQUIRE(!ok(Answer));
    CHECK(error(Answer).Kind == ErrorKind::OutcomeUnknown);
    Platform.Up = true;
    CHECK(Fleet.runUntil(
              [&] {
                return Fleet.allHave(static_cast<Revision>(number(First) + 1));
              },
              seconds(10)) >= Duration(0));
  }
  SUBCASE("stale reads of the platform do not restore an old revision") {
    Platform.freeze();
    propose(Fleet, 0, 2, First, "second\n");
    REQUIRE(ok(answerOf(Fleet, 0, 2)));
    Platform.Stale = true;
    REQUIRE(AllHave(value(answerOf(Fleet, 0, 2))));
    Fleet.run(seconds(60));
    CHECK(Fleet.host(2).Config->document() == "second\n");

    SUBCASE("and a restarted host does not serve before it has its peers' "
            "revision") {
      Fleet.restart(5);
      const auto Ready = [&] { return Fleet.host(5).Config->ready(); };
      REQUIRE(Fleet.runUntil(Ready, seconds(20)) >= Duration(0));
      CHECK(Fleet.host(5).Config->document() == "second\n");
    }
  }
  SUBCASE("a host that starts during an outage gets its peers' revision") {
    Platform.Up = false;
    Fleet.restart(5);
    CHECK_FALSE(Fleet.host(5).Config->ready());
    const auto Ready = [&] { return Fleet.host(5).Config->ready(); };
    CHECK(Fleet.runUntil(Ready, seconds(5)) >= Duration(0));
    CHECK(Fleet.host(5).Config->revision() == First);
  }
  SUBCASE("a host that reaches neither peers nor the platform never serves") {
    Platform.Up = false;
    Fleet.cut(Fleet.host(0).Info.Zone);
    Fleet.kill(1);
    Fleet.restart(0);
    Fleet.run(seconds(60));
    CHECK_FALSE(Fleet.host(0).Config->ready());
  }
  SUBCASE("a zone that was cut off keeps its revision and catches up") {
    Fleet.cut(Fleet.host(0).Info.Zone);
    Fleet.NoPlatform.insert(Fleet.host(0).Info.Zone);
    propose(Fleet, 2, 2, First, "second\n");
    const auto Answer = answerOf(Fleet, 2, 2);
    REQUIRE(ok(Answer));
    Fleet.run(seconds(10));
    CHECK(Fleet.host(0).Config->revision() == First);
    CHECK(Fleet.host(0).Config->ready());
    Fleet.heal();
    CHECK(AllHave(value(Answer)));
  }
  SUBCASE("a document above the object size limit is stored in parts") {
    const std::string Large = documentOf(70'000);
    REQUIRE(Large.size() > (std::size_t(1) << 20));
    propose(Fleet, 0, 2, First, Large);
    const auto Answer = answerOf(Fleet, 0, 2);
    REQUIRE(ok(Answer));
    CHECK(AllHave(value(Answer)));
    CHECK(Fleet.host(7).Config->document() == Large);
    CHECK(Platform.find("config/fleet")->Bytes.size() < (64U << 10));

    SUBCASE("and a change of one line writes few small objects") {
      const std::uint64_t Before = Platform.Writes;
      propose(Fleet, 3, 3, value(Answer), documentOf(70'000, 40'000, 1));
      const auto Next = answerOf(Fleet, 3, 3);
      REQUIRE(ok(Next));
      CHECK(Platform.Writes - Before <= 3);
      CHECK(AllHave(value(Next)));
      CHECK(Fleet.host(6).Config->document() == documentOf(70'000, 40'000, 1));
    }
    SUBCASE("and a host that starts from the platform alone reassembles it") {
      for (std::size_t Index = 0; Index < 8; ++Index)
        Fleet.kill(Index);
      Fleet.restart(4);
      const auto Ready = [&] { return Fleet.host(4).Config->ready(); };
      CHECK(Fleet.runUntil(Ready, seconds(20)) >= Duration(0));
      CHECK(Fleet.host(4).Config->document() == Large);
    }
  }
}

TEST_CASE("24 zones of 14 hosts, with one message in ten lost") {
  FakeFleet Fleet({.Zones = 24,
                   .HostsPerZone = 14,
                   .ZonesPerRegion = 4,
                   .Loss = 0.1,
                   .Seed = 7});
  Fleet.run(seconds(12));
  propose(Fleet, 0, 1, Revision(0), documentOf(100));
  REQUIRE(ok(answerOf(Fleet, 0, 1)));
  const Revision First = value(answerOf(Fleet, 0, 1));
  const auto AllHave = [&](Revision Rev) {
    return Fleet.runUntil([&] { return Fleet.allHave(Rev); }, seconds(5));
  };
  Duration Elapsed = AllHave(First);
  CHECK(Elapsed >= Duration(0));
  MESSAGE("first configuration in force everywhere after s: "
          << toSeconds(Elapsed));

  SUBCASE("a change is in force everywhere within 5 s") {
    propose(Fleet, 100, 2, First, documentOf(100, 50, 1));
    const auto Answer = answerOf(Fleet, 100, 2);
    REQUIRE(ok(Answer));
    Elapsed = AllHave(value(Answer));
    CHECK(Elapsed >= Duration(0));
    MESSAGE("change in force everywhere after s: " << toSeconds(Elapsed));
  }
  SUBCASE("also if only one zone reaches the platform") {
    for (std::size_t Index = 14; Index < Fleet.hosts().size(); ++Index)
      Fleet.NoPlatform.insert(Fleet.host(Index).Info.Zone);
    propose(Fleet, 0, 2, First, documentOf(100, 50, 1));
    const auto Answer = answerOf(Fleet, 0, 2);
    REQUIRE(ok(Answer));
    Elapsed = AllHave(value(Answer));
    CHECK(Elapsed >= Duration(0));
    MESSAGE(
        "change in force everywhere, with one zone at the platform, after s: "
        << toSeconds(Elapsed));
  }
  SUBCASE("a leaving target is known everywhere within 3 s") {
    const LeavingNotice Notice{TargetId(9), IncarnationId(1)};
    Fleet.feed(200, MembershipEvent(LeavingNoticeReceived{Notice}));
    Elapsed = Fleet.runUntil(
        [&] {
          return Fleet.all([](const FakeHost &Host) {
            return Host.Leaving.contains(TargetId(9));
          });
        },
        seconds(3));
    CHECK(Elapsed >= Duration(0));
    MESSAGE("leaving notice known everywhere after s: " << toSeconds(Elapsed));
  }
  SUBCASE("no live host is declared lost within 20 s") {
    Fleet.run(seconds(20));
    std::size_t Lost = 0;
    for (const FakeHost &Host : Fleet.hosts())
      Lost += Host.Lost.size();
    CHECK(Lost == 0);
  }
}

} // namespace
} // namespace marjorambay
