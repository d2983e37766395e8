/// Internal to the state package: a histogram with fixed buckets, implemented
/// as a Boost.Accumulators statistic.
#ifndef MARJORAMBAY_STATE_SRC_LATENCY_HISTOGRAM_H
#define MARJORAMBAY_STATE_SRC_LATENCY_HISTOGRAM_H

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace marjorambay {

/// Upper bounds of the buckets in seconds. The latency objectives 0.08 s
/// between tokens and 0.98 s to the first token are bounds, so that the
/// fraction of requests that meet them is exact.
inline constexpr auto BucketBounds = std::to_array<double>(
    {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3,
     0.6,    0.98,  2,     4,     8,    15,   30,   60,   120,  300});

using BucketCounts = std::array<std::uint32_t, BucketBounds.size() + 1>;

// Boost.Accumulators prescribes the names below.
// NOLINTBEGIN(readability-identifier-naming)
namespace impl {

template <typename Sample>
struct bucket_counts_impl : boost::accumulators::accumulator_base {
  using result_type = const BucketCounts &;

  bucket_counts_impl(boost::accumulators::dont_care) {}

  template <typename Args> void operator()(const Args &Arguments) {
    const Sample Value = Arguments[boost::accumulators::sample];
    const auto Bound =
        std::lower_bound(BucketBounds.begin(), BucketBounds.end(), Value);
    ++Counts[static_cast<std::size_t>(Bound - BucketBounds.begin())];
  }

  result_type result(boost::accumulators::dont_care) const { return Counts; }

private:
  BucketCounts Counts{};
};

} // namespace impl

namespace tag {
struct bucket_counts : boost::accumulators::depends_on<> {
  using impl = marjorambay::impl::bucket_counts_impl<boost::mpl::_1>;
};
} // namespace tag

namespace extract {
inline const boost::accumulators::extractor<tag::bucket_counts> bucket_counts =
    {};
} // namespace extract
// NOLINTEND(readability-identifier-naming)

/// Histogram of seconds, with count and sum.
using LatencyHistogram = boost::accumulators::accumulator_set<
    double, boost::accumulators::stats<tag::bucket_counts,
                                       boost::accumulators::tag::count,
                                       boost::accumulators::tag::sum>>;

} // namespace marjorambay

#endif // MARJORAMBAY_STATE_SRC_LATENCY_HISTOGRAM_H
