/// Tests of histograms and counters.
#include "marjorambay/state/metrics.h"

#include <doctest/doctest.h>

namespace marjorambay {
namespace {

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

TEST_CASE("a host records the latencies of its requests") {
  Metrics Recorded;
  const RequestLabels Labels{TierRank{0}, AccountId{7}, VersionId{9}};
  for (int Count = 0; Count < 95; ++Count)
    Recorded.observe(LatencyMetric::FirstToken, Labels, milliseconds(100));
  for (int Count = 0; Count < 5; ++Count)
    Recorded.observe(LatencyMetric::FirstToken, Labels, milliseconds(3000));

  SUBCASE("outcomes are counted by route, tier and account, within bounds") {
    RequestLabels Call{TierRank{0}, AccountId{7}, VersionId{}, RouteId{5}};
    Recorded.setLabelName(LabelKind::Route, 5, "sheet");
    Recorded.setLabelName(LabelKind::Tier, 0, "gold");
    Recorded.setLabelName(LabelKind::Account, 7, "member");
    Recorded.addOutcome(Call, "served");
    Recorded.addOutcome(Call, "served");
    Recorded.addOutcome(Call, "over_quota");
    CHECK(Recorded.outcomes(LabelKind::Route, 5, "served") == 2);
    CHECK(Recorded.outcomes(LabelKind::Account, 7, "over_quota") == 1);
    const std::string Text = Recorded.prometheusText();
    CHECK(contains(Text, "marjorambay_requests_total{route=\"sheet\","
                         "outcome=\"served\"} 2\n"));
    CHECK(contains(Text, "marjorambay_tier_requests_total{tier=\"gold\","
                         "outcome=\"over_quota\"} 1\n"));
    CHECK(contains(Text, "marjorambay_account_requests_total{account="
                         "\"member\",outcome=\"served\"} 2\n"));

    SUBCASE("without an account, only the route is counted") {
      Recorded.addOutcome({}, "unauthenticated");
      CHECK(Recorded.outcomes(LabelKind::Account, 0, "unauthenticated") == 0);
      CHECK(Recorded.outcomes(LabelKind::Route, 0, "unauthenticated") == 1);
      CHECK(Recorded.outcomes(LabelKind::Tier, 0, "unauthenticated") == 0);
    }
    SUBCASE("series beyond the limit are counted as other") {
      for (std::uint64_t Id = 10; Id < 10 + 2 * MaxSeriesPerLabel; ++Id) {
        Call.Route = RouteId{Id};
        Call.Account = AccountId{Id};
        Recorded.addOutcome(Call, "served");
      }
      CHECK(contains(Recorded.prometheusText(), "route=\"other\""));
      CHECK(contains(Recorded.prometheusText(), "account=\"other\""));
    }
  }
  SUBCASE("by tier, account and version") {
    CHECK(Recorded.seriesCount() == 3);
    CHECK(Recorded.observations(LatencyMetric::FirstToken, LabelKind::Account,
                                7) == 100);
    CHECK(Recorded.observations(LatencyMetric::FirstToken, LabelKind::Version,
                                9) == 100);
    CHECK(Recorded.observations(LatencyMetric::Total, LabelKind::Tier, 0) == 0);
  }
  SUBCASE("with quantiles rounded up to bucket bounds") {
    const auto At = [&](double Q) {
      return Recorded.quantile(LatencyMetric::FirstToken, LabelKind::Tier, 0,
                               Q);
    };
    CHECK(At(0.5) == milliseconds(150));
    CHECK(At(0.95) == milliseconds(150));
    CHECK(At(0.96) == seconds(4));
  }
  SUBCASE("and prints them with label names") {
    Recorded.setLabelName(LabelKind::Tier, 0, "gold");
    Recorded.add(TierCounter::Shed, TierRank{0}, 3);
    Recorded.add(HostCounter::PlatformReads);
    const std::string Text = Recorded.prometheusText();
    CHECK(contains(Text, "marjorambay_tier_first_token_seconds_bucket{"
                         "tier=\"gold\",le=\"0.98\"} 95\n"));
    CHECK(contains(Text, "marjorambay_tier_first_token_seconds_count{"
                         "tier=\"gold\"} 100\n"));
    CHECK(contains(Text, "marjorambay_shed_requests_total{tier=\"gold\"} 3\n"));
    CHECK(contains(Text, "marjorambay_platform_reads_total 1\n"));
  }
}

TEST_CASE("the number of series is bounded") {
  Metrics Recorded;
  for (std::uint64_t Account = 0; Account < 3 * MaxSeriesPerLabel; ++Account)
    Recorded.observe(LatencyMetric::Total,
                     {TierRank{0}, AccountId{Account}, {}}, milliseconds(1));
  CHECK(Recorded.seriesCount() <= MaxSeriesPerLabel + 2);
  CHECK(contains(Recorded.prometheusText(), "account=\"other\""));
}

} // namespace
} // namespace marjorambay
