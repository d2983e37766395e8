/// Eight hosts in four zones: operators change the configuration, a target
/// leaves and a version trips, half a second a step.
#include "fleet_scenarios.h"

#include "support/fake_fleet.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace marjorambay::matrix {

namespace {

constexpr Duration StepLength = milliseconds(500);
constexpr std::size_t StepCount = 20;
constexpr Duration WarmUp = seconds(6);
constexpr Duration CoolDown = seconds(9);
constexpr Duration InForceWithin = seconds(5);
constexpr Duration KnownWithin = seconds(3);
const TargetId LeavingId = TargetId(77);
const VersionId TrippedId = VersionId(88);

/// Writes without a condition, believes the last read, polls, and takes a
/// time-out for a refusal.
class NaiveConfigSync {
public:
  explicit NaiveConfigSync(const ConfigSyncSettings & /*Settings*/) {}

  ConfigSyncActions step(const ConfigSyncEvent &Event, TimePoint Now) {
    Out.clear();
    if (const auto *Wanted = std::get_if<ConfigProposed>(&Event))
      propose(*Wanted);
    if (const auto *Written = std::get_if<ObjectWritten>(&Event))
      written(*Written);
    if (const auto *Read = std::get_if<ObjectRead>(&Event))
      believe(*Read);
    if (std::holds_alternative<ConfigTicked>(Event) && Now >= NextPoll) {
      NextPoll = Now + Duration(seconds(1));
      Out.emplace_back(
          ReadObject{PlatformCallId(0), std::string(ConfigObjectName)});
    }
    return Out;
  }

  Revision revision() const { return Current; }
  const std::string &document() const { return Document; }
  bool ready() const { return number(Current) != 0; }
  bool watching() const { return false; }

private:
  Revision Current{};
  std::string Document{};
  TimePoint NextPoll{};
  ConfigSyncActions Out{};

  void propose(const ConfigProposed &Wanted) {
    Out.emplace_back(WriteObject{PlatformCallId(Wanted.ProposalId),
                                 std::string(ConfigObjectName), AnyVersion,
                                 Wanted.Document});
  }
  void written(const ObjectWritten &Written) {
    const auto Proposal = static_cast<std::uint64_t>(Written.Call);
    if (Written.Result == WriteResult::Committed)
      Out.emplace_back(
          AnswerProposal{Proposal, static_cast<Revision>(Written.Version)});
    else
      Out.emplace_back(
          AnswerProposal{Proposal, Error{ErrorKind::PlatformUnavailable}});
  }
  void believe(const ObjectRead &Read) {
    const auto Rev = static_cast<Revision>(Read.Version);
    if (!Read.Found || Rev == Current)
      return;
    Current = Rev;
    Document = Read.Bytes;
    Out.emplace_back(AdoptConfig{Current, Document});
  }
};

/// What the script does at a step.
enum class Act : std::uint8_t { Nothing, Propose, Sign, Trip };

struct ScriptLine {
  Act Kind = Act::Nothing;
  std::size_t Host = 0;
};

constexpr std::size_t HostCount = 8;

ScriptLine scriptAt(std::size_t Step) {
  switch (Step) {
  case 1:
    return {Act::Propose, 0};
  case 4:
    return {Act::Propose, 3};
  case 7:
    return {Act::Sign, 2};
  case 9:
    return {Act::Trip, 5};
  case 12:
    return {Act::Propose, 6};
  default:
    return {Act::Nothing, Step % HostCount};
  }
}

FaultSet fitsOf(const ScriptLine &Line) {
  FaultSet Fits;
  for (Fault Kind :
       {Fault::Crash, Fault::Pause, Fault::Drop, Fault::ShortDelay,
        Fault::LongDelay, Fault::Duplicate, Fault::Reorder, Fault::CutZones,
        Fault::PlatformDown, Fault::StaleRead, Fault::OperatorRace})
    Fits.set(static_cast<std::size_t>(Kind));
  if (Line.Kind == Act::Propose)
    Fits.set(static_cast<std::size_t>(Fault::LostAnswer));
  return Fits;
}

std::string describe(const ScriptLine &Line) {
  constexpr std::array What{"quiet", "operator proposes", "target leaves",
                            "version trips"};
  return std::string(What[static_cast<std::size_t>(Line.Kind)]) + ", host " +
         std::to_string(Line.Host);
}

/// One run: the script, the faults, and the checks after each step.
class FleetRun {
public:
  FleetRun(FakeFleetOptions Options, std::vector<Injection> Wanted)
      : Fleet(std::move(Options)), Faults(std::move(Wanted)) {}

  RunReport run() {
    Fleet.run(WarmUp);
    propose(0);
    Fleet.run(seconds(3));
    for (Step = 0; Step < StepCount; ++Step) {
      const ScriptLine Line = scriptAt(Step);
      Report.Steps.push_back({describe(Line), fitsOf(Line)});
      inject(Line, /*AfterAct=*/false);
      perform(Line);
      inject(Line, /*AfterAct=*/true);
      Fleet.run(StepLength);
      endFaults();
      check();
    }
    endAllFaults();
    for (Duration Left = CoolDown; Left > Duration(0); Left -= StepLength) {
      Fleet.run(StepLength);
      check();
    }
    checkEnd();
    return std::move(Report);
  }

private:
  struct Proposed {
    std::size_t Host = 0;
    std::uint64_t Id = 0;
    Revision Base{};
    std::string Document{};
    IncarnationId Life{}; ///< of the host; a dead one answers no more
    std::optional<TimePoint> AcceptedAt{};
  };

  FakeFleet Fleet;
  std::vector<Injection> Faults;
  RunReport Report{};
  std::size_t Step = 0;
  std::uint64_t LastProposal = 0;
  std::vector<Proposed> Made{};
  TimePoint QuietSince{}; ///< since when every live host reaches every other
  struct Active {
    Fault Kind = Fault::Crash;
    std::size_t Until = 0; ///< step before which it ends
    std::size_t Host = 0;  ///< that crashed or is paused
  };
  std::vector<Active> Running{};
  std::optional<TimePoint> SignAt{};
  std::size_t SignTeller = 0;
  IncarnationId SignLife{}; ///< of the teller when it saw the sign
  bool SignSpread = false;  ///< another host has known it
  std::vector<IncarnationId> TripKnown = std::vector<IncarnationId>(HostCount);

  void fail(Invariant Broken, std::string Detail) {
    Report.Violations.push_back({Broken, Step, std::move(Detail)});
  }

  void propose(std::size_t Host) {
    FakeHost &Where = Fleet.host(Host);
    if (!Where.Up || Where.Paused)
      return;
    const std::uint64_t Id = ++LastProposal;
    const std::string Document = "proposal " + std::to_string(Id) + "\n";
    const Revision Base = Where.Config->revision();
    Made.push_back({Host, Id, Base, Document, Where.Life});
    Fleet.feed(Host, ConfigSyncEvent(ConfigProposed{Id, Base, Document}));
  }

  void perform(const ScriptLine &Line) {
    const FakeHost &Where = Fleet.host(Line.Host);
    if (!Where.Up || Where.Paused)
      return;
    if (Line.Kind == Act::Propose)
      propose(Line.Host);
    if (Line.Kind == Act::Sign) {
      SignAt = Fleet.now();
      SignTeller = Line.Host;
      SignLife = Where.Life;
      Fleet.feed(Line.Host, MembershipEvent(LeavingNoticeReceived{
                                {LeavingId, IncarnationId(5)}}));
    }
    if (Line.Kind == Act::Trip)
      Fleet.feed(Line.Host, MembershipEvent(VersionFaultDetected{
                                {RolloutId(1), TrippedId}}));
  }

  /// A host crashes or freezes right after it acted, other faults come before.
  void inject(const ScriptLine &Line, bool AfterAct) {
    for (const Injection &Each : Faults) {
      const bool Stops = Each.Kind == Fault::Crash || Each.Kind == Fault::Pause;
      if (Stops != AfterAct)
        continue;
      if (Each.Step != Step ||
          !fitsOf(Line).test(static_cast<std::size_t>(Each.Kind)))
        continue;
      ++Report.Injected;
      begin(Each.Kind, Line);
    }
  }

  void begin(Fault Kind, const ScriptLine &Line) {
    const auto Last = [&](std::size_t Steps) {
      Running.push_back({Kind, Step + Steps, Line.Host});
    };
    FakePlatform &Platform = Fleet.platform();
    switch (Kind) {
    case Fault::Crash: // its answers never come
      Fleet.kill(Line.Host);
      return Last(3);
    case Fault::Pause:
      Fleet.pause(Line.Host);
      return Last(13);
    case Fault::Drop:
      Fleet.lose(0.7);
      return Last(2);
    case Fault::ShortDelay:
      Fleet.ExtraDelay = milliseconds(800);
      return Last(2);
    case Fault::LongDelay:
      Fleet.ExtraDelay = seconds(4);
      return Last(2);
    case Fault::Duplicate:
      Fleet.Duplicates = true;
      return Last(4);
    case Fault::Reorder:
      Fleet.ExtraJitter = milliseconds(400);
      return Last(4);
    case Fault::CutZones:
      Fleet.cut(Fleet.host(Line.Host).Info.Zone);
      return Last(10);
    case Fault::PlatformDown:
      Platform.Up = false;
      return Last(16);
    case Fault::LostAnswer:
      Platform.LoseAnswers = 1;
      return;
    case Fault::StaleRead:
      Platform.Lags = true;
      return Last(12);
    case Fault::OperatorRace:
      return propose((Line.Host + 3) % HostCount);
    default:
      return;
    }
  }

  void end(const Active &Ended) {
    const Fault Kind = Ended.Kind;
    FakePlatform &Platform = Fleet.platform();
    const FakeHost &Host = Fleet.host(Ended.Host);
    if (Kind == Fault::Crash && !Host.Up)
      Fleet.restart(Ended.Host);
    if (Kind == Fault::Pause && Host.Paused)
      Fleet.resume(Ended.Host);
    if (Kind == Fault::Drop)
      Fleet.lose(0);
    if (Kind == Fault::ShortDelay || Kind == Fault::LongDelay)
      Fleet.ExtraDelay = Duration(0);
    if (Kind == Fault::Duplicate)
      Fleet.Duplicates = false;
    if (Kind == Fault::Reorder)
      Fleet.ExtraJitter = Duration(0);
    if (Kind == Fault::CutZones)
      Fleet.heal();
    if (Kind == Fault::PlatformDown)
      Platform.Up = true;
    if (Kind == Fault::StaleRead)
      Platform.Lags = false;
  }

  /// Faults of the platform leave the hosts able to tell each other.
  static bool hinders(Fault Kind) {
    return Kind != Fault::PlatformDown && Kind != Fault::StaleRead &&
           Kind != Fault::Duplicate;
  }

  void endFaults() {
    std::vector<Active> Left;
    for (const Active &Each : Running) {
      if (hinders(Each.Kind))
        QuietSince = Fleet.now();
      if (Step + 1 < Each.Until)
        Left.push_back(Each);
      else
        end(Each);
    }
    Running = std::move(Left);
  }

  void endAllFaults() {
    for (const Active &Each : Running)
      end(Each);
    if (!Running.empty())
      QuietSince = Fleet.now();
    Running.clear();
  }

  // ---- Checks ---------------------------------------------------------------

  void check() {
    for (std::size_t Index = 0; Index < HostCount; ++Index)
      checkHost(Index);
    for (Proposed &Each : Made)
      checkProposal(Each);
    checkSign();
  }

  void checkHost(std::size_t Index) {
    FakeHost &Host = Fleet.host(Index);
    if (!Host.Up)
      return;
    const std::vector<Revision> &Adopted = Host.Adopted;
    if (std::adjacent_find(Adopted.begin(), Adopted.end(),
                           std::greater_equal<>()) != Adopted.end())
      fail(Invariant::RevisionRises, "host " + std::to_string(Index));
    const bool Knows = Host.Tripped.contains(TrippedId);
    if (TripKnown[Index] == Host.Life && !Knows)
      fail(Invariant::TripStays, "host " + std::to_string(Index));
    if (Knows)
      TripKnown[Index] = Host.Life;
  }

  void checkProposal(Proposed &Each) {
    const auto &Answers = Fleet.host(Each.Host).Answers;
    const auto Answer = Answers.find(Each.Id);
    if (Answer == Answers.end())
      return;
    const std::string Name = "proposal " + std::to_string(Each.Id);
    if (!ok(Answer->second)) {
      if (error(Answer->second).Kind != ErrorKind::OutcomeUnknown)
        checkRefused(Each, Name);
      return;
    }
    const Revision Rev = value(Answer->second);
    if (!Each.AcceptedAt) {
      Each.AcceptedAt = Fleet.now();
      if (number(Rev) != number(Each.Base) + 1)
        fail(Invariant::AcceptedStands, Name + " overwrote a change unread");
    }
    const TimePoint Begin = std::max(*Each.AcceptedAt, QuietSince);
    if (Fleet.now() - Begin > InForceWithin && !Fleet.allHave(Rev))
      fail(Invariant::InForceSoon, Name + " is not in force everywhere");
  }

  void checkRefused(const Proposed &Each, const std::string &Name) {
    for (const FakeHost &Host : Fleet.hosts())
      if (Host.Up && Host.Config->document() == Each.Document)
        fail(Invariant::RefusedIsOut, Name + " is in force");
  }

  void checkSign() {
    if (!SignAt)
      return;
    noteSignSpread();
    const TimePoint Begin = std::max(*SignAt, QuietSince);
    if (Fleet.now() - Begin <= KnownWithin)
      return;
    if (!Fleet.all([](const FakeHost &Host) {
          return Host.Leaving.contains(LeavingId);
        }) &&
        signSurvives())
      fail(Invariant::SignSpreads, "the sign is not known everywhere");
  }

  /// A sign is lost with the only life that has seen it, and only then.
  bool signSurvives() const {
    const FakeHost &Teller = Fleet.host(SignTeller);
    return SignSpread || (Teller.Up && Teller.Life == SignLife);
  }

  void noteSignSpread() {
    for (std::size_t Index = 0; Index < HostCount; ++Index) {
      const bool Knows = Fleet.host(Index).Leaving.contains(LeavingId);
      SignSpread = SignSpread || (Index != SignTeller && Knows);
    }
  }

  void checkEnd() {
    const Revision First = Fleet.host(0).Config->revision();
    if (!Fleet.all([&](const FakeHost &Host) {
          return Host.Config->revision() == First;
        }))
      fail(Invariant::InForceSoon, "hosts disagree at the end");
  }
};

Scenario scenario(const std::string &Name, const FakeFleetOptions &Options) {
  return {Name, [Options](const std::vector<Injection> &Faults) {
            return FleetRun(Options, Faults).run();
          }};
}

} // namespace

Model fleetModel() { return {"fleet", {scenario("fleet", {})}}; }

std::vector<Model> naiveFleetModels() {
  FakeFleetOptions LastWriteWins;
  LastWriteWins.MakeConfig = [](const ConfigSyncSettings &Settings) {
    return std::make_unique<ConfigSideOf<NaiveConfigSync>>(Settings);
  };
  FakeFleetOptions Timers;
  Timers.ForgetSigns = seconds(4);
  return {{"last write wins", {scenario("fleet", LastWriteWins)}},
          {"signs sent once, timers", {scenario("fleet", Timers)}}};
}

} // namespace marjorambay::matrix
