/// Moving means of answer lengths, least recently used ones evicted.
#include "marjorambay/coordination/cost_model.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <iterator>

namespace marjorambay {

namespace {

constexpr std::uint32_t SamplesBeforeTrust = 3;
constexpr double SmallestGain = 0.05; // of a new sample in the moving mean
constexpr double DoubtGain = 0.02;    // of a refusal
constexpr std::uint8_t AnyPrompt = 255;

std::uint32_t tokensOf(double Length, std::uint32_t Limit) {
  const double Bounded = std::clamp(Length, 1.0, 1e9);
  const auto Tokens = static_cast<std::uint32_t>(std::lround(Bounded));
  return Limit == 0 ? Tokens : std::max(1U, std::min(Tokens, Limit));
}

} // namespace

std::array<CostModel::Key, 3> CostModel::keysOf(const Reservation &Request) {
  const int Bits = std::bit_width(Request.Cost.Prompt);
  Key Exact{Request.Account, Request.Model, Request.Route, Request.Tier,
            static_cast<std::uint8_t>(Bits / 2)};
  Key OfAccount = Exact;
  OfAccount.PromptClass = AnyPrompt;
  Key OfAll = OfAccount;
  OfAll.Account = AccountId{};
  return {Exact, OfAccount, OfAll};
}

std::size_t CostModel::KeyHash::operator()(const Key &Which) const {
  // The ids are hashes already; the odd factors keep them apart.
  return number(Which.Account) * 0x9E3779B97F4A7C15 ^
         number(Which.Model) * 0xBF58476D1CE4E5B9 ^
         number(Which.Route) * 0x94D049BB133111EB ^
         (std::size_t{number(Which.Tier)} << 8) ^ Which.PromptClass;
}

void CostModel::touch(Entry &Found) {
  ByUse.splice(ByUse.end(), ByUse, Found.Use);
}

CostModel::Entry &CostModel::entryAt(const Key &Which) {
  const auto Found = Entries.find(Which);
  if (Found != Entries.end())
    return Found->second;
  if (Entries.size() >= Capacity) {
    Entries.erase(ByUse.front());
    ByUse.pop_front();
  }
  ByUse.push_back(Which);
  Entry Fresh;
  Fresh.Use = std::prev(ByUse.end());
  return Entries.emplace(Which, Fresh).first->second;
}

LengthEstimate CostModel::estimate(const Reservation &Request) {
  const std::uint32_t Limit = Request.Cost.MaxOutput;
  for (const Key &Which : keysOf(Request)) {
    const auto Found = Entries.find(Which);
    if (Found == Entries.end() || Found->second.Samples < SamplesBeforeTrust)
      continue;
    Entry &Learned = Found->second;
    touch(Learned);
    return {tokensOf(Learned.Mean, Limit),
            tokensOf(Learned.Mean - 2 * Learned.Deviation, Limit),
            tokensOf(Learned.Mean + Learned.Deviation, Limit)};
  }
  return {tokensOf(Request.Cost.Output, Limit), 1, 1};
}

void CostModel::doubt(const Reservation &Request) {
  for (const Key &Which : keysOf(Request)) {
    const auto Found = Entries.find(Which);
    if (Found != Entries.end())
      Found->second.Mean *= 1 - DoubtGain;
  }
}

void CostModel::learn(const Reservation &Request, const Usage &Used) {
  if (Used.Outcome != DispatchOutcome::Complete || Used.OutputTokens == 0)
    return;
  for (const Key &Which : keysOf(Request)) {
    Entry &Learned = entryAt(Which);
    touch(Learned);
    ++Learned.Samples;
    const double Gain = std::max(SmallestGain, 1.0 / Learned.Samples);
    const double Off = Used.OutputTokens - Learned.Mean;
    Learned.Mean += Gain * Off;
    Learned.Deviation += Gain * (std::abs(Off) - Learned.Deviation);
  }
}

} // namespace marjorambay
