/// Rollout verbs: start, status, wait, pause, resume, abort.
#include "verbs.h"

#include "marjorambay/protocol/rollout_json.h"

#include <chrono>
#include <sstream>
#include <thread>

namespace marjorambay {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds(500);

std::string rolloutPath(const std::string &Pool) { return "/rollouts/" + Pool; }

Result<RolloutState> readState(const CommandLine &Line,
                               const std::string &Pool) {
  const Result<std::string> Text = HostClient(Line).get(rolloutPath(Pool));
  if (!ok(Text))
    return error(Text);
  return parseRolloutState(value(Text));
}

int sendCommand(const CommandLine &Line, const std::string &Pool,
                const RolloutRequest &Request, const Output &Out) {
  if (Line.Author.empty())
    return Out.fail({ErrorKind::BadRequest, "--author NAME is required"});
  const Result<std::string> Response =
      HostClient(Line).post(rolloutPath(Pool), printRolloutRequest(Request));
  if (!ok(Response))
    return Out.fail(error(Response));
  Out.print(Request.Command + " accepted", value(Response));
  return 0;
}

int runCommand(const char *Name, const CommandLine &Line, const Arguments &Args,
               const Output &Out) {
  RolloutRequest Request;
  Request.Command = Name;
  Request.Author = Line.Author;
  return sendCommand(Line, Args[0], Request, Out);
}

std::string describe(const RolloutState &State) {
  std::ostringstream Text;
  Text << State.Name << " of pool " << State.Pool << ": " << State.FromVersion
       << " -> " << State.ToVersion << ", " << nameOf(State.Phase) << ", share "
       << State.Share << (State.Paused ? ", paused" : "");
  for (const RolloutStep &Step : State.History)
    Text << "\n  " << nameOf(Step.Phase) << " " << Step.Share << "  "
         << Step.Note;
  return Text.str();
}

int reportEnd(const RolloutState &State, const Output &Out) {
  if (State.Phase == RolloutPhase::Completed) {
    Out.print(describe(State), printRolloutState(State));
    return 0;
  }
  const std::string Reason =
      State.History.empty() ? "" : State.History.back().Note;
  return Out.fail({ErrorKind::RolloutRolledBack,
                   "rollout " + State.Name + " was rolled back: " + Reason});
}

} // namespace

int runRolloutStart(const CommandLine &Line, const Arguments &Args,
                    const Output &Out) {
  RolloutRequest Request;
  Request.Command = "start";
  Request.ToVersion = Args[1];
  Request.Name = Line.Name.empty() ? Args[0] + "-" + Args[1] : Line.Name;
  Request.Within = seconds(Line.WithinSeconds);
  Request.Author = Line.Author;
  return sendCommand(Line, Args[0], Request, Out);
}

int runRolloutStatus(const CommandLine &Line, const Arguments &Args,
                     const Output &Out) {
  const Result<RolloutState> State = readState(Line, Args[0]);
  if (!ok(State))
    return Out.fail(error(State));
  Out.print(describe(value(State)), printRolloutState(value(State)));
  return 0;
}

int runRolloutWait(const CommandLine &Line, const Arguments &Args,
                   const Output &Out) {
  const auto Begin = std::chrono::steady_clock::now();
  std::string LastShown;
  while (std::chrono::steady_clock::now() - Begin < Line.Timeout) {
    const Result<RolloutState> State = readState(Line, Args[0]);
    if (!ok(State))
      return Out.fail(error(State));
    if (isFinal(value(State).Phase))
      return reportEnd(value(State), Out);
    const std::string Now = std::string(nameOf(value(State).Phase)) +
                            ", share " + std::to_string(value(State).Share);
    if (Now != LastShown)
      Out.progress(Now);
    LastShown = Now;
    std::this_thread::sleep_for(PollInterval);
  }
  return Out.fail({ErrorKind::Timeout, "the rollout is still running"});
}

int runRolloutPause(const CommandLine &Line, const Arguments &Args,
                    const Output &Out) {
  return runCommand("pause", Line, Args, Out);
}

int runRolloutResume(const CommandLine &Line, const Arguments &Args,
                     const Output &Out) {
  return runCommand("resume", Line, Args, Out);
}

int runRolloutAbort(const CommandLine &Line, const Arguments &Args,
                    const Output &Out) {
  return runCommand("abort", Line, Args, Out);
}

} // namespace marjorambay
