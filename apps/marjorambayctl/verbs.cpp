/// The table of verbs.
#include "verbs.h"

#include <array>

namespace marjorambay {

namespace {

constexpr std::size_t MaxNames = 100;

constexpr auto Verbs = std::to_array<Verb>({
    {"check", "FILE", "checks a settings file (INI) or a configuration (JSON)",
     1, 1, runCheck},
    {"status", "", "shows a host, the hosts it knows and their revisions", 0, 0,
     runStatus},
    {"inspect", "", "shows the live state of every part of a host", 0, 0,
     runInspect},
    {"explain", "REQUEST [FILE]",
     "shows a request's history from log lines in FILE, or from a pipe", 1, 2,
     runExplain},
    {"config get", "", "prints the configuration in force", 0, 0, runConfigGet},
    {"config set", "FILE",
     "proposes a complete configuration, based on the revision "
     "in FILE or --base",
     1, 1, runConfigSet},
    {"config diff", "FILE", "shows what FILE would change", 1, 1,
     runConfigDiff},
    {"config wait", "[REVISION]",
     "waits until a revision is in force on every host", 0, 1, runConfigWait},
    {"config effective", "host|zone|target|account|route|pool NAME",
     "shows each effective value, its source and its reason", 2, 2,
     runConfigEffective},
    {"exception add", "SCOPE NAME KEY VALUE --reason TEXT",
     "overrides a default in one scope", 4, 4, runExceptionAdd},
    {"exception remove", "SCOPE NAME KEY",
     "removes an exception, which restores the default", 3, 3,
     runExceptionRemove},
    {"exception list", "", "lists the exceptions with their reasons", 0, 0,
     runExceptionList},
    {"account add", "NAME --tier TIER --key-hash HASH | --key-file FILE",
     "adds or changes a client account", 1, 1, runAccountAdd},
    {"account remove", "NAME", "removes a client account", 1, 1,
     runAccountRemove},
    {"account list", "", "lists the client accounts", 0, 0, runAccountList},
    {"tier add", "NAME RANK", "adds a tier; rank 0 is shed last", 2, 2,
     runTierAdd},
    {"tier remove", "NAME", "removes a tier", 1, 1, runTierRemove},
    {"tier list", "", "lists the tiers by rank", 0, 0, runTierList},
    {"target list", "", "lists the targets", 0, 0, runTargetList},
    {"target drain", "NAME...", "stops new requests to targets", 1, MaxNames,
     runTargetDrain},
    {"target undrain", "NAME...", "resumes requests to drained targets", 1,
     MaxNames, runTargetUndrain},
    {"zone list", "[ZONE]",
     "lists zones, or the pools of one with the slots left elsewhere", 0, 1,
     runZoneList},
    {"zone evacuate", "ZONE --reason TEXT",
     "stops new requests to all targets of a zone", 1, 1, runZoneEvacuate},
    {"zone restore", "ZONE", "ends the evacuation of a zone", 1, 1,
     runZoneRestore},
    {"rollout start", "POOL VERSION [--name N] [--within S]",
     "moves a pool to a version by a deadline, or rolls it back", 2, 2,
     runRolloutStart},
    {"rollout status", "POOL", "shows the pool's rollout and its history", 1, 1,
     runRolloutStatus},
    {"rollout wait", "POOL",
     "waits until it is completed (exit 0) or rolled back (exit 7)", 1, 1,
     runRolloutWait},
    {"rollout pause", "POOL",
     "stops changes of the share; the deadline still applies", 1, 1,
     runRolloutPause},
    {"rollout resume", "POOL", "resumes changes of the share", 1, 1,
     runRolloutResume},
    {"rollout abort", "POOL", "rolls back to the old version", 1, 1,
     runRolloutAbort},
});

} // namespace

std::span<const Verb> verbTable() { return Verbs; }

} // namespace marjorambay
