/// The world outside the core, as small as the faults allow: a platform of
/// versioned objects, and targets that answer in parts.
#ifndef MARJORAMBAY_TESTS_MATRIX_FAKES_H
#define MARJORAMBAY_TESTS_MATRIX_FAKES_H

#include "marjorambay/coordination/intent_log.h"

#include <limits>
#include <map>
#include <string>
#include <vector>

namespace marjorambay::matrix {

/// Condition of a naive write that always takes effect.
inline constexpr ObjectVersion AnyVersion =
    std::numeric_limits<ObjectVersion>::max();

class FakePlatform {
public:
  /// \p Back versions behind the newest, for stale reads.
  ObjectRead read(const ReadObject &Call, std::size_t Back) const {
    ObjectRead Answer;
    Answer.Call = Call.Call;
    const auto Found = Objects.find(Call.Name);
    if (Found == Objects.end() || Found->second.size() <= Back)
      return Answer;
    Answer.Found = true;
    Answer.Version = Found->second.size() - Back;
    Answer.Bytes = Found->second[Answer.Version - 1];
    return Answer;
  }

  ObjectWritten write(const WriteObject &Call) {
    std::vector<std::string> &Versions = Objects[Call.Name];
    if (Call.IfVersion != AnyVersion && Call.IfVersion != Versions.size())
      return {Call.Call, WriteResult::Conflict, 0};
    Versions.push_back(Call.Bytes);
    return {Call.Call, WriteResult::Committed, Versions.size()};
  }

private:
  /// All bytes that each object ever had; version N is at N - 1.
  std::map<std::string, std::vector<std::string>> Objects{};
};

/// How a fake target treats the request that reaches it next.
enum class TargetMood : std::uint8_t {
  Serves,
  Slow,     ///< silent past the dispatch time-out after its first part
  Breaks,   ///< runs the request, and cuts the answer
  Declines, ///< says that it leaves, and runs nothing
};

} // namespace marjorambay::matrix

#endif // MARJORAMBAY_TESTS_MATRIX_FAKES_H
