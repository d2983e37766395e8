/// A plain service that counts how often each idempotency key was applied.
///
/// Faults of its own: "lose_answer" applies a call and closes the connection,
/// "decline" answers 503 with Not-Run, "leaving" declines and says so.
#include "standins/support/http_server.h"
#include "standins/support/options.h"

using namespace marjorambay::standins;

namespace {

struct Service {
  HttpServer &Server;
  std::string Name;
  bool DeduplicatesKeys = false;
  std::map<std::string, int> Applied{};    ///< times, by idempotency key
  std::map<std::string, int> Dispatched{}; ///< times run, by request id
  std::uint64_t Declined = 0;

  void call(CallId Id, const Call &Received) {
    if (Server.faults().has("leaving"))
      return decline(Id, {{"Not-Run", "true"}, {"Leaving", "true"}});
    if (Server.faults().take("decline"))
      return decline(Id, {{"Not-Run", "true"}});
    if (const std::string Name = Received.header("Request-Id"); !Name.empty())
      ++Dispatched[Name];
    apply(Received.header("Idempotency-Key"));
    if (Server.faults().take("lose_answer"))
      return Server.breakOff(Id);
    Server.replyJson(Id, 200,
                     {{"service", Name},
                      {"path", Received.Path},
                      {"key", Received.header("Idempotency-Key")},
                      {"echo", Received.Body}});
  }
  void decline(CallId Id, const HeaderMap &Headers) {
    ++Declined;
    Server.replyJson(Id, 503, {{"error", "declined"}}, Headers);
  }
  void apply(const std::string &Key) {
    if (Key.empty() || (DeduplicatesKeys && Applied.contains(Key)))
      return;
    ++Applied[Key];
  }
  void control(CallId Id) {
    Server.replyJson(
        Id, 200,
        {{"keys", Applied}, {"requests", Dispatched}, {"declined", Declined}});
  }
};

} // namespace

int main(int Argc, char **Argv) {
  Options Given(Argc, Argv,
                {{"port", "0", "port of the service, 0: any"},
                 {"name", "service", "name that it answers with"},
                 {"deduplicates-keys", "0", "1: applies each key once"}});
  Loop Events;
  HttpServer Server(Events, static_cast<std::uint16_t>(Given.number("port")));
  Service Plain{Server, Given.text("name"),
                Given.number("deduplicates-keys") != 0};
  Server.serve(
      [&](CallId Id, const Call &Received) { Plain.call(Id, Received); },
      [&](CallId Id, const Call &) { Plain.control(Id); });
  return 0;
}
