/// Histograms and counters, and their Prometheus text format.
#include "marjorambay/state/metrics.h"

#include "latency_histogram.h"

#include <cmath>
#include <map>
#include <sstream>
#include <unordered_map>

namespace marjorambay {

namespace {

using boost::accumulators::count;
using boost::accumulators::sum;

constexpr std::uint64_t OtherSeries = ~std::uint64_t{0};

using LatencyHistograms = std::array<LatencyHistogram, LatencyMetricCount>;

using OutcomeCounts = std::map<std::string, std::uint64_t, std::less<>>;

struct LabelSeries {
  std::unordered_map<std::uint64_t, LatencyHistograms> ById{};
  std::unordered_map<std::uint64_t, std::string> Names{};
};

template <typename EnumType> std::size_t index(EnumType Value) {
  return static_cast<std::size_t>(Value);
}

LatencyHistograms &findOrCreate(LabelSeries &Series, std::uint64_t Id) {
  const auto Found = Series.ById.find(Id);
  if (Found != Series.ById.end())
    return Found->second;
  const bool IsFull = Series.ById.size() >= MaxSeriesPerLabel;
  return Series.ById[IsFull ? OtherSeries : Id];
}

const LatencyHistogram *find(const LabelSeries &Series, LatencyMetric Metric,
                             std::uint64_t Id) {
  const auto Found = Series.ById.find(Id);
  return Found == Series.ById.end() ? nullptr : &Found->second[index(Metric)];
}

/// Escapes a label value for the Prometheus text format.
std::string escaped(const std::string &Text) {
  std::string Out;
  for (const char C : Text) {
    if (C == '"' || C == '\\')
      Out += '\\';
    Out += C == '\n' ? ' ' : C;
  }
  return Out;
}

std::string labelName(const LabelSeries &Series, std::uint64_t Id) {
  if (Id == OtherSeries)
    return "other";
  const auto Found = Series.Names.find(Id);
  if (Found != Series.Names.end())
    return escaped(Found->second);
  std::ostringstream Text;
  Text << std::hex << Id;
  return Text.str();
}

void printHistogram(std::ostream &Out, const std::string &Name,
                    const std::string &Label,
                    const LatencyHistogram &Histogram) {
  if (count(Histogram) == 0)
    return;
  const BucketCounts &Counts = extract::bucket_counts(Histogram);
  std::uint64_t Cumulative = 0;
  for (std::size_t Bucket = 0; Bucket < BucketBounds.size(); ++Bucket) {
    Cumulative += Counts[Bucket];
    Out << Name << "_bucket{" << Label << ",le=\"" << BucketBounds[Bucket]
        << "\"} " << Cumulative << "\n";
  }
  const auto Total = count(Histogram);
  Out << Name << "_bucket{" << Label << ",le=\"+Inf\"} " << Total << "\n"
      << Name << "_sum{" << Label << "} " << sum(Histogram) << "\n"
      << Name << "_count{" << Label << "} " << Total << "\n";
}

/// Prints one counter family. That of routes has no label prefix in its name.
void printOutcomes(
    std::ostream &Out, LabelKind Kind, const LabelSeries &Series,
    const std::unordered_map<std::uint64_t, OutcomeCounts> &ById) {
  if (ById.empty())
    return;
  const std::string Label(nameOf(Kind));
  const std::string Name = "marjorambay_" +
                           (Kind == LabelKind::Route ? "" : Label + "_") +
                           "requests_total";
  Out << "# TYPE " << Name << " counter\n";
  for (const auto &[Id, Counts] : ById)
    for (const auto &[Outcome, Count] : Counts)
      Out << Name << "{" << Label << "=\"" << labelName(Series, Id)
          << "\",outcome=\"" << escaped(Outcome) << "\"} " << Count << "\n";
}

void printLatency(std::ostream &Out, LatencyMetric Metric, LabelKind Kind,
                  const LabelSeries &Series) {
  const std::string Name = "marjorambay_" + std::string(nameOf(Kind)) + "_" +
                           std::string(nameOf(Metric)) + "_seconds";
  Out << "# TYPE " << Name << " histogram\n";
  for (const auto &[Id, Histograms] : Series.ById) {
    const std::string Label =
        std::string(nameOf(Kind)) + "=\"" + labelName(Series, Id) + "\"";
    printHistogram(Out, Name, Label, Histograms[index(Metric)]);
  }
}

} // namespace

struct Metrics::State {
  std::array<LabelSeries, LabelKindCount> Series{};
  std::array<std::array<std::uint64_t, MaxTiers>, TierCounterCount> ByTier{};
  std::array<std::uint64_t, HostCounterCount> ByHost{};
  /// Indexed by label kind, then by id and outcome.
  std::array<std::unordered_map<std::uint64_t, OutcomeCounts>, LabelKindCount>
      Outcomes{};

  LabelSeries &series(LabelKind Kind) { return Series[index(Kind)]; }
};

Metrics::Metrics() : Data(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::observe(LatencyMetric Metric, const RequestLabels &Labels,
                      Duration Value) {
  const double Seconds = toSeconds(Value);
  const auto Record = [&](LabelKind Kind, std::uint64_t Id) {
    findOrCreate(Data->series(Kind), Id)[index(Metric)](Seconds);
  };
  Record(LabelKind::Tier, number(Labels.Tier));
  Record(LabelKind::Account, number(Labels.Account));
  if (Labels.Version != VersionId{})
    Record(LabelKind::Version, number(Labels.Version));
  if (Labels.Route != RouteId{})
    Record(LabelKind::Route, number(Labels.Route));
}

void Metrics::addOutcome(const RequestLabels &Labels,
                         std::string_view Outcome) {
  const auto Count = [&](LabelKind Kind, std::uint64_t Id) {
    auto &ById = Data->Outcomes[index(Kind)];
    const bool HasRoom = ById.size() < MaxSeriesPerLabel || ById.count(Id) != 0;
    OutcomeCounts &Counts = ById[HasRoom ? Id : OtherSeries];
    const auto Found = Counts.find(Outcome);
    if (Found == Counts.end())
      Counts.emplace(Outcome, 1);
    else
      ++Found->second;
  };
  Count(LabelKind::Route, number(Labels.Route));
  if (Labels.Route != RouteId{}) // without a route the tier is unknown
    Count(LabelKind::Tier, number(Labels.Tier));
  if (Labels.Account != AccountId{})
    Count(LabelKind::Account, number(Labels.Account));
}

std::uint64_t Metrics::outcomes(LabelKind Kind, std::uint64_t Id,
                                std::string_view Outcome) const {
  const auto &ById = Data->Outcomes[index(Kind)];
  const auto Counts = ById.find(Id);
  if (Counts == ById.end())
    return 0;
  const auto Found = Counts->second.find(Outcome);
  return Found == Counts->second.end() ? 0 : Found->second;
}

void Metrics::add(TierCounter Counter, TierRank Tier, std::uint64_t Amount) {
  const std::size_t Rank = std::min(index(Tier), MaxTiers - 1);
  Data->ByTier[index(Counter)][Rank] += Amount;
}

void Metrics::add(HostCounter Counter, std::uint64_t Amount) {
  Data->ByHost[index(Counter)] += Amount;
}

std::uint64_t Metrics::count(TierCounter Counter, TierRank Tier) const {
  return Data->ByTier[index(Counter)][std::min(index(Tier), MaxTiers - 1)];
}

std::uint64_t Metrics::count(HostCounter Counter) const {
  return Data->ByHost[index(Counter)];
}

std::uint64_t Metrics::observations(LatencyMetric Metric, LabelKind Kind,
                                    std::uint64_t Id) const {
  const auto *Histogram = find(Data->series(Kind), Metric, Id);
  return Histogram == nullptr ? 0 : boost::accumulators::count(*Histogram);
}

Duration Metrics::quantile(LatencyMetric Metric, LabelKind Kind,
                           std::uint64_t Id, double Q) const {
  const auto *Histogram = find(Data->series(Kind), Metric, Id);
  if (Histogram == nullptr || boost::accumulators::count(*Histogram) == 0)
    return Duration(0);
  const auto Total =
      static_cast<double>(boost::accumulators::count(*Histogram));
  const auto TargetRank = static_cast<std::uint64_t>(std::ceil(Q * Total));
  const BucketCounts &Counts = extract::bucket_counts(*Histogram);
  std::uint64_t Cumulative = 0;
  for (std::size_t Bucket = 0; Bucket < BucketBounds.size(); ++Bucket) {
    Cumulative += Counts[Bucket];
    if (Cumulative >= TargetRank)
      return fromSeconds(BucketBounds[Bucket]);
  }
  return Duration::max();
}

void Metrics::setLabelName(LabelKind Kind, std::uint64_t Id, std::string Name) {
  auto &Names = Data->series(Kind).Names;
  if (Names.size() < MaxSeriesPerLabel || Names.count(Id) > 0)
    Names[Id] = std::move(Name);
}

std::size_t Metrics::seriesCount() const {
  std::size_t Total = 0;
  for (const LabelSeries &Series : Data->Series)
    Total += Series.ById.size();
  return Total;
}

std::string Metrics::prometheusText() const {
  std::ostringstream Out;
  for (std::size_t Counter = 0; Counter < HostCounterCount; ++Counter) {
    const auto Name = nameOf(static_cast<HostCounter>(Counter));
    Out << "# TYPE marjorambay_" << Name << "_total counter\n"
        << "marjorambay_" << Name << "_total " << Data->ByHost[Counter] << "\n";
  }
  const LabelSeries &Tiers = Data->series(LabelKind::Tier);
  for (std::size_t Counter = 0; Counter < TierCounterCount; ++Counter) {
    const auto Name = nameOf(static_cast<TierCounter>(Counter));
    Out << "# TYPE marjorambay_" << Name << "_total counter\n";
    for (std::size_t Rank = 0; Rank < MaxTiers; ++Rank)
      if (Tiers.Names.count(Rank) > 0 || Data->ByTier[Counter][Rank] > 0)
        Out << "marjorambay_" << Name << "_total{tier=\""
            << labelName(Tiers, Rank) << "\"} " << Data->ByTier[Counter][Rank]
            << "\n";
  }
  for (std::size_t Kind = 0; Kind < LabelKindCount; ++Kind)
    printOutcomes(Out, static_cast<LabelKind>(Kind), Data->Series[Kind],
                  Data->Outcomes[Kind]);
  for (std::size_t Kind = 0; Kind < LabelKindCount; ++Kind)
    for (std::size_t Metric = 0; Metric < LatencyMetricCount; ++Metric)
      printLatency(Out, static_cast<LatencyMetric>(Metric),
                   static_cast<LabelKind>(Kind), Data->Series[Kind]);
  return Out.str();
}

} // namespace marjorambay
