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

OriginSettings originSettings(const HostInfo &Self, IncarnationId Life) {
  OriginSettings Made;
  Made.Self = Self.Id;
  Made.Incarnation = Life;
  return Made;
}

IntentLogSettings intentSettings(const HostSettings &Settings,
                                 const HostInfo &Self, IncarnationId Life) {
  IntentLogSettings Made;
  Made.Self = Self.Id;
  Made.Incarnation = Life;
  Made.WritesPerSecond = static_cast<double>(Settings.PlatformWritesPerSecond);
  Made.CallTimeout = Settings.PlatformTimeout + milliseconds(500);
  return Made;
}

ConfigSyncSettings configSettings(const HostInfo &Self, IncarnationId Life) {
  ConfigSyncSettings Made;
  Made.Self = Self.Id;
  Made.Incarnation = Life;
  Made.Codec = {parseConfigManifest, printConfigManifest};
  return Made;
}

/// Parses a seed, "name zone region ip:port", which the settings have
/// validated.
HostInfo seedOf(const std::string &Text) {
  std::array<std::string, 4> Parts;
  std::size_t Part = 0;
  for (const char Each : Text) {
    if (Each == ' ')
      Part += Part + 1 < Parts.size() && !Parts[Part].empty() ? 1 : 0;
    else
      Parts[Part] += Each;
  }
  return {idOf<HostId>(Parts[0]), Parts[3], idOf<ZoneId>(Parts[1]),
          idOf<RegionId>(Parts[2])};
}

MembershipSettings memberSettings(const HostSettings &Settings,
                                  const HostInfo &Self, IncarnationId Life) {
  MembershipSettings Made;
  Made.Self = Self;
  Made.Incarnation = Life;
  Made.HeartbeatInterval = Settings.HeartbeatInterval;
  for (const std::string &Seed : Settings.Seeds)
    Made.Seeds.push_back(seedOf(Seed));
  return Made;
}

} // namespace

void BufferDeleter::operator()(evbuffer *Buffer) const {
  evbuffer_free(Buffer);
}

Daemon::Daemon(HostSettings Given)
    : Settings(std::move(Given)), Self(selfOf(Settings)),
      Incarnation(lifeAt(Loop.wallClockNow())),
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
    std::visit([&D](const auto &Known) { performOrigin(D, Known); }, Action);
}

void perform(Daemon &D, const ArbiterInput &Input) {
  HeldArbiter &Held = heldArbiter(D, Input.Pool);
  if (const auto *Released = std::get_if<SlotReleased>(&Input.Event))
    if (const Slot *Ended = Held.Policy.slot(Released->Key))
      observeAnswer(D, *Ended, Released->Used);
  const ArbiterActions Actions = Held.Policy.step(Input.Event, D.Loop.now());
  for (const ArbiterAction &Action : Actions)
    performArbiter(D, Input.Pool, Action);
}

void perform(Daemon &D, const MembershipEvent &Event) {
  for (const MembershipAction &Action : D.Members.step(Event, D.Loop.now()))
    std::visit([&D](const auto &Known) { performMembership(D, Known); },
               Action);
}

void perform(Daemon &D, const IntentLogInput &Input) {
  const IntentLogActions Actions = D.Intents.step(Input.Event, D.Loop.now());
  for (const IntentLogAction &Action : Actions)
    std::visit([&D](const auto &Known) { performIntentLog(D, Known); }, Action);
}

void perform(Daemon &D, const ConfigInput &Input) {
  const ConfigSyncActions Actions =
      D.ConfigState.step(Input.Event, D.Loop.now());
  for (const ConfigSyncAction &Action : Actions)
    std::visit([&D](const auto &Known) { performConfig(D, Known); }, Action);
}

} // namespace

void post(Daemon &D, CoreEvent Event) {
  D.Inbox.push_back(std::move(Event));
  if (D.Pumping)
    return;
  D.Pumping = true;
  while (!D.Inbox.empty()) {
    const CoreEvent Next = std::move(D.Inbox.front());
    D.Inbox.pop_front();
    std::visit([&D](const auto &Known) { perform(D, Known); }, Next);
  }
  D.Pumping = false;
}

} // namespace marjorambay
