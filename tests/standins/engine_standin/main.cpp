/// An inference engine without a model: continuous batching, a prefix cache,
/// lagging load reports, versions and orders. Its text echoes the last word of
/// the prompt, followed by a count, so that a caller can check the answer.
///
/// Faults of its own: "speed" {"factor"} multiplies the decode speed,
/// "break_stream" {"after"} closes a stream after that many tokens,
/// "freeze_load" keeps the load report as it is, "ignore_fencing", "decline",
/// "leaving", and "version" {"version", "errors", "slowness", "path",
/// "in_flight"}: a share of errors or a factor of time between tokens, for one
/// version, if given on one path only or from a number of requests in flight
/// on.
#include "standins/engine_standin/prefix_cache.h"
#include "standins/support/http_server.h"
#include "standins/support/options.h"

#include <set>

using namespace marjorambay::standins;

namespace {

constexpr std::uint32_t DefaultOutputTokens = 16;
/// Steps that a late loop makes up for at once.
constexpr int MaxStepsBehind = 20;

struct EngineOptions {
  std::string Name{};
  double TokensPerSecond = 0; ///< of one stream alone
  double BatchSlowdown = 0;   ///< more time a step, for each further stream
  double PrefillTokensPerSecond = 0;
  bool ChecksFencing = false;
  milliseconds VersionLoadTime{};
  milliseconds LoadInterval{};
};

/// One request in the batch.
struct Sequence {
  std::string RequestId{};
  std::string Version{};
  std::string Marker{};
  std::string Text{}; ///< made so far, of an answer in one piece
  Clock::time_point PrefillStart{};
  Clock::time_point PrefillEnd{};
  std::uint32_t PromptTokens = 0;
  std::uint32_t CachedTokens = 0;
  std::uint32_t OutputTokens = 0;
  std::uint32_t Wanted = 0;
  double Slowness = 1;  ///< steps for each token
  double StepsOwed = 0; ///< steps until the next token
  bool Streamed = false;
  bool Chat = false;
};

struct Engine {
  Loop &Events;
  HttpServer &Server;
  EngineOptions Given;
  PrefixCache Cache;
  std::set<std::string> Versions{};
  std::map<CallId, Sequence> Batch{};
  Json LoadReport{};
  bool Stepping = false;
  Clock::time_point NextStep{};
  Clock::time_point PrefillFree{};
  std::uint64_t HighestFence = 0;
  std::uint64_t IncarnationId = 0;
  double ErrorsOwed = 0;
  // Counters for GET /stats.
  std::map<std::string, int> Dispatched{}; ///< times run, by request id
  std::map<std::string, int> ByVersion{};
  Json Orders = Json::array();
  std::uint64_t TokensMade = 0;
  std::uint64_t PrefillWasted = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t Declined = 0;

  // ---- Requests ------------------------------------------------------------

  void call(CallId Id, const Call &Received) {
    if (Received.Path == "/load")
      return Server.replyJson(Id, 200, LoadReport);
    if (Received.Path == "/orders")
      return order(Id, parseJson(Received.Body));
    if (Received.Method != EVHTTP_REQ_POST)
      return Server.reply(Id, 404, "");
    if (Server.faults().has("leaving"))
      return decline(Id, {{"Not-Run", "true"}, {"Leaving", "true"}});
    const std::string Version = versionOf(Received);
    if (Server.faults().take("decline") || !Versions.contains(Version))
      return decline(Id, {{"Not-Run", "true"}});
    ++ByVersion[Version];
    if (const std::string Name = Received.header("Request-Id"); !Name.empty())
      ++Dispatched[Name];
    if (failsByVersion(Version, Received.Path))
      return Server.replyJson(Id, 500, {{"error", "bad version"}});
    admit(Id, Received, Version);
  }
  void decline(CallId Id, const HeaderMap &Headers) {
    ++Declined;
    Server.replyJson(Id, 503, {{"error", "declined"}}, Headers);
  }
  std::string versionOf(const Call &Received) const {
    const std::string Asked = Received.header("Model-Version");
    return Asked.empty() && !Versions.empty() ? *Versions.begin() : Asked;
  }
  bool badVersion(const std::string &Version, const std::string &Path) {
    const Faults &Active = Server.faults();
    const std::string Only = Active.value<std::string>("version", "path", "");
    return Active.has("version") &&
           Active.value<std::string>("version", "version", "") == Version &&
           (Only.empty() || Only == Path) &&
           Batch.size() >= Active.value<std::size_t>("version", "in_flight", 0);
  }
  /// Spreads the share of errors evenly over the requests.
  bool failsByVersion(const std::string &Version, const std::string &Path) {
    if (!badVersion(Version, Path))
      return false;
    ErrorsOwed += Server.faults().value("version", "errors", 0.0);
    if (ErrorsOwed < 1)
      return false;
    ErrorsOwed -= 1;
    return true;
  }

  void admit(CallId Id, const Call &Received, const std::string &Version) {
    const Json Body = parseJson(Received.Body);
    if (!Body.is_object())
      return Server.reply(Id, 400, "not JSON");
    Sequence Admitted;
    Admitted.Chat = Received.Path.find("chat") != std::string::npos;
    const std::string Prompt = promptOf(Body, Admitted.Chat);
    Admitted.RequestId = Received.header("Request-Id");
    Admitted.Version = Version;
    Admitted.Marker = Prompt.substr(Prompt.find_last_of(" \n") + 1);
    Admitted.Wanted = Body.value("max_tokens", DefaultOutputTokens);
    Admitted.Streamed = Body.value("stream", false);
    if (badVersion(Version, Received.Path))
      Admitted.Slowness = Server.faults().value("version", "slowness", 1.0);
    Admitted.PromptTokens =
        static_cast<std::uint32_t>(Prompt.size() / BytesPerToken + 1);
    Admitted.CachedTokens = Cache.lookUpAndInsert(Prompt);
    schedulePrefill(Admitted);
    Batch[Id] = std::move(Admitted);
    startStepping();
  }
  static std::string promptOf(const Json &Body, bool Chat) {
    if (!Chat)
      return Body.value("prompt", "");
    std::string Prompt;
    for (const Json &Message : Body.value("messages", Json::array()))
      Prompt += Message.value("content", "") + "\n";
    if (!Prompt.empty())
      Prompt.pop_back();
    return Prompt;
  }
  void schedulePrefill(Sequence &Admitted) {
    const double Seconds = (Admitted.PromptTokens - Admitted.CachedTokens) /
                           Given.PrefillTokensPerSecond;
    Admitted.PrefillStart = std::max(Clock::now(), PrefillFree);
    Admitted.PrefillEnd =
        Admitted.PrefillStart +
        microseconds(static_cast<std::int64_t>(Seconds * 1e6));
    PrefillFree = Admitted.PrefillEnd;
  }

  /// The caller left, or was cut off: what was prefilled for it is wasted.
  void cancel(CallId Id) {
    const auto Found = Batch.find(Id);
    if (Found == Batch.end())
      return;
    const Sequence &Left = Found->second;
    if (Clock::now() > Left.PrefillStart)
      PrefillWasted += Left.PromptTokens - Left.CachedTokens;
    ++Cancelled;
    Batch.erase(Found);
  }

  // ---- Decoding ------------------------------------------------------------

  microseconds stepTime() {
    const double Speed =
        Given.TokensPerSecond * Server.faults().value("speed", "factor", 1.0);
    const double Streams = static_cast<double>(Batch.size());
    const double Factor = 1 + Given.BatchSlowdown * (Streams - 1);
    return microseconds(static_cast<std::int64_t>(1e6 * Factor / Speed));
  }
  void startStepping() {
    if (Stepping)
      return;
    Stepping = true;
    NextStep = Clock::now();
    scheduleStep();
  }
  void scheduleStep() {
    const microseconds Time = stepTime();
    const auto Now = Clock::now();
    NextStep = std::max(NextStep + Time, Now - MaxStepsBehind * Time);
    const auto Wait = std::chrono::duration_cast<microseconds>(NextStep - Now);
    Events.after(std::max(Wait, microseconds(0)), [this] { step(); });
  }
  void step() {
    const auto Now = Clock::now();
    std::vector<CallId> Due;
    for (auto &[Id, Running] : Batch) {
      if (Now < Running.PrefillEnd)
        continue;
      Running.StepsOwed -= 1;
      if (Running.StepsOwed > 0)
        continue;
      Running.StepsOwed += Running.Slowness;
      Due.push_back(Id);
    }
    for (const CallId Id : Due)
      emitToken(Id);
    Stepping = !Batch.empty();
    if (Stepping)
      scheduleStep();
  }
  void emitToken(CallId Id) {
    Sequence &Running = Batch.at(Id);
    std::string Piece = Running.OutputTokens == 0
                            ? Running.Marker
                            : " " + std::to_string(Running.OutputTokens);
    ++Running.OutputTokens;
    ++TokensMade;
    if (!Running.Streamed)
      Running.Text += Piece;
    else
      streamToken(Id, Running, Piece);
    if (breaksNow(Running)) {
      cancel(Id);
      return Server.breakOff(Id);
    }
    if (Running.OutputTokens >= Running.Wanted)
      finish(Id);
  }
  bool breaksNow(const Sequence &Running) {
    Faults &Active = Server.faults();
    return Active.has("break_stream") &&
           Running.OutputTokens ==
               Active.value<std::uint32_t>("break_stream", "after", 1) &&
           Active.take("break_stream");
  }
  void streamToken(CallId Id, const Sequence &Running,
                   const std::string &Piece) {
    if (Running.OutputTokens == 1)
      Server.startStream(Id, {{"Content-Type", "text/event-stream"},
                              {"Model-Version", Running.Version}});
    std::string Event = R"(data: {"id":")" + Running.RequestId;
    Event += Running.Chat ? R"(","choices":[{"index":0,"delta":{"content":")"
                          : R"(","choices":[{"index":0,"text":")";
    Event += Piece;
    Event += Running.Chat ? "\"}}]}\n\n" : "\"}]}\n\n";
    Server.sendChunk(Id, Event);
  }

  void finish(CallId Id) {
    const Sequence Ended = Batch.at(Id);
    Batch.erase(Id);
    ++Completed;
    Json Answer = {{"id", Ended.RequestId},
                   {"model", Ended.Version},
                   {"usage", usageOf(Ended)}};
    Json Choice = {{"index", 0}, {"finish_reason", "length"}};
    if (Ended.Streamed) {
      Answer["choices"] = Json::array();
      Server.sendChunk(Id, "data: " + Answer.dump() + "\n\n");
      Server.sendChunk(Id, "data: [DONE]\n\n");
      return Server.endStream(Id);
    }
    if (Ended.Chat)
      Choice["message"] = {{"role", "assistant"}, {"content", Ended.Text}};
    else
      Choice["text"] = Ended.Text;
    Answer["choices"] = Json::array({Choice});
    Server.replyJson(Id, 200, Answer, {{"Model-Version", Ended.Version}});
  }
  static Json usageOf(const Sequence &Ended) {
    return {{"prompt_tokens", Ended.PromptTokens},
            {"completion_tokens", Ended.OutputTokens},
            {"prompt_tokens_details", {{"cached_tokens", Ended.CachedTokens}}}};
  }

  // ---- Orders and reports --------------------------------------------------

  void order(CallId Id, const Json &Wanted) {
    if (!Wanted.is_object())
      return Server.reply(Id, 400, "not JSON");
    const auto Fence = Wanted.value("fence", std::uint64_t(0));
    const bool Checks =
        Given.ChecksFencing && !Server.faults().has("ignore_fencing");
    const bool Refused = Checks && Fence < HighestFence;
    Json Seen = Wanted;
    Seen["refused"] = Refused;
    Orders.push_back(Seen);
    if (Refused)
      return Server.replyJson(Id, 409, {{"fence", HighestFence}});
    HighestFence = std::max(HighestFence, Fence);
    obey(Wanted.value("order", ""), Wanted.value("version", ""));
    Server.replyJson(Id, 202, Json::object());
  }
  void obey(const std::string &Order, const std::string &Version) {
    if (Order == "unload_version")
      Versions.erase(Version);
    if (Order == "load_version")
      Events.after(Given.VersionLoadTime,
                   [this, Version] { Versions.insert(Version); });
  }

  void reportLoad() {
    Events.after(Given.LoadInterval, [this] { reportLoad(); });
    if (Server.faults().has("freeze_load") && !LoadReport.is_null())
      return;
    std::uint64_t Tokens = 0;
    for (const auto &[Id, Running] : Batch)
      Tokens += Running.PromptTokens + Running.Wanted - Running.OutputTokens;
    const auto Time = std::chrono::system_clock::now().time_since_epoch();
    LoadReport = {
        {"time_us", std::chrono::duration_cast<microseconds>(Time).count()},
        {"requests_in_flight", Batch.size()},
        {"tokens_in_flight", Tokens},
        {"cache_tokens_free", Cache.tokensFree()},
        {"versions", Versions},
        {"incarnation", IncarnationId},
        {"leaving", Server.faults().has("leaving")}};
    if (IncarnationId == 0)
      LoadReport["incarnation"] = IncarnationId = LoadReport["time_us"];
  }
  void control(CallId Id) {
    Server.replyJson(Id, 200,
                     {{"name", Given.Name},
                      {"requests", Dispatched},
                      {"by_version", ByVersion},
                      {"versions", Versions},
                      {"orders", Orders},
                      {"in_flight", Batch.size()},
                      {"tokens_made", TokensMade},
                      {"prefill_wasted", PrefillWasted},
                      {"completed", Completed},
                      {"declined", Declined},
                      {"cancelled", Cancelled}});
  }
};

milliseconds millisOf(const Options &Given, const char *Name) {
  return milliseconds(static_cast<std::int64_t>(Given.number(Name)));
}

} // namespace

int main(int Argc, char **Argv) {
  Options Given(
      Argc, Argv,
      {{"port", "0", "port of the engine, 0: any"},
       {"name", "engine", "name in GET /stats"},
       {"speed", "100", "tokens/s of one stream alone"},
       {"batch-slowdown", "0.01", "more time a step for each further stream"},
       {"prefill", "20000", "prompt tokens/s"},
       {"cache-tokens", "65536", "size of the prefix cache"},
       {"load-interval-ms", "500", "age that a load report reaches"},
       {"version-load-ms", "200", "time that load_version takes"},
       {"versions", "v1", "versions that are loaded, with commas"},
       {"checks-fencing", "1", "0: obeys any fencing token"}});
  Loop Events;
  HttpServer Server(Events, static_cast<std::uint16_t>(Given.number("port")));
  Engine Model{
      Events, Server,
      EngineOptions{Given.text("name"), Given.number("speed"),
                    Given.number("batch-slowdown"), Given.number("prefill"),
                    Given.number("checks-fencing") != 0,
                    millisOf(Given, "version-load-ms"),
                    millisOf(Given, "load-interval-ms")},
      PrefixCache(static_cast<std::uint32_t>(Given.number("cache-tokens")))};
  for (const std::string &Version : Given.list("versions"))
    Model.Versions.insert(Version);
  Model.reportLoad();
  Server.onFault([&] {
    if (Server.faults().has("refuse"))
      Model.Batch.clear();
  });
  Server.serve(
      [&](CallId Id, const Call &Received) { Model.call(Id, Received); },
      [&](CallId Id, const Call &) { Model.control(Id); },
      [&](CallId Id) { Model.cancel(Id); });
  return 0;
}
