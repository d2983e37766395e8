/// Sends calls at a rate or a concurrency, checks that each answer is whole and
/// its own, and prints one JSON object of results.
#include "standins/load_client/results.h"
#include "standins/support/http_server.h"
#include "standins/support/options.h"

#include <unordered_map>

using namespace marjorambay::standins;

namespace {

struct Plan {
  std::vector<std::string> Addresses{}; ///< "ip:port", taken in turn
  std::vector<std::string> ApiKeys{};   ///< taken in turn
  std::string Kind{};                   ///< completion, chat or call
  std::string Path{};
  std::string Version{};
  std::string Model{};
  std::string KeyPrefix{};   ///< of idempotency keys; "": none are sent
  std::uint64_t KeyUses = 1; ///< calls with the same key, one after the other
  std::uint64_t Count = 0;
  std::uint64_t Concurrency = 0;
  double Rate = 0; ///< calls/s; 0: as fast as the concurrency lets
  std::uint64_t PromptBytes = 0;
  std::uint64_t Prefixes = 0; ///< different beginnings of prompts; 0: all
  std::uint64_t MaxTokens = 0;
  std::uint64_t LeaveAfter = 0; ///< goes away after this many tokens; 0: stays
  std::uint64_t DeadlineMs = 0;
  int TimeoutMs = 0;
  bool Streamed = false;
  bool Details = false;
  std::string Seed{}; ///< makes the markers of two clients differ
};

class Client;

/// A call on its way.
struct Flight {
  Client *Owner = nullptr;
  std::uint64_t Index = 0;
  evhttp_connection *Line = nullptr;
  evhttp_request *Request = nullptr;
  std::size_t Address = 0;
  Clock::time_point Sent{};
  CallResult Result{};
  std::string Body{};    ///< as sent
  std::string Pending{}; ///< received, and not yet parsed
  std::string Text{};    ///< of the events so far
  std::uint64_t Tokens = 0;
  bool DoneMark = false;
};

double millisSince(Clock::time_point Start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - Start)
      .count();
}

class Client {
public:
  Client(Loop &Events, Plan Wanted)
      : Events(Events), Wanted(std::move(Wanted)),
        Idle(this->Wanted.Addresses.size()) {
    for (std::uint64_t Token = 1; Token < this->Wanted.MaxTokens; ++Token)
      TextAfterMarker += " " + std::to_string(Token);
  }

  void run() {
    Start = NextSend = Clock::now();
    sendMore();
    Events.run();
    const double Seconds = millisSince(Start) / 1000;
    Json Output = summary(Results, EventCount, ByteCount, Seconds);
    Output["unfinished"] = Flights.size();
    for (const CallResult &Result : Results)
      if (Wanted.Details || Result.Ending == Verdict::Wrong)
        Output["results"].push_back(toJson(Result));
    std::cout << Output.dump(1) << "\n";
  }

private:
  void sendMore() {
    while (SentCount < Wanted.Count && Flights.size() < Wanted.Concurrency) {
      if (Wanted.Rate > 0 && Clock::now() < NextSend)
        return waitForTurn();
      send(SentCount++);
      NextSend += microseconds(
          Wanted.Rate > 0 ? static_cast<std::int64_t>(1e6 / Wanted.Rate) : 0);
    }
    if (Flights.empty() && SentCount == Wanted.Count)
      Events.stop();
  }
  void waitForTurn() {
    if (Waiting)
      return;
    Waiting = true;
    const auto Wait =
        std::chrono::duration_cast<microseconds>(NextSend - Clock::now());
    Events.after(std::max(Wait, microseconds(0)), [this] {
      Waiting = false;
      sendMore();
    });
  }

  void send(std::uint64_t Index) {
    Flight &Sent = Flights[Index];
    Sent.Owner = this;
    Sent.Index = Sent.Result.Index = Index;
    Sent.Address = Index % Wanted.Addresses.size();
    Sent.Body = bodyOf(Index);
    Sent.Line = connectionTo(Sent.Address);
    Sent.Sent = Clock::now();
    Sent.Request = evhttp_request_new(ended, &Sent);
    evhttp_request_set_header_cb(Sent.Request, headersCame);
    if (Wanted.Streamed)
      evhttp_request_set_chunked_cb(Sent.Request, chunkCame);
    addHeaders(Sent);
    evbuffer_add(evhttp_request_get_output_buffer(Sent.Request),
                 Sent.Body.data(), Sent.Body.size());
    evhttp_make_request(Sent.Line, Sent.Request, EVHTTP_REQ_POST,
                        Wanted.Path.c_str());
  }
  std::string markerOf(std::uint64_t Index) const {
    return "m" + Wanted.Seed + "-" + std::to_string(Index);
  }
  std::string keyOf(std::uint64_t Index) const {
    return Wanted.KeyPrefix + std::to_string(Index / Wanted.KeyUses);
  }
  std::string bodyOf(std::uint64_t Index) const {
    if (Wanted.Kind == "call")
      return Json{
          {"marker", Wanted.KeyPrefix.empty() ? markerOf(Index) : keyOf(Index)}}
          .dump();
    const std::uint64_t Prefix =
        Wanted.Prefixes == 0 ? Index : Index % Wanted.Prefixes;
    std::string Prompt = "Summary " + std::to_string(Prefix) + " ";
    Prompt.resize(std::max<std::size_t>(Prompt.size(), Wanted.PromptBytes),
                  'x');
    Prompt += " " + markerOf(Index);
    Json Body = {{"model", Wanted.Model},
                 {"max_tokens", Wanted.MaxTokens},
                 {"stream", Wanted.Streamed}};
    if (Wanted.Kind == "chat")
      Body["messages"] = Json::array({{{"role", "user"}, {"content", Prompt}}});
    else
      Body["prompt"] = Prompt;
    return Body.dump();
  }
  void addHeaders(Flight &Sent) {
    evkeyvalq *Out = evhttp_request_get_output_headers(Sent.Request);
    const auto Add = [&](const char *Name, const std::string &Value) {
      if (!Value.empty())
        evhttp_add_header(Out, Name, Value.c_str());
    };
    const std::string &Address = Wanted.Addresses[Sent.Address];
    Add("Host", Address);
    Add("Content-Type", "application/json");
    Add("Authorization",
        "Bearer " + Wanted.ApiKeys[Sent.Index % Wanted.ApiKeys.size()]);
    Add("Deadline-Ms",
        Wanted.DeadlineMs == 0 ? "" : std::to_string(Wanted.DeadlineMs));
    Add("Model-Version", Wanted.Version);
    // An entry host names requests itself; an engine alone needs a name.
    Add("Request-Id", markerOf(Sent.Index));
    if (!Wanted.KeyPrefix.empty())
      Add("Idempotency-Key", Sent.Result.Key = keyOf(Sent.Index));
  }
  evhttp_connection *connectionTo(std::size_t Address) {
    if (!Idle[Address].empty()) {
      evhttp_connection *Line = Idle[Address].back();
      Idle[Address].pop_back();
      return Line;
    }
    const std::string &Text = Wanted.Addresses[Address];
    const std::size_t Colon = Text.find(':');
    evhttp_connection *Line = evhttp_connection_base_new(
        Events.base(), nullptr, Text.substr(0, Colon).c_str(),
        static_cast<std::uint16_t>(std::stoi(Text.substr(Colon + 1))));
    const timeval Wait = {Wanted.TimeoutMs / 1000,
                          Wanted.TimeoutMs % 1000 * 1000L};
    evhttp_connection_set_timeout_tv(Line, &Wait);
    return Line;
  }

  static int headersCame(evhttp_request *Request, void *Arg) {
    CallResult &Result = static_cast<Flight *>(Arg)->Result;
    const HeaderMap Headers = toMap(*evhttp_request_get_input_headers(Request));
    const auto Find = [&](const char *Name) {
      const auto Found = Headers.find(Name);
      return Found == Headers.end() ? std::string() : Found->second;
    };
    Result.Status = evhttp_request_get_response_code(Request);
    Result.RequestId = Find("Request-Id");
    Result.Host = Find("Served-By");
    Result.Target = Find("Target");
    Result.Tier = Find("Tier");
    Result.Version = Find("Model-Version");
    return 0;
  }

  static void chunkCame(evhttp_request *Request, void *Arg) {
    Flight &Open = *static_cast<Flight *>(Arg);
    Client &Self = *Open.Owner;
    const std::string Bytes =
        takeBytes(evhttp_request_get_input_buffer(Request));
    Self.ByteCount += Bytes.size();
    Open.Pending += Bytes;
    if (Open.Result.Status == 200)
      Self.readEvents(Open);
  }
  void readEvents(Flight &Open) {
    std::size_t From = 0;
    for (std::size_t End = Open.Pending.find("\n\n"); End != std::string::npos;
         End = Open.Pending.find("\n\n", From)) {
      readEvent(Open, std::string_view(Open.Pending).substr(From, End - From));
      From = End + 2;
    }
    Open.Pending.erase(0, From);
    if (Wanted.LeaveAfter == 0 || Open.Tokens < Wanted.LeaveAfter)
      return;
    Events.after(microseconds(0), [this, Index = Open.Index] { leave(Index); });
  }
  void readEvent(Flight &Open, std::string_view Event) {
    ++EventCount;
    if (Event == "data: [DONE]") {
      Open.DoneMark = true;
      return;
    }
    if (Event.starts_with("data: {\"error\""))
      return readError(Open.Result, std::string(Event.substr(6)));
    const std::string_view Field =
        Wanted.Kind == "chat" ? "\"content\":\"" : "\"text\":\"";
    const std::size_t At = Event.find(Field);
    if (At == std::string_view::npos)
      return;
    if (Open.Tokens++ == 0)
      Open.Result.FirstMs = millisSince(Open.Sent);
    const std::size_t Begin = At + Field.size();
    Open.Text += Event.substr(Begin, Event.find('"', Begin) - Begin);
  }
  static void readError(CallResult &Result, const std::string &Text) {
    const Json Body = parseJson(Text);
    if (!Body.is_object() || !Body.value("error", Json()).is_object())
      return;
    Result.ErrorKind = Body["error"].value("kind", "");
    Result.MayHaveRun = Body["error"].value("may_have_run", true);
    if (Result.RequestId.empty())
      Result.RequestId = Body["error"].value("request_id", "");
  }

  void leave(std::uint64_t Index) {
    const auto Found = Flights.find(Index);
    if (Found == Flights.end())
      return;
    evhttp_connection *Line = Found->second.Line;
    evhttp_cancel_request(Found->second.Request);
    evhttp_connection_free(Line);
    Found->second.Line = nullptr;
    close(Found->second, Verdict::Left);
  }

  static void ended(evhttp_request *Request, void *Arg) {
    Flight &Open = *static_cast<Flight *>(Arg);
    Client &Self = *Open.Owner;
    if (Request == nullptr) // the connection failed
      return Self.close(Open, Open.Result.ErrorKind.empty()
                                  ? Open.Result.Status == 0 ? Verdict::Lost
                                                            : Verdict::Cut
                                  : Verdict::Error);
    const std::string Bytes =
        takeBytes(evhttp_request_get_input_buffer(Request));
    Self.ByteCount += Bytes.size();
    Open.Pending += Bytes;
    Self.close(Open, Self.judge(Open));
  }
  Verdict judge(Flight &Open) {
    if (Open.Result.Status == 0)
      return Verdict::Lost;
    if (Open.Result.Status != 200) {
      readError(Open.Result, Open.Pending);
      Open.Result.Detail = Open.Pending;
      return Verdict::Error;
    }
    if (!Open.Result.ErrorKind.empty())
      return Verdict::Error;
    if (Wanted.Streamed && !Open.DoneMark)
      return Verdict::Cut;
    if (!Wanted.Streamed)
      Open.Text = textOf(Open.Pending);
    const bool Own = Wanted.Kind == "call"
                         ? Open.Text == Open.Body
                         : Open.Text == markerOf(Open.Index) + TextAfterMarker;
    if (!Own)
      Open.Result.Detail = Open.Text;
    return Own ? Verdict::Whole : Verdict::Wrong;
  }
  std::string textOf(const std::string &Body) const {
    const Json Answer = parseJson(Body);
    if (!Answer.is_object())
      return Body;
    if (Wanted.Kind == "call")
      return Answer.value("echo", "");
    const auto Choices = Answer.value("choices", Json::array());
    if (Choices.empty())
      return "";
    if (Wanted.Kind == "chat")
      return Choices[0].value("message", Json::object()).value("content", "");
    return Choices[0].value("text", "");
  }

  void close(Flight &Open, Verdict Ending) {
    Open.Result.Ending = Ending;
    Open.Result.TotalMs = millisSince(Open.Sent);
    if (Open.Result.FirstMs == 0)
      Open.Result.FirstMs = Open.Result.TotalMs;
    Results.push_back(std::move(Open.Result));
    if (Open.Line != nullptr)
      Idle[Open.Address].push_back(Open.Line);
    Flights.erase(Open.Index);
    Events.after(microseconds(0), [this] { sendMore(); });
  }

  Loop &Events;
  Plan Wanted;
  std::vector<std::vector<evhttp_connection *>> Idle;
  std::string TextAfterMarker{};
  std::unordered_map<std::uint64_t, Flight> Flights{};
  std::vector<CallResult> Results{};
  std::uint64_t SentCount = 0;
  std::uint64_t EventCount = 0;
  std::uint64_t ByteCount = 0;
  bool Waiting = false;
  Clock::time_point Start{};
  Clock::time_point NextSend{};
};

Plan planOf(const Options &Given) {
  const auto Number = [&](const char *Name) {
    return static_cast<std::uint64_t>(Given.number(Name));
  };
  Plan Wanted;
  Wanted.Addresses = Given.list("to");
  Wanted.ApiKeys = Given.list("api-keys");
  Wanted.Kind = Given.text("kind");
  Wanted.Path = Given.text("path");
  Wanted.Version = Given.text("version");
  Wanted.Model = Given.text("model");
  Wanted.KeyPrefix = Given.text("key-prefix");
  Wanted.KeyUses = std::max<std::uint64_t>(1, Number("key-uses"));
  Wanted.Count = Number("count");
  Wanted.Concurrency = Number("concurrency");
  Wanted.Rate = Given.number("rate");
  Wanted.PromptBytes = Number("prompt-bytes");
  Wanted.Prefixes = Number("prefixes");
  Wanted.MaxTokens = Number("max-tokens");
  Wanted.LeaveAfter = Number("leave-after");
  Wanted.DeadlineMs = Number("deadline-ms");
  Wanted.TimeoutMs = static_cast<int>(Number("timeout-ms"));
  Wanted.Streamed = Number("stream") != 0;
  Wanted.Details = Number("details") != 0;
  Wanted.Seed = Given.text("seed");
  return Wanted;
}

} // namespace

int main(int Argc, char **Argv) {
  Options Given(
      Argc, Argv,
      {{"to", "", "addresses ip:port, with commas, taken in turn"},
       {"api-keys", "key", "API keys, with commas, taken in turn"},
       {"kind", "completion", "completion, chat or call"},
       {"path", "/v1/completions", "path of the calls"},
       {"version", "", "header Model-Version, for an engine alone"},
       {"key-prefix", "", "idempotency keys: this and a number"},
       {"key-uses", "1", "calls that have the same key"},
       {"count", "1", "calls"},
       {"concurrency", "10000", "calls at the same time"},
       {"rate", "0", "calls/s; 0: as fast as the concurrency lets"},
       {"model", "small", "model that is asked for"},
       {"prompt-bytes", "100", "bytes of a prompt"},
       {"prefixes", "0", "different beginnings of prompts, 0: all differ"},
       {"max-tokens", "16", "tokens of an answer"},
       {"leave-after", "0", "goes away after this many tokens, 0: never"},
       {"deadline-ms", "0", "header Deadline-Ms; 0: none"},
       {"timeout-ms", "60000", "longest silence of an answer"},
       {"stream", "0", "1: streamed answers"},
       {"details", "0", "1: prints each call"},
       {"seed", "0", "makes the markers of two clients differ"}});
  Loop Events;
  Client(Events, planOf(Given)).run();
  return 0;
}
