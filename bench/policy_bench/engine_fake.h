/// A model engine in virtual time: continuous batching with chunked prefill
/// and a small prefix cache. Admits whatever arrives, first in first out.
#ifndef MARJORAMBAY_BENCH_ENGINE_FAKE_H
#define MARJORAMBAY_BENCH_ENGINE_FAKE_H

#include "event_queue.h"

#include "marjorambay/state/ids.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <unordered_map>
#include <vector>

namespace marjorambay::bench {

struct EngineSpec {
  TargetId Id{};
  double TokensPerSecond = 1000; ///< decode, with a full batch
  std::uint32_t Width = 32;      ///< streams in the batch
  double FixedShare = 0.4;       ///< of a full step, whatever the batch holds
  double PrefillFactor = 10;     ///< prefill speed over decode speed
  std::size_t CachedPrefixes = 16;
  bool Batches = true; ///< false: a plain service, whose calls run apart
};

/// One request as an engine sees it.
struct EngineJob {
  std::uint64_t Id = 0;
  std::uint32_t Prompt = 0;
  std::uint32_t Output = 1;
  std::uint64_t Prefix = 0;
  std::uint32_t Cached = 0;    ///< of the prompt, found in the cache
  std::uint32_t Prefilled = 0; ///< of the prompt, computed
  std::uint32_t Produced = 0;  ///< of the output
};

class EngineFake {
public:
  using Report = std::function<void(const EngineJob &)>;

  EngineFake(EventQueue &Events, EngineSpec Given, std::uint64_t Seed)
      : Clock(Events), Spec(Given), Noise(Seed) {}

  /// \p First is called after the step of the first token, \p Last after that
  /// of the last one.
  void onFirstToken(Report First) { FirstToken = std::move(First); }
  void onLastToken(Report Last) { LastToken = std::move(Last); }

  const EngineSpec &spec() const { return Spec; }
  std::size_t requests() const { return Waiting.size() + Running.size(); }
  void setSlowdown(double Factor) { Slowdown = Factor; }

  void submit(EngineJob Job) {
    Waiting.push_back(Job);
    startStep();
  }

  /// Forgets a job; returns what was done of it.
  EngineJob cancel(std::uint64_t Id) {
    for (auto *List : {&Waiting, &Running})
      for (auto At = List->begin(); At != List->end(); ++At)
        if (At->Id == Id) {
          const EngineJob Gone = *At;
          List->erase(At);
          return Gone;
        }
    EngineJob None;
    None.Output = 0;
    return None;
  }

  const EngineJob *find(std::uint64_t Id) const {
    for (const EngineJob &Job : Running)
      if (Job.Id == Id)
        return &Job;
    return nullptr;
  }

private:
  static constexpr std::uint32_t ChunkTokens = 512; // prefilled in one step

  /// Runs each call of a plain service on its own.
  void startCalls() {
    while (Running.size() < Spec.Width && !Waiting.empty()) {
      const EngineJob Job = Waiting.front();
      Waiting.pop_front();
      Running.push_back(Job);
      const double Jitter = std::uniform_real_distribution(0.5, 1.5)(Noise);
      const double Call = Spec.Width / Spec.TokensPerSecond * Slowdown * Jitter;
      Clock.after(fromSeconds(Call), [this, Id = Job.Id] { endCall(Id); });
    }
  }

  void endCall(std::uint64_t Id) {
    EngineJob Done = cancel(Id);
    if (Done.Output == 0)
      return;
    Done.Produced = 1;
    FirstToken(Done);
    LastToken(Done);
    startCalls();
  }

  void admit() {
    while (Running.size() < Spec.Width && !Waiting.empty()) {
      EngineJob Job = Waiting.front();
      Waiting.pop_front();
      if (Job.Prefix != 0 && cached(Job.Prefix))
        Job.Cached = Job.Prompt / 2;
      Running.push_back(Job);
    }
  }

  bool cached(std::uint64_t Prefix) {
    for (const std::uint64_t Known : Cache)
      if (Known == Prefix)
        return true;
    Cache.push_back(Prefix);
    if (Cache.size() > Spec.CachedPrefixes)
      Cache.pop_front();
    return false;
  }

  static std::uint32_t promptLeft(const EngineJob &Job) {
    return Job.Prompt - Job.Cached - Job.Prefilled;
  }

  /// Plans one step over the present batch, and ends it when its time is over.
  void startStep() {
    if (!Spec.Batches)
      return startCalls();
    if (Stepping)
      return;
    admit();
    if (Running.empty())
      return;
    Stepping = true;
    std::uint32_t Chunk = ChunkTokens;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> Share;
    std::size_t Decoding = 0;
    for (const EngineJob &Job : Running) {
      const std::uint32_t Part = std::min(Chunk, promptLeft(Job));
      Chunk -= Part;
      const bool Decodes = promptLeft(Job) == Part;
      Decoding += Decodes ? 1 : 0;
      if (Decodes || Part != 0)
        Share.emplace_back(Job.Id, Part);
    }
    const double FullStep = Spec.Width / Spec.TokensPerSecond;
    const double Batch = Spec.FixedShare + (1 - Spec.FixedShare) *
                                               static_cast<double>(Decoding) /
                                               Spec.Width;
    const double Prefill =
        (ChunkTokens - Chunk) / (Spec.TokensPerSecond * Spec.PrefillFactor);
    const double Jitter = std::uniform_real_distribution(0.9, 1.1)(Noise);
    const double Step = (FullStep * Batch + Prefill) * Slowdown * Jitter;
    Clock.after(fromSeconds(Step), [this, Share] { endStep(Share); });
  }

  void
  endStep(const std::vector<std::pair<std::uint64_t, std::uint32_t>> &Share) {
    std::unordered_map<std::uint64_t, std::uint32_t> Parts(Share.begin(),
                                                           Share.end());
    std::vector<EngineJob> First;
    std::vector<EngineJob> Last;
    std::deque<EngineJob> Kept;
    for (EngineJob &Job : Running) {
      const auto Part = Parts.find(Job.Id);
      if (Part != Parts.end()) {
        Job.Prefilled += Part->second;
        Job.Produced += promptLeft(Job) == 0 ? 1 : 0;
        if (Job.Produced == 1)
          First.push_back(Job);
      }
      if (Job.Produced >= Job.Output)
        Last.push_back(Job);
      else
        Kept.push_back(Job);
    }
    Running = std::move(Kept);
    Stepping = false;
    for (const EngineJob &Job : First)
      FirstToken(Job);
    for (const EngineJob &Job : Last)
      LastToken(Job);
    startStep();
  }

  EventQueue &Clock;
  EngineSpec Spec;
  std::mt19937_64 Noise;
  double Slowdown = 1;
  bool Stepping = false;
  std::deque<EngineJob> Waiting{};
  std::deque<EngineJob> Running{};
  std::deque<std::uint64_t> Cache{};
  Report FirstToken{};
  Report LastToken{};
};

} // namespace marjorambay::bench

#endif // MARJORAMBAY_BENCH_ENGINE_FAKE_H
