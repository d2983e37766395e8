/// Hosts with membership and configuration over a fake network and a fake
/// platform, in virtual time. The same seed gives the same run.
#ifndef MARJORAMBAY_TESTS_SUPPORT_FAKE_FLEET_H
#define MARJORAMBAY_TESTS_SUPPORT_FAKE_FLEET_H

#include "marjorambay/coordination/config_sync.h"
#include "marjorambay/coordination/membership.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marjorambay {

/// A manifest codec without JSON: fields in lines, the document at the end.
ConfigManifestCodec fakeManifestCodec();

/// The platform's objects; can be down, be stale, or lose an answer.
class FakePlatform {
public:
  struct Object {
    ObjectVersion Version = 0;
    std::string Bytes{};
  };

  bool Up = true;
  int LoseAnswers = 0;  ///< writes that take effect and whose answer is lost
  int LoseRequests = 0; ///< writes that are lost on their way
  bool Stale = false;   ///< reads show the objects as of freeze()
  bool Lags = false;    ///< reads show each object before its last write
  std::function<void()> OnLostAnswer{};
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;

  ObjectRead read(const ReadObject &Wanted);
  ObjectWritten write(const WriteObject &Wanted);
  void freeze() { Frozen = Objects; }
  const Object *find(const std::string &Name) const;
  ObjectVersion versionOf(const std::string &Name) const; ///< as reads show it

private:
  std::map<std::string, Object> Objects{};
  std::map<std::string, Object> Frozen{};
  std::map<std::string, Object> Before{}; ///< as they were one write ago

  const std::map<std::string, Object> &shown() const;
};

/// The configuration part of a host: the system's own, or a naive one.
class ConfigSide {
public:
  virtual ~ConfigSide() = default;
  virtual ConfigSyncActions step(const ConfigSyncEvent &Event,
                                 TimePoint Now) = 0;
  virtual Revision revision() const = 0;
  virtual const std::string &document() const = 0;
  virtual bool ready() const = 0;
  virtual bool watching() const = 0;
};

template <typename Part> class ConfigSideOf final : public ConfigSide {
public:
  explicit ConfigSideOf(const ConfigSyncSettings &Settings) : Inner(Settings) {}
  ConfigSyncActions step(const ConfigSyncEvent &Event, TimePoint Now) override {
    return Inner.step(Event, Now);
  }
  Revision revision() const override { return Inner.revision(); }
  const std::string &document() const override { return Inner.document(); }
  bool ready() const override { return Inner.ready(); }
  bool watching() const override { return Inner.watching(); }

private:
  Part Inner;
};

/// As IfVersion of a write: no condition. Only naive parts write so.
inline constexpr ObjectVersion AnyVersion = ~ObjectVersion(0);

struct FakeHost {
  HostInfo Info{};
  IncarnationId Life{};
  bool Up = true;
  bool Paused = false;
  std::unique_ptr<Membership> Members{};
  std::unique_ptr<ConfigSide> Config{};
  std::vector<Revision> Adopted{};                     ///< in order
  std::map<std::uint64_t, Result<Revision>> Answers{}; ///< to proposals
  std::set<TargetId> Leaving{};
  std::set<VersionId> Tripped{};
  std::vector<HostId> Lost{};  ///< hosts that were reported lost
  std::uint32_t Pauses = 0;    ///< that the host noticed
  std::uint64_t BytesSent = 0; ///< of messages to peers, see FakeFleet::sizer
  std::uint64_t MessagesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t MessagesReceived = 0;
};

struct FakeFleetOptions {
  std::size_t Zones = 4;
  std::size_t HostsPerZone = 2;
  std::size_t ZonesPerRegion = 4;
  double Loss = 0; ///< share of messages between hosts that are lost
  std::uint64_t Seed = 1;
  std::size_t SeedHosts = 2; ///< hosts of each zone that all others know
  bool JoinKnown = false;    ///< every host starts with all hosts as seeds
  /// Naive: a sign is sent once, to all, and forgotten after this; 0: ours.
  Duration ForgetSigns{};
  std::function<std::unique_ptr<ConfigSide>(const ConfigSyncSettings &)>
      MakeConfig = [](const ConfigSyncSettings &Settings) {
        return std::make_unique<ConfigSideOf<ConfigSync>>(Settings);
      };
};

class FakeFleet {
public:
  explicit FakeFleet(FakeFleetOptions Wanted);

  TimePoint now() const { return Now; }
  std::vector<FakeHost> &hosts() { return Hosts; }
  FakeHost &host(std::size_t Index) { return Hosts[Index]; }
  const FakeHost &host(std::size_t Index) const { return Hosts[Index]; }
  std::size_t indexOf(HostId Id) const { return Indexes.at(Id); }
  FakePlatform &platform() { return Platform; }
  std::set<std::pair<ZoneId, ZoneId>> CutZones{}; ///< both ways, when either
  std::set<ZoneId> NoPlatform{};                  ///< cut off from it
  Duration ExtraDelay{};  ///< of every message between hosts
  Duration ExtraJitter{}; ///< drawn for each message, so that they cross
  bool Duplicates = false;
  void lose(double Share) { Options.Loss = Share; }
  std::function<std::uint64_t(const Heartbeat &)> HeartbeatSize{};
  std::function<std::uint64_t(const ConfigReceived &)> ConfigSize{};
  /// Called after every step of a host.
  std::function<void(FakeHost &)> AfterStep{};

  void run(Duration Length);
  /// Runs until \p Condition holds, at most \p Limit; returns the time taken,
  /// or a negative duration when it did not come to hold.
  Duration runUntil(const std::function<bool()> &Condition, Duration Limit);

  void feed(std::size_t Index, const MembershipEvent &Event);
  void feed(std::size_t Index, const ConfigSyncEvent &Event);
  void kill(std::size_t Index) { Hosts[Index].Up = false; }
  /// Starts a host anew, with nothing kept.
  void restart(std::size_t Index);
  void pause(std::size_t Index) { Hosts[Index].Paused = true; }
  void resume(std::size_t Index);
  void cut(ZoneId Zone); ///< from every other zone
  void heal() { CutZones.clear(); }

  template <typename Predicate> bool all(Predicate Holds) const {
    for (const FakeHost &Host : Hosts)
      if (Host.Up && !Host.Paused && !Holds(Host))
        return false;
    return true;
  }
  bool allHave(Revision Rev) const {
    return all(
        [&](const FakeHost &Host) { return Host.Config->revision() >= Rev; });
  }

private:
  struct Item {
    TimePoint At{};
    std::uint64_t Order = 0;
    std::size_t Host = 0;
    std::function<void()> Act{};
    bool operator>(const Item &Other) const {
      return std::pair(At, Order) > std::pair(Other.At, Other.Order);
    }
  };

  FakeFleetOptions Options;
  SplitMix64 Random;
  TimePoint Now{};
  std::uint64_t Order = 0;
  std::vector<FakeHost> Hosts{};
  std::map<HostId, std::size_t> Indexes{};
  FakePlatform Platform{};
  std::priority_queue<Item, std::vector<Item>, std::greater<>> Queue{};
  struct Watch {
    std::size_t Host = 0;
    WatchObject Wanted{};
    TimePoint Until{};
  };
  std::vector<Watch> Watches{};

  void schedule(std::size_t Host, Duration After, std::function<void()> Act);
  void start(std::size_t Index);
  void tick(std::size_t Index, IncarnationId Life);
  void assignWatcher(std::size_t Index);
  void perform(std::size_t Index, const MembershipActions &Actions);
  void perform(std::size_t Index, const ConfigSyncActions &Actions);
  bool reaches(std::size_t From, std::size_t To) const;
  bool reachesPlatform(std::size_t Index) const;
  void deliver(std::size_t From, std::size_t To,
               const std::function<void()> &Act);
  void learnOnce(std::size_t Index, const MembershipAction &Action);
  void answerWatches();
  bool drawLoss() {
    return static_cast<double>(Random.next() >> 11) * 0x1p-53 < Options.Loss;
  }
};

} // namespace marjorambay

#endif // MARJORAMBAY_TESTS_SUPPORT_FAKE_FLEET_H
