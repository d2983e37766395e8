/// The table of verbs and the functions that run them.
#ifndef MARJORAMBAYCTL_VERBS_H
#define MARJORAMBAYCTL_VERBS_H

#include "command.h"
#include "host_client.h"

#include <functional>
#include <span>

namespace marjorambay {

using Arguments = std::vector<std::string>;

/// Returns every verb, in the order of the help. A new verb is one row here.
std::span<const Verb> verbTable();

// ---- status_verbs.cpp -------------------------------------------------------
int runCheck(const CommandLine &Line, const Arguments &Args, const Output &Out);
int runStatus(const CommandLine &Line, const Arguments &Args,
              const Output &Out);
int runInspect(const CommandLine &Line, const Arguments &Args,
               const Output &Out);

// ---- explain_verb.cpp -------------------------------------------------------
int runExplain(const CommandLine &Line, const Arguments &Args,
               const Output &Out);

// ---- config_verbs.cpp -------------------------------------------------------
int runConfigGet(const CommandLine &Line, const Arguments &Args,
                 const Output &Out);
int runConfigSet(const CommandLine &Line, const Arguments &Args,
                 const Output &Out);
int runConfigDiff(const CommandLine &Line, const Arguments &Args,
                  const Output &Out);
int runConfigWait(const CommandLine &Line, const Arguments &Args,
                  const Output &Out);
int runConfigEffective(const CommandLine &Line, const Arguments &Args,
                       const Output &Out);

// ---- edit_verbs.cpp ---------------------------------------------------------
int runExceptionAdd(const CommandLine &Line, const Arguments &Args,
                    const Output &Out);
int runExceptionRemove(const CommandLine &Line, const Arguments &Args,
                       const Output &Out);
int runExceptionList(const CommandLine &Line, const Arguments &Args,
                     const Output &Out);
int runAccountAdd(const CommandLine &Line, const Arguments &Args,
                  const Output &Out);
int runAccountRemove(const CommandLine &Line, const Arguments &Args,
                     const Output &Out);
int runAccountList(const CommandLine &Line, const Arguments &Args,
                   const Output &Out);
int runTierAdd(const CommandLine &Line, const Arguments &Args,
               const Output &Out);
int runTierRemove(const CommandLine &Line, const Arguments &Args,
                  const Output &Out);
int runTierList(const CommandLine &Line, const Arguments &Args,
                const Output &Out);
int runTargetList(const CommandLine &Line, const Arguments &Args,
                  const Output &Out);
int runTargetDrain(const CommandLine &Line, const Arguments &Args,
                   const Output &Out);
int runTargetUndrain(const CommandLine &Line, const Arguments &Args,
                     const Output &Out);

// ---- zone_verbs.cpp ---------------------------------------------------------
int runZoneList(const CommandLine &Line, const Arguments &Args,
                const Output &Out);
int runZoneEvacuate(const CommandLine &Line, const Arguments &Args,
                    const Output &Out);
int runZoneRestore(const CommandLine &Line, const Arguments &Args,
                   const Output &Out);

// ---- rollout_verbs.cpp ------------------------------------------------------
int runRolloutStart(const CommandLine &Line, const Arguments &Args,
                    const Output &Out);
int runRolloutStatus(const CommandLine &Line, const Arguments &Args,
                     const Output &Out);
int runRolloutWait(const CommandLine &Line, const Arguments &Args,
                   const Output &Out);
int runRolloutPause(const CommandLine &Line, const Arguments &Args,
                    const Output &Out);
int runRolloutResume(const CommandLine &Line, const Arguments &Args,
                     const Output &Out);
int runRolloutAbort(const CommandLine &Line, const Arguments &Args,
                    const Output &Out);

// ---- Shared by the verbs ----------------------------------------------------

/// Changes a configuration, or returns an error.
using Edit = std::function<Result<Done>(FleetConfig &)>;

/// Reads the configuration in force, changes it and proposes the result. If
/// another operator has changed it meanwhile, the proposal is rejected with an
/// error that lists the differences.
int editConfig(const CommandLine &Line, const Output &Out, const Edit &Change);

WallTime wallClockNow();

/// Proposes \p Config and prints the result; with --wait, waits until it is in
/// force on every host. Returns the exit code.
int proposeAndReport(const CommandLine &Line, const FleetConfig &Config,
                     const Output &Out);

/// Waits until the queried host and every reachable host that it reports have
/// \p Rev or a later revision. Returns the exit code.
int waitForRevision(const CommandLine &Line, Revision Rev, const Output &Out);

/// Reads a complete file.
Result<std::string> readFile(const std::string &Path);

} // namespace marjorambay

#endif // MARJORAMBAYCTL_VERBS_H
