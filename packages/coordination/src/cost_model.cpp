/// Moving means of answer lengths with LRU eviction.
#include "marjorambay/coordination/cost_model.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <iterator>

namespace marjorambay {

namespace {

constexpr std::uint32_t MinSamples = 3;
// Minimum weight of a new sample in the moving mean.
constexpr double MinGain = 0.05;
// Relative reduction of the mean for a refusal.
constexpr double RefusalGain = 0.02;
constexpr std::uint8_t AnyPromptClass = 255;

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
  OfAccount.PromptClass = AnyPromptClass;
  Key OfAll = OfAccount;
  OfAll.Account = AccountId{};
  return {Exact, OfAccount, OfAll};
}

std::size_t CostModel::KeyHash::operator()(const Key &K) const {
  // The ids are hashes already; distinct odd factors keep equal ids of
  // different fields apart.
  return number(K.Account) * 0x9E3779B97F4A7C15 ^
         number(K.Model) * 0xBF58476D1CE4E5B9 ^
         number(K.Route) * 0x94D049BB133111EB ^
         (std::size_t{number(K.Tier)} << 8) ^ K.PromptClass;
}

void CostModel::touch(Entry &Found) {
  ByLastUse.splice(ByLastUse.end(), ByLastUse, Found.Position);
}

CostModel::Entry &CostModel::entryAt(const Key &K) {
  const auto Found = Entries.find(K);
  if (Found != Entries.end())
    return Found->second;
  if (Entries.size() >= Capacity) {
    Entries.erase(ByLastUse.front());
    ByLastUse.pop_front();
  }
  ByLastUse.push_back(K);
  Entry NewEntry;
  NewEntry.Position = std::prev(ByLastUse.end());
  return Entries.emplace(K, NewEntry).first->second;
}

LengthEstimate CostModel::estimate(const Reservation &Request) {
  const std::uint32_t Limit = Request.Cost.MaxOutput;
  for (const Key &K : keysOf(Request)) {
    const auto Found = Entries.find(K);
    if (Found == Entries.end() || Found->second.Samples < MinSamples)
      continue;
    Entry &Item = Found->second;
    touch(Item);
    return {tokensOf(Item.Mean, Limit),
            tokensOf(Item.Mean - 2 * Item.Deviation, Limit),
            tokensOf(Item.Mean + Item.Deviation, Limit)};
  }
  return {tokensOf(Request.Cost.Output, Limit), 1, 1};
}

void CostModel::recordLengthRefusal(const Reservation &Request) {
  for (const Key &K : keysOf(Request)) {
    const auto Found = Entries.find(K);
    if (Found != Entries.end())
      Found->second.Mean *= 1 - RefusalGain;
  }
}

void CostModel::recordAnswer(const Reservation &Request, const Usage &Used) {
  if (Used.Outcome != DispatchOutcome::Complete || Used.OutputTokens == 0)
    return;
  for (const Key &K : keysOf(Request)) {
    Entry &Item = entryAt(K);
    touch(Item);
    ++Item.Samples;
    const double Gain = std::max(MinGain, 1.0 / Item.Samples);
    const double Delta = Used.OutputTokens - Item.Mean;
    Item.Mean += Gain * Delta;
    Item.Deviation += Gain * (std::abs(Delta) - Item.Deviation);
  }
}

} // namespace marjorambay
