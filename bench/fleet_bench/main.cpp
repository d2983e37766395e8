/// Measures what membership and configuration cost: processor time, bytes and
/// memory at several sizes. fleet_bench [--json] [--runs N]
#include "bench/support/slope.h"
#include "peer_codec.h"
#include "support/fake_fleet.h"

#include "marjorambay/protocol/config_manifest_json.h"
#include "marjorambay/protocol/fleet_config_json.h"
#include "marjorambay/state/config_index.h"
#include "marjorambay/state/config_rules.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace marjorambay::bench {
namespace {

constexpr std::size_t HostsPerZone = 14;
constexpr Duration Observed = seconds(10); ///< virtual time of one observation

std::size_t encodedSize(const PeerMessage &Message, const HostInfo &Sender) {
  EnvelopeWriter Writer;
  Writer.add(Message);
  return Writer.serialize({Sender.Id, IncarnationId(1), Sender.Address}).size();
}

/// A fleet of \p Zones zones that has found itself, with one configuration.
FakeFleet settledFleet(std::size_t Zones) {
  FakeFleet Fleet({.Zones = Zones, .HostsPerZone = HostsPerZone});
  Fleet.HeartbeatSize = [](const Heartbeat &Beat) {
    return encodedSize(Beat, Beat.Sender);
  };
  Fleet.run(seconds(10));
  return Fleet;
}

/// What one host of a fleet does in a second, as its busiest host shows it.
struct Traffic {
  double MessagesSent = 0;
  double BytesSent = 0;
  double BytesReceived = 0;
  double Micros = 0; ///< of a mean host, the fake network included
};

Traffic observe(std::size_t Zones) {
  FakeFleet Fleet = settledFleet(Zones);
  for (FakeHost &Host : Fleet.hosts())
    Host.MessagesSent = Host.BytesSent = Host.BytesReceived = 0;
  Fleet.HeartbeatSize = {};
  const double Micros = microsOf([&] { Fleet.run(Observed); });
  for (FakeHost &Host : Fleet.hosts())
    Host.MessagesSent = Host.BytesSent = Host.BytesReceived = 0;
  Fleet.HeartbeatSize = [](const Heartbeat &Beat) {
    return encodedSize(Beat, Beat.Sender);
  };
  Fleet.run(Observed);
  Traffic Busiest;
  const double Seconds = toSeconds(Observed);
  for (const FakeHost &Host : Fleet.hosts()) {
    const auto Rate = [&](std::uint64_t Total) {
      return static_cast<double>(Total) / Seconds;
    };
    Busiest.MessagesSent =
        std::max(Busiest.MessagesSent, Rate(Host.MessagesSent));
    Busiest.BytesSent = std::max(Busiest.BytesSent, Rate(Host.BytesSent));
    Busiest.BytesReceived =
        std::max(Busiest.BytesReceived, Rate(Host.BytesReceived));
  }
  Busiest.Micros = Micros / Seconds / static_cast<double>(Fleet.hosts().size());
  return Busiest;
}

/// Observes each size once per process; the fleet is the same every time.
const Traffic &observed(std::size_t Zones) {
  static std::map<std::size_t, Traffic> Seen;
  const auto Found = Seen.find(Zones);
  if (Found != Seen.end())
    return Found->second;
  return Seen[Zones] = observe(Zones);
}

Heartbeat beatOf(std::size_t Host, std::uint64_t Sequence) {
  Heartbeat Beat;
  Beat.Sender = {HostId(mixBits(Host + 1)), "10.1.2.3:7400",
                 ZoneId(Host / HostsPerZone + 1), RegionId(1)};
  Beat.Incarnation = IncarnationId(1764800000000000 + Host);
  Beat.Sequence = Sequence;
  return Beat;
}

Membership membershipOf(std::size_t Hosts) {
  MembershipSettings Settings;
  Settings.Self = beatOf(0, 0).Sender;
  Settings.Incarnation = IncarnationId(1);
  Membership Members(Settings, SplitMix64(1));
  for (std::size_t Host = 1; Host < Hosts; ++Host)
    Members.step(HeartbeatReceived{beatOf(Host, 1)}, TimePoint{});
  return Members;
}

double heartbeatMicros(std::size_t Hosts) {
  constexpr int Rounds = 20000;
  Membership Members = membershipOf(Hosts);
  EnvelopeWriter Writer;
  std::size_t Read = 0;
  const double Micros = microsOf([&] {
    for (int Round = 0; Round < Rounds; ++Round) {
      const std::size_t Host = 1 + Round % (HostsPerZone - 1);
      const Heartbeat Beat = beatOf(Host, 2 + Round);
      Writer.add(Beat);
      const std::string Bytes = Writer.serialize(
          {Beat.Sender.Id, Beat.Incarnation, Beat.Sender.Address});
      Read += Bytes.size();
      keep(Members.step(HeartbeatReceived{Beat}, TimePoint{}));
    }
  });
  keep(Read);
  return Micros / Rounds;
}

double roundMicros(std::size_t Hosts) {
  constexpr int Rounds = 200;
  double Total = 0;
  Membership Members = membershipOf(Hosts);
  TimePoint Now{};
  for (int Round = 0; Round < Rounds; ++Round) {
    Now += milliseconds(500);
    for (std::size_t Host = 1; Host < Hosts; ++Host)
      Members.step(HeartbeatReceived{beatOf(Host, 2 + Round)}, Now);
    Total += microsOf([&] { keep(Members.step(MembershipTicked{}, Now)); });
  }
  return Total / Rounds;
}

double peerBytes(std::size_t Hosts) {
  const std::size_t Before = liveBytes();
  const Membership Members = membershipOf(Hosts);
  return static_cast<double>(liveBytes() - Before) / static_cast<double>(Hosts);
}

// ---- Configuration ----------------------------------------------------------

/// A configuration with as many accounts to its targets as the target size.
FleetConfig configOf(std::size_t Targets) {
  FleetConfig Config;
  Config.Tiers = {{"interactive", TierRank(0)},
                  {"standard", TierRank(1)},
                  {"batch", TierRank(2)}};
  for (int Model = 0; Model < 11; ++Model)
    Config.Pools.push_back({"pool-" + std::to_string(Model),
                            PoolKind::Model,
                            "v1",
                            {"model-" + std::to_string(Model)}});
  for (std::size_t Index = 0; Index < Targets; ++Index) {
    TargetConfig Target;
    Target.Name = "worker-" + std::to_string(Index);
    Target.Address = "10." + std::to_string(Index / 250 % 250) + "." +
                     std::to_string(Index % 250) + ".7:8000";
    Target.Pool = "pool-" + std::to_string(Index % 11);
    Target.Zone = "zone-" + std::to_string(Index % 24);
    Target.Version = "v1";
    Config.Targets.push_back(std::move(Target));
  }
  const std::size_t Accounts = Targets * 1100 / 3500;
  for (std::size_t Index = 0; Index < Accounts; ++Index) {
    std::string Key = std::to_string(Index);
    Key.insert(0, 64 - Key.size(), '0');
    Config.Accounts.push_back(
        {"account-" + std::to_string(Index), Key, "standard"});
  }
  Config.Routes = {{"chat", "/v1/chat", RouteKind::ChatCompletions, "pool-0"}};
  return Config;
}

/// The same with one target that drains.
FleetConfig changedConfig(std::size_t Targets) {
  FleetConfig Config = configOf(Targets);
  Config.Targets[Targets / 2].Draining = true;
  return Config;
}

double documentBytes(std::size_t Targets) {
  return static_cast<double>(printFleetConfig(configOf(Targets)).size());
}

double deltaBytes(std::size_t Targets) {
  const std::string Old = printFleetConfig(configOf(Targets));
  const std::string New = printFleetConfig(changedConfig(Targets));
  ConfigReceived Content;
  Content.Rev = Revision(2);
  Content.Deltas = {{Revision(1), Revision(2), diffDocuments(Old, New)}};
  Content.Digest = hash64(New);
  return static_cast<double>(encodedSize(Content, beatOf(0, 0).Sender));
}

/// Bytes that the platform is sent for one change: a part and the manifest.
double platformBytes(std::size_t Targets) {
  const std::string Old = printFleetConfig(configOf(Targets));
  const std::string New = printFleetConfig(changedConfig(Targets));
  const auto Before = splitDocument(Old);
  ConfigManifest Manifest;
  Manifest.RecentProposals.resize(32);
  std::size_t Bytes = 0;
  for (std::string_view Part : splitDocument(New)) {
    Manifest.Parts.push_back(
        {hash64(Part), static_cast<std::uint32_t>(Part.size())});
    if (std::find(Before.begin(), Before.end(), Part) == Before.end())
      Bytes += Part.size();
  }
  return static_cast<double>(Bytes + printConfigManifest(Manifest).size());
}

double syncMicros(std::size_t Targets) {
  const std::string Old = printFleetConfig(configOf(Targets));
  const std::string New = printFleetConfig(changedConfig(Targets));
  ConfigSyncSettings Settings;
  Settings.Codec = {parseConfigManifest, printConfigManifest};
  ConfigSync Sync(Settings);
  Sync.step(ConfigReceived{Revision(1), Old}, TimePoint{});
  const ConfigReceived Content{
      Revision(2),
      {},
      {{Revision(1), Revision(2), diffDocuments(Old, New)}},
      hash64(New)};
  return microsOf([&] { keep(Sync.step(Content, TimePoint{})); });
}

double adoptMicros(std::size_t Targets) {
  const std::string Document = printFleetConfig(changedConfig(Targets));
  return microsOf([&] {
    Result<FleetConfig> Parsed = parseFleetConfig(Document);
    const ConfigIndex Index(std::move(value(Parsed)));
    keep(Index);
  });
}

double checkMicros(std::size_t Targets) {
  const FleetConfig Config = configOf(Targets);
  return microsOf([&] { keep(findConfigProblems(Config)); });
}

double indexBytes(std::size_t Targets) {
  FleetConfig Config = configOf(Targets);
  const std::size_t Before = liveBytes();
  const ConfigIndex Index(Config);
  return static_cast<double>(liveBytes() - Before);
}

std::vector<Slope> fleetSlopes() {
  const std::vector<std::size_t> Zones{1, 4, 12, 24};
  const std::vector<std::size_t> Hosts{28, 112, 336};
  const std::vector<std::size_t> Targets{350, 1100, 3500};
  return {
      {"heartbeats_sent", "zones of 14 hosts", "messages/s, busiest host",
       Zones, [](std::size_t Z) { return observed(Z).MessagesSent; }},
      {"heartbeat_bytes_sent", "zones of 14 hosts", "bytes/s, busiest host",
       Zones, [](std::size_t Z) { return observed(Z).BytesSent; }},
      {"heartbeat_bytes_received", "zones of 14 hosts", "bytes/s, busiest host",
       Zones, [](std::size_t Z) { return observed(Z).BytesReceived; }},
      {"membership_cpu", "zones of 14 hosts",
       "us of a core per second and host, fake network included", Zones,
       [](std::size_t Z) { return observed(Z).Micros; }},
      {"heartbeat_cpu", "hosts", "us per heartbeat encoded and taken in", Hosts,
       heartbeatMicros},
      {"heartbeat_round_cpu", "hosts", "us per round of 500 ms", Hosts,
       roundMicros},
      {"peer_memory", "hosts", "bytes per peer", Hosts, peerBytes},
      {"config_document", "targets", "bytes", Targets, documentBytes},
      {"config_delta", "targets", "bytes per change to a peer", Targets,
       deltaBytes},
      {"config_platform_write", "targets", "bytes per change to the platform",
       Targets, platformBytes},
      {"config_sync_cpu", "targets", "us per change taken from a peer", Targets,
       syncMicros},
      {"config_adopt_cpu", "targets", "us per change parsed and indexed",
       Targets, adoptMicros},
      {"config_check_cpu", "targets", "us per proposal checked", Targets,
       checkMicros},
      {"config_index_memory", "targets", "bytes", Targets, indexBytes},
  };
}

void printTable(const std::vector<Slope> &Slopes) {
  for (const Slope &One : Slopes) {
    std::printf("%-26s", One.Name.data());
    for (const std::size_t Size : One.Sizes)
      std::printf("  %zu: %.4g", Size, One.Measure(Size));
    std::printf("  (%s; by %s)\n", One.Unit.data(), One.PerWhat.data());
  }
}

} // namespace
} // namespace marjorambay::bench

int main(int Count, char **Words) {
  using namespace marjorambay::bench;
  bool Json = false;
  int Runs = 3;
  for (int Index = 1; Index < Count; ++Index) {
    Json = Json || std::strcmp(Words[Index], "--json") == 0;
    if (std::strcmp(Words[Index], "--runs") == 0 && Index + 1 < Count)
      Runs = std::atoi(Words[Index + 1]);
  }
  if (Json)
    printPoints(fleetSlopes(), Runs);
  else
    printTable(fleetSlopes());
  return 0;
}
