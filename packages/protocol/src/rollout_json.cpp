/// JSON codecs of rollouts, commands and orders.
#include "marjorambay/protocol/rollout_json.h"

#include "marjorambay/protocol/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace marjorambay {

namespace {

using Json = nlohmann::ordered_json;

std::int64_t micros(WallTime Time) { return Time.time_since_epoch().count(); }

/// Returns a whole number from 0 to \p Max; \p Max if it is larger.
std::int64_t readUpTo(const Json &From, const char *Key, std::int64_t Max) {
  const auto Found = From.find(Key);
  if (Found == From.end() || !Found->is_number_integer())
    return 0;
  if (!Found->is_number_unsigned())
    return std::max<std::int64_t>(0, Found->get<std::int64_t>());
  const auto Limit = static_cast<std::uint64_t>(Max);
  return static_cast<std::int64_t>(
      std::min(Found->get<std::uint64_t>(), Limit));
}

WallTime readWallTime(const Json &From, const char *Key) {
  constexpr std::int64_t MaxMicros = std::int64_t{1} << 60;
  return WallTime(Duration(readUpTo(From, Key, MaxMicros)));
}

RolloutPhase phaseOf(const Json &From) {
  const auto Name = From.value("phase", std::string());
  return parseEnum<RolloutPhase>(Name).value_or(RolloutPhase::RolledBack);
}

Json printStep(const RolloutStep &Step) {
  return {{"at_us", micros(Step.At)},
          {"phase", nameOf(Step.Phase)},
          {"share", Step.Share},
          {"note", Step.Note}};
}

RolloutStep readStep(const Json &From) {
  return {readWallTime(From, "at_us"), phaseOf(From), From.value("share", 0.0),
          From.value("note", std::string())};
}

RolloutState readState(const Json &From) {
  RolloutState State;
  State.Name = From.at("name").get<std::string>();
  State.Pool = From.at("pool").get<std::string>();
  State.FromVersion = From.at("from_version").get<std::string>();
  State.ToVersion = From.at("to_version").get<std::string>();
  State.Started = readWallTime(From, "started_us");
  State.Deadline = readWallTime(From, "deadline_us");
  State.Phase = phaseOf(From);
  State.Share = From.value("share", 0.0);
  State.PhaseSince = readWallTime(From, "phase_since_us");
  State.Paused = From.value("paused", false);
  State.Leader = From.value("leader", std::string());
  State.LeaseUntil = readWallTime(From, "lease_until_us");
  State.FencingToken = From.value("fence", std::uint64_t{0});
  if (const auto History = From.find("history"); History != From.end())
    for (const Json &Step : *History)
      State.History.push_back(readStep(Step));
  return State;
}

/// Parses \p Text with \p Reader; exceptions of the JSON library become errors.
template <typename Value, typename Function>
Result<Value> readWith(std::string_view Text, Function Reader) {
  try {
    const auto Root = parseJson<Json>(Text);
    if (Root.is_discarded())
      return Error{ErrorKind::BadRequest, "not JSON, or nested too deep"};
    return Reader(Root);
  } catch (const Json::exception &Caught) {
    return Error{ErrorKind::BadRequest, Caught.what()};
  }
}

} // namespace

std::string printRolloutState(const RolloutState &State) {
  Json History = Json::array();
  for (const RolloutStep &Step : State.History)
    History.push_back(printStep(Step));
  const Json Root{{"name", State.Name},
                  {"pool", State.Pool},
                  {"from_version", State.FromVersion},
                  {"to_version", State.ToVersion},
                  {"started_us", micros(State.Started)},
                  {"deadline_us", micros(State.Deadline)},
                  {"phase", nameOf(State.Phase)},
                  {"share", State.Share},
                  {"phase_since_us", micros(State.PhaseSince)},
                  {"paused", State.Paused},
                  {"leader", State.Leader},
                  {"lease_until_us", micros(State.LeaseUntil)},
                  {"fence", State.FencingToken},
                  {"history", History}};
  return Root.dump(1) + "\n";
}

Result<RolloutState> parseRolloutState(std::string_view Text) {
  return readWith<RolloutState>(Text, readState);
}

Result<RolloutRequest> parseRolloutRequest(std::string_view Text) {
  return readWith<RolloutRequest>(Text, [](const Json &From) {
    constexpr std::int64_t MaxWithinMs = std::int64_t{1} << 50;
    RolloutRequest Request;
    Request.Command = From.at("command").get<std::string>();
    Request.Name = From.value("name", std::string());
    Request.ToVersion = From.value("to_version", std::string());
    Request.Within = milliseconds(readUpTo(From, "within_ms", MaxWithinMs));
    Request.Author = From.value("author", std::string());
    return Request;
  });
}

std::string printRolloutRequest(const RolloutRequest &Request) {
  const auto WithinMs =
      std::chrono::duration_cast<milliseconds>(Request.Within).count();
  const Json Root{{"command", Request.Command},
                  {"name", Request.Name},
                  {"to_version", Request.ToVersion},
                  {"within_ms", WithinMs},
                  {"author", Request.Author}};
  return Root.dump();
}

std::string printLoadOrder(std::string_view Version,
                           std::uint64_t FencingToken) {
  const Json Root{
      {"order", "load_version"}, {"version", Version}, {"fence", FencingToken}};
  return Root.dump();
}

} // namespace marjorambay
