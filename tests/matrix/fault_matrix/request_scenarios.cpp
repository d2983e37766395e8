/// Scripts of the request scenarios, and the models that run them.
#include "request_scenarios.h"

#include "naive.h"
#include "parts.h"
#include "world.h"

#include "marjorambay/coordination/arbiter.h"

#include <utility>

namespace marjorambay::matrix {

namespace {

// ---- Models -----------------------------------------------------------------

PartMaker ourParts() {
  PartMaker Make;
  Make.Origin = [](const OriginSettings &Settings, SplitMix64 Random) {
    return std::make_unique<OriginAdapter<Origin>>(Settings, Random);
  };
  Make.Log = makeLog<IntentLog>;
  Make.Arbiter = makeArbiter<Arbiter>;
  return Make;
}

PartMaker withOrigin(NaiveHabits Habits) {
  PartMaker Make = ourParts();
  Make.ChecksNotAfter = false;
  Make.Origin = [Habits](const OriginSettings &Settings, SplitMix64) {
    return std::make_unique<OriginAdapter<NaiveOrigin>>(Settings, Habits);
  };
  return Make;
}

template <typename Log> PartMaker withLog() {
  PartMaker Make = ourParts();
  Make.Log = makeLog<Log>;
  return Make;
}

PartMaker withFirstCome() {
  PartMaker Make = ourParts();
  Make.Arbiter = makeArbiter<FirstComeArbiter>;
  return Make;
}

PartMaker withoutTimeCheck() {
  PartMaker Make = ourParts();
  Make.ChecksNotAfter = false;
  return Make;
}

// ---- Scripts ----------------------------------------------------------------

constexpr Node A = 0;
constexpr Node B = 1;
constexpr Node C = 2;

Ask once(std::uint64_t Body = 1) {
  Ask What;
  What.Once = true;
  What.Body = Body;
  return What;
}

struct Script {
  const char *Name;
  std::uint32_t SlotsPerTarget;
  void (*Write)(World &);
};

std::vector<Script> scripts() {
  return {
      {"completion", 4, [](World &It) { It.ask(milliseconds(10), A, {}); }},
      {"two-hosts-one-target", 1,
       [](World &It) {
         It.ask(milliseconds(10), A, {});
         It.ask(milliseconds(10), B, {});
         It.ask(milliseconds(11), A, {});
       }},
      {"tiers", 1,
       [](World &It) {
         for (std::uint8_t Row = 0; Row < 6; ++Row) {
           Ask What;
           What.Tier = 2 - Row % 3;
           It.ask(milliseconds(10) + Row * microseconds(300), Row % 2, What);
         }
       }},
      {"caller-leaves", 4,
       [](World &It) {
         Ask What;
         What.Leaves = true;
         It.ask(milliseconds(10), A, What);
         It.ask(milliseconds(12), A, {});
       }},
      {"stop", 4,
       [](World &It) {
         It.ask(milliseconds(10), A, {});
         It.ask(milliseconds(10), B, {});
         It.drain(milliseconds(14), A);
       }},
      {"leaving-target", 4,
       [](World &It) {
         It.leaveTarget(milliseconds(10), FirstTarget);
         for (int Second = 0; Second < 6; ++Second)
           It.ask(seconds(1) * Second + milliseconds(12), A, {});
       }},
      {"confirmation", 4,
       [](World &It) { It.ask(milliseconds(10), A, once()); }},
      {"confirmation-sent-again", 4,
       [](World &It) {
         Ask What = once();
         What.Repeats = 3;
         What.RepeatAt = B;
         It.ask(milliseconds(10), A, What);
       }},
      {"two-zones-at-once", 4,
       [](World &It) {
         Ask What = once();
         What.Repeats = 2;
         What.RepeatAt = B;
         What.Contends = true;
         It.ask(milliseconds(10), A, What);
         What.Repeats = 0;
         It.ask(milliseconds(10), C, What);
       }},
      {"caller-leaves-and-asks-again", 4,
       [](World &It) {
         Ask What = once();
         What.Leaves = true;
         What.Repeats = 2;
         What.RepeatAt = C;
         It.ask(milliseconds(10), A, What);
       }},
      {"another-body", 4,
       [](World &It) {
         Ask What = once(1);
         What.Contends = true;
         It.ask(milliseconds(10), A, What);
         What.Body = 2;
         It.ask(milliseconds(10), C, What);
         It.ask(milliseconds(900), B, What);
       }},
      {"after-the-retention", 4,
       [](World &It) {
         It.ask(milliseconds(10), A, once());
         It.ask(Retention + milliseconds(1500), C, once());
       }},
  };
}

Model modelOf(std::string Name, const PartMaker &Make) {
  Model Result{std::move(Name), {}};
  for (const Script &Each : scripts())
    Result.Scenarios.push_back(
        {Each.Name, [Make, Each](const std::vector<Injection> &Faults) {
           World It(Make, Faults, Each.SlotsPerTarget);
           Each.Write(It);
           return It.run();
         }});
  return Result;
}

} // namespace

Model requestModel() { return modelOf("ours", ourParts()); }

std::vector<Model> naiveRequestModels() {
  NaiveHabits RetryAny;
  RetryAny.RetriesAnyError = true;
  NaiveHabits ShortAnswers;
  ShortAnswers.ShortIsWhole = true;
  NaiveHabits AlwaysNotRun;
  AlwaysNotRun.SaysNotRun = true;
  NaiveHabits NoTimeOut;
  NoTimeOut.WaitsForever = true;
  NaiveHabits StopAtOnce;
  StopAtOnce.CutsOnStop = true;
  return {modelOf("retry after any error", withOrigin(RetryAny)),
          modelOf("short answer is whole", withOrigin(ShortAnswers)),
          modelOf("any failure is not-run", withOrigin(AlwaysNotRun)),
          modelOf("no time-out", withOrigin(NoTimeOut)),
          modelOf("stop cuts", withOrigin(StopAtOnce)),
          modelOf("keys in memory", withLog<MemoryLog>()),
          modelOf("unconditional write", withLog<BlindLog>()),
          modelOf("first come, first served", withFirstCome()),
          modelOf("no time check at the first byte", withoutTimeCheck())};
}

} // namespace marjorambay::matrix
