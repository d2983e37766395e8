/// Moving means of answer lengths, least recently used ones evicted.
#include "marjorambay/coordination/cost_model.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace marjorambay {

namespace {

constexpr std::uint32_t SamplesBeforeTrust = 3;
constexpr double SmallestGain = 0.05; // of a new sample in the moving mean

std::uint32_t capped(std::uint32_t Output, std::uint32_t Limit) {
  return Limit == 0 ? Output : std::min(Output, Limit);
}

} // namespace

CostModel::Key CostModel::keyOf(const Reservation &Request) {
  const int Bits = std::bit_width(Request.Cost.Prompt);
  return {Request.Account, Request.Model, static_cast<std::uint8_t>(Bits / 2)};
}

std::size_t CostModel::KeyHash::operator()(const Key &Which) const {
  // Account and model are hashes already; the odd factors keep them apart.
  return number(Which.Account) * 0x9E3779B97F4A7C15 ^
         number(Which.Model) * 0xBF58476D1CE4E5B9 ^ Which.PromptClass;
}

void CostModel::touch(Entry &Found) {
  ByUse.splice(ByUse.end(), ByUse, Found.Use);
}

TokenCost CostModel::estimate(const Reservation &Request) {
  TokenCost Cost = Request.Cost;
  const auto Found = Entries.find(keyOf(Request));
  if (Found != Entries.end() && Found->second.Samples >= SamplesBeforeTrust) {
    touch(Found->second);
    Cost.Output = static_cast<std::uint32_t>(
        std::lround(std::max(1.0, Found->second.MeanOutput)));
  }
  Cost.Output = std::max(1U, capped(Cost.Output, Cost.MaxOutput));
  return Cost;
}

void CostModel::learn(const Reservation &Request, const Usage &Used) {
  if (Used.End != UsageEnd::Complete || Used.OutputTokens == 0)
    return;
  const Key Which = keyOf(Request);
  auto Found = Entries.find(Which);
  if (Found == Entries.end()) {
    if (Entries.size() >= Capacity) {
      Entries.erase(ByUse.front());
      ByUse.pop_front();
    }
    ByUse.push_back(Which);
    Found = Entries.emplace(Which, Entry{0, 0, std::prev(ByUse.end())}).first;
  }
  Entry &Learned = Found->second;
  touch(Learned);
  ++Learned.Samples;
  const double Gain = std::max(SmallestGain, 1.0 / Learned.Samples);
  Learned.MeanOutput += Gain * (Used.OutputTokens - Learned.MeanOutput);
}

} // namespace marjorambay
