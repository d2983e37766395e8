/// Construction of the context, and delivery of events to the decision
/// components.
#include "daemon.h"

#include "actions.h"
#include "host_identity.h"
#include "rollouts.h"

#include "marjorambay/protocol/config_manifest_json.h"

#include <event2/buffer.h>

#include <utility>

namespace marjorambay {

namespace {

HttpServerLimits callerLimits(const HostSettings &Settings) {
  HttpServerLimits Limits;
  Limits.MaxHeaderBytes = Settings.MaxHeaderBytes;
  Limits.MaxBodyBytes = Settings.MaxBodyBytes;
  Limits.MaxConnections = Settings.MaxConnections;
  Limits.IdleTimeout = Settings.IdleTimeout;
  Limits.RequestTimeout = Settings.IdleTimeout + seconds(15);
  return Limits;
}

PeerLinkLimits peerLimits(const HostSettings &Settings) {
  PeerLinkLimits Limits;
  Limits.HighWaterMark = static_cast<int>(Settings.PeerHighWaterMark);
  return Limits;
}

OriginSettings originSettings(const HostInfo &Self, IncarnationId Incarnation) {
  OriginSettings Derived;
  Derived.Self = Self.Id;
  Derived.Incarnation = Incarnation;
  return Derived;
}

IntentLogSettings intentSettings(const HostSettings &Settings,
                                 const HostInfo &Self,
                                 IncarnationId Incarnation) {
  IntentLogSettings Derived;
  Derived.Self = Self.Id;
  Derived.Incarnation = Incarnation;
  Derived.WritesPerSecond =
      static_cast<double>(Settings.PlatformWritesPerSecond);
  Derived.CallTimeout = Settings.PlatformTimeout + milliseconds(500);
  return Derived;
}

ConfigSyncSettings configSettings(const HostInfo &Self,
                                  IncarnationId Incarnation) {
  ConfigSyncSettings Derived;
  Derived.Self = Self.Id;
  Derived.Incarnation = Incarnation;
  Derived.Codec = {parseConfigManifest, printConfigManifest};
  return Derived;
}

/// Parses a seed, "name zone region ip:port", which the settings have
/// validated.
HostInfo parseSeed(const std::string &Text) {
  std::array<std::string, 4> Parts;
  std::size_t Part = 0;
  for (const char Character : Text) {
    if (Character == ' ')
      Part += Part + 1 < Parts.size() && !Parts[Part].empty() ? 1 : 0;
    else
      Parts[Part] += Character;
  }
  return {idOf<HostId>(Parts[0]), Parts[3], idOf<ZoneId>(Parts[1]),
          idOf<RegionId>(Parts[2])};
}

MembershipSettings memberSettings(const HostSettings &Settings,
                                  const HostInfo &Self,
                                  IncarnationId Incarnation) {
  MembershipSettings Derived;
  Derived.Self = Self;
  Derived.Incarnation = Incarnation;
  Derived.HeartbeatInterval = Settings.HeartbeatInterval;
  for (const std::string &Seed : Settings.Seeds)
    Derived.Seeds.push_back(parseSeed(Seed));
  return Derived;
}

} // namespace

void BufferDeleter::operator()(evbuffer *Buffer) const {
  evbuffer_free(Buffer);
}

Daemon::Daemon(HostSettings Given)
    : Settings(std::move(Given)), Self(hostInfoFrom(Settings)),
      Incarnation(incarnationAt(Loop.wallClockNow())),
      Random(number(Self.Id) ^ number(Incarnation)),
      Callers(Loop, Timers, callerLimits(Settings)),
      Operators(Loop, Timers, HttpServerLimits{}),
      Peers(Loop, peerLimits(Settings)),
      Requests(originSettings(Self, Incarnation), SplitMix64(Random.next())),
      Members(memberSettings(Settings, Self, Incarnation),
              SplitMix64(Random.next())),
      Intents(intentSettings(Settings, Self, Incarnation)),
      ConfigState(configSettings(Self, Incarnation)) {}

Daemon::~Daemon() = default;

namespace {

void perform(Daemon &D, const OriginEvent &Event) {
  for (const OriginAction &Action : D.Requests.step(Event, D.Loop.now()))
    std::visit([&D](const auto &Alternative) { performOrigin(D, Alternative); },
               Action);
}

void perform(Daemon &D, const ArbiterInput &Input) {
  HostedArbiter &Hosted = hostedArbiter(D, Input.Pool);
  if (const auto *Released = std::get_if<SlotReleased>(&Input.Event))
    if (const Slot *EndedSlot = Hosted.Policy.slot(Released->Key))
      observeAnswer(D, *EndedSlot, Released->Used);
  const ArbiterActions Actions = Hosted.Policy.step(Input.Event, D.Loop.now());
  for (const ArbiterAction &Action : Actions)
    performArbiter(D, Input.Pool, Action);
}

void perform(Daemon &D, const MembershipEvent &Event) {
  for (const MembershipAction &Action : D.Members.step(Event, D.Loop.now()))
    std::visit(
        [&D](const auto &Alternative) { performMembership(D, Alternative); },
        Action);
}

void perform(Daemon &D, const IntentLogInput &Input) {
  const IntentLogActions Actions = D.Intents.step(Input.Event, D.Loop.now());
  for (const IntentLogAction &Action : Actions)
    std::visit(
        [&D](const auto &Alternative) { performIntentLog(D, Alternative); },
        Action);
}

void perform(Daemon &D, const ConfigInput &Input) {
  const ConfigSyncActions Actions =
      D.ConfigState.step(Input.Event, D.Loop.now());
  for (const ConfigSyncAction &Action : Actions)
    std::visit([&D](const auto &Alternative) { performConfig(D, Alternative); },
               Action);
}

} // namespace

void post(Daemon &D, CoreEvent Event) {
  D.EventQueue.push_back(std::move(Event));
  if (D.ProcessingEvents)
    return;
  D.ProcessingEvents = true;
  while (!D.EventQueue.empty()) {
    const CoreEvent Next = std::move(D.EventQueue.front());
    D.EventQueue.pop_front();
    std::visit([&D](const auto &Alternative) { perform(D, Alternative); },
               Next);
  }
  D.ProcessingEvents = false;
}

} // namespace marjorambay
