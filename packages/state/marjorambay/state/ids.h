/// Identifier types, and the derivation of ids from names.
#ifndef MARJORAMBAY_STATE_IDS_H
#define MARJORAMBAY_STATE_IDS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace marjorambay {

// The id of a named entity is the 64-bit XXH3 hash of its name, so that all
// processes derive the same id without coordination. A configuration in which
// two names have the same hash is rejected.
enum class HostId : std::uint64_t {};
enum class ZoneId : std::uint64_t {};   ///< availability zone
enum class RegionId : std::uint64_t {}; ///< group of nearby availability zones
enum class TargetId : std::uint64_t {}; ///< engine worker or plain service
enum class PoolId : std::uint64_t {}; ///< targets that serve the same requests
enum class AccountId : std::uint64_t {}; ///< client account
enum class RouteId : std::uint64_t {};
enum class ModelId : std::uint64_t {};
enum class VersionId : std::uint64_t {}; ///< version of a pool's model
enum class RolloutId : std::uint64_t {};

/// Sequence number within one incarnation of one host; see RequestKey.
enum class RequestId : std::uint64_t {};

/// Incarnation of a process or a target; increases with each restart. For
/// hosts: start time in microseconds since the Unix epoch.
enum class IncarnationId : std::uint64_t {};

/// Revision of the fleet configuration; increases monotonically. 0 if none.
enum class Revision : std::uint64_t {};

/// Rank of a tier: 0 is the highest and is shed last.
enum class TierRank : std::uint8_t {};

inline constexpr std::size_t MaxTiers = 8;

/// Returns the 64-bit XXH3 hash of \p Bytes.
std::uint64_t hash64(std::string_view Bytes);

/// Returns the id of \p Name.
template <typename IdType> IdType idOf(std::string_view Name) {
  return static_cast<IdType>(hash64(Name));
}

/// Returns the underlying number of an id.
template <typename IdType> constexpr auto number(IdType Id) {
  return static_cast<std::underlying_type_t<IdType>>(Id);
}

/// Identifies a request uniquely across the fleet and across restarts.
struct RequestKey {
  HostId Origin{};                   ///< entry host of the caller's connection
  IncarnationId OriginIncarnation{}; ///< incarnation of that host
  RequestId Id{};                    ///< sequence number

  // clang-tidy 14 reports compiler-generated names here.
  auto operator<=>(const RequestKey &) const = default; // NOLINT
};

/// Returns "origin-incarnation-id" in hexadecimal, as in responses and logs.
std::string formatKey(const RequestKey &Key);

} // namespace marjorambay

template <> struct std::hash<marjorambay::RequestKey> {
  std::size_t operator()(const marjorambay::RequestKey &Key) const noexcept {
    std::uint64_t Mixed = marjorambay::number(Key.Origin) ^
                          (marjorambay::number(Key.OriginIncarnation) * 31) ^
                          (marjorambay::number(Key.Id) * 0x9E3779B97F4A7C15);
    return static_cast<std::size_t>(Mixed ^ (Mixed >> 32));
  }
};

#endif // MARJORAMBAY_STATE_IDS_H
