/// Kept connections to targets and to the platform.
#include "marjorambay/transport/keep_alive_client.h"

#include <algorithm>
#include <charconv>

namespace marjorambay {

namespace {

/// An idle connection is closed after this, unless its target says sooner.
constexpr Duration IdleLimit = seconds(8);
/// Kept-alive times of targets are cut by this, for the way there.
constexpr Duration IdleMargin = milliseconds(700);

/// Reads "timeout=N" of a Keep-Alive header.
Duration idleLimitOf(const HttpHead &Head) {
  const std::string_view Value = Head.header("keep-alive");
  constexpr std::string_view Key = "timeout=";
  const std::size_t At = Value.find(Key);
  if (At == std::string_view::npos)
    return IdleLimit;
  int Seconds = 0;
  const char *Begin = Value.data() + At + Key.size();
  std::from_chars(Begin, Value.data() + Value.size(), Seconds);
  return std::clamp<Duration>(seconds(Seconds) - IdleMargin, Duration(0),
                              IdleLimit);
}

} // namespace

struct KeepAliveClient::Connection {
  explicit Connection(EventLoop &Loop)
      : Socket(Loop), Parser(HttpRole::Answers) {}

  ConnectionId Id{};
  SocketAddress To{};
  StreamSocket Socket;
  Http1Parser Parser;
  KeepAliveCall Call{};
  CallId CallNow{}; ///< 0: idle
  std::uint64_t Served = 0;
  bool Skipping = false; ///< the answer being read is another call's
  bool Suspect = false;  ///< not to be used again
  TimePoint IdleSince{};
  TimePoint HeadBy{};
  TimePoint ExpiresAt{}; ///< entry in Expiries
};

KeepAliveClient::KeepAliveClient(EventLoop &Loop)
    : Loop(Loop), Connections(Loop) {}

KeepAliveClient::~KeepAliveClient() = default;

KeepAliveClient::Connection *KeepAliveClient::idleTo(const SocketAddress &To,
                                                     Duration MaxIdle) {
  const auto Found = Idle.find(To);
  if (Found == Idle.end() || Found->second.empty())
    return nullptr;
  // The one used last is the least likely to be closed by the target.
  Connection &Last = Connections.at(Found->second.back());
  return Loop.now() - Last.IdleSince <= MaxIdle ? &Last : nullptr;
}

KeepAliveClient::Connection &
KeepAliveClient::connectionTo(const KeepAliveCall &Call) {
  auto Made = std::make_unique<Connection>(Loop);
  Connection &New = *Made;
  New.Id = static_cast<ConnectionId>(++LastConnection);
  New.To = Call.Address;
  New.Parser.OnHead = [this, &New](const HttpHead &Head) { head(New, Head); };
  New.Parser.OnBody = [&New](std::string_view Bytes) {
    if (!New.Skipping && New.CallNow != CallId{} && New.Call.OnBody)
      New.Call.OnBody(New.CallNow, Bytes);
  };
  New.Socket.OnBytes = [this, &New](std::string_view Bytes) {
    bytes(New, Bytes);
  };
  New.Socket.OnEnd = [this, &New](SocketEnd How) { ended(New, How); };
  Connections.emplace(New.Id, std::move(Made));
  return New;
}

CallId KeepAliveClient::start(KeepAliveCall Call) {
  const auto Id = static_cast<CallId>(++LastCall);
  const TimePoint Now = Loop.now();
  Connection *Over = Call.MaxIdleTime.count() == 0
                         ? nullptr
                         : idleTo(Call.Address, Call.MaxIdleTime);
  const bool Fresh = Over == nullptr;
  if (Fresh)
    Over = &connectionTo(Call);
  else
    unpool(*Over);
  Over->CallNow = Id;
  Over->HeadBy = Now + Call.HeadTimeout;
  Over->ExpiresAt =
      Fresh ? std::min(Now + Call.ConnectTimeout, Over->HeadBy) : Over->HeadBy;
  Expiries.emplace(Over->ExpiresAt, Over->Id);
  Calls.emplace(Id, Over->Id);
  send(*Over, Call);
  Over->Call = std::move(Call);
  Over->Call.Body = {};
  if (Fresh && !Over->Socket.connect(Over->To, Over->Call.Timeouts))
    Loop.defer([this, Id]() {
      const auto Found = Calls.find(Id);
      if (Found != Calls.end())
        endCall(Connections.at(Found->second), KeepAliveOutcome::Refused);
    });
  else
    Over->Socket.flush();
  return Id;
}

void KeepAliveClient::send(Connection &Over, const KeepAliveCall &Call) {
  std::string Head = Call.Method + " " + Call.RequestTarget + " HTTP/1.1\r\n";
  for (const HttpHeader &Each : Call.Headers) {
    Head += Each.Name;
    Head += ": ";
    Head += Each.Value;
    Head += "\r\n";
  }
  const bool HasBody = !Call.Body.empty() || Call.Method == "POST" ||
                       Call.Method == "PUT" || Call.Method == "PATCH";
  if (HasBody)
    Head += "Content-Length: " + std::to_string(Call.Body.size()) + "\r\n";
  Head += "\r\n";
  Over.Parser.restart();
  if (Call.Method == "HEAD")
    Over.Parser.expectNoBody();
  Over.Skipping = false;
  Over.Socket.queue(Head);
  Over.Socket.queue(Call.Body);
}

void KeepAliveClient::bytes(Connection &From, std::string_view Bytes) {
  while (!Bytes.empty() && From.Socket.open()) {
    if (From.CallNow == CallId{})
      return retire(From); // nobody asked for these
    const ParseOutcome Outcome = From.Parser.feed(Bytes);
    if (From.CallNow == CallId{})
      return; // cancelled from a callback
    if (Outcome == ParseOutcome::More)
      return;
    if (Outcome != ParseOutcome::Complete)
      return endCall(From, KeepAliveOutcome::InvalidResponse);
    const bool Interim = From.Parser.head().Status / 100 == 1;
    if (!From.Skipping && !Interim)
      return answered(From, !Bytes.empty());
    From.Suspect = From.Suspect || From.Skipping;
    From.Skipping = false;
    From.Parser.restart();
    if (From.Call.Method == "HEAD")
      From.Parser.expectNoBody();
  }
}

void KeepAliveClient::head(Connection &From, const HttpHead &Head) {
  if (From.CallNow == CallId{} || Head.Status / 100 == 1)
    return;
  const std::string_view Echo = Head.header(From.Call.CorrelationHeader);
  const bool Unnamed = Echo.empty() && From.Served == 0;
  if (!From.Call.CorrelationHeader.empty() && !Unnamed &&
      Echo != From.Call.CorrelationId) {
    From.Skipping = true;
    return;
  }
  Expiries.erase({From.ExpiresAt, From.Id});
  if (From.Call.OnHead)
    From.Call.OnHead(From.CallNow, Head);
}

void KeepAliveClient::answered(Connection &From, bool BytesLeft) {
  const bool Reusable = From.Parser.head().KeepAlive && !BytesLeft &&
                        !From.Suspect && From.Socket.unsent() == 0;
  const Duration Limit = idleLimitOf(From.Parser.head());
  const auto Tell = From.Call.OnEnd;
  const CallId Id = From.CallNow;
  Calls.erase(Id);
  Expiries.erase({From.ExpiresAt, From.Id});
  From.CallNow = CallId{};
  From.Call = {};
  ++From.Served;
  if (!Reusable || Limit.count() <= 0) {
    retire(From);
  } else {
    From.IdleSince = Loop.now();
    From.ExpiresAt = From.IdleSince + Limit;
    Expiries.emplace(From.ExpiresAt, From.Id);
    From.Socket.pauseReading(false);
    Idle[From.To].push_back(From.Id);
  }
  if (Tell)
    Tell(Id, KeepAliveOutcome::Complete);
}

void KeepAliveClient::ended(Connection &Which, SocketEnd How) {
  if (Which.CallNow == CallId{})
    return retire(Which);
  if (How == SocketEnd::NotConnected)
    return endCall(Which, KeepAliveOutcome::Refused);
  // Only an orderly end completes an answer that has no length.
  const bool Unframed = Which.Parser.headComplete() && !Which.Skipping &&
                        !Which.Parser.head().Framed;
  if (How == SocketEnd::Closed && Unframed &&
      Which.Parser.feedEnd() == ParseOutcome::Complete)
    return endCall(Which, KeepAliveOutcome::Complete);
  endCall(Which, KeepAliveOutcome::ConnectionLost);
}

void KeepAliveClient::endCall(Connection &Over, KeepAliveOutcome How) {
  const auto Tell = Over.Call.OnEnd;
  const CallId Id = Over.CallNow;
  retire(Over);
  if (Tell)
    Tell(Id, How);
}

void KeepAliveClient::cancel(CallId Id) {
  const auto Found = Calls.find(Id);
  if (Found != Calls.end())
    retire(Connections.at(Found->second));
}

void KeepAliveClient::expire(TimePoint Now) {
  while (!Expiries.empty() && Expiries.begin()->first <= Now) {
    Connection &Late = Connections.at(Expiries.begin()->second);
    Expiries.erase(Expiries.begin());
    if (Late.CallNow == CallId{}) {
      retire(Late);
    } else if (!Late.Socket.connected()) {
      endCall(Late, KeepAliveOutcome::NotSent);
    } else if (Now >= Late.HeadBy) {
      endCall(Late, KeepAliveOutcome::TimedOut);
    } else { // connected meanwhile
      Late.ExpiresAt = Late.HeadBy;
      Expiries.emplace(Late.ExpiresAt, Late.Id);
    }
  }
}

void KeepAliveClient::closeIdleConnections(const SocketAddress &Address) {
  const auto Found = Idle.find(Address);
  if (Found == Idle.end())
    return;
  const std::vector<ConnectionId> Ids = Found->second;
  for (const ConnectionId Id : Ids)
    retire(Connections.at(Id));
}

void KeepAliveClient::unpool(Connection &Which) {
  Expiries.erase({Which.ExpiresAt, Which.Id});
  const auto Found = Idle.find(Which.To);
  if (Found == Idle.end())
    return;
  std::erase(Found->second, Which.Id);
  if (Found->second.empty())
    Idle.erase(Found);
}

void KeepAliveClient::retire(Connection &Which) {
  Calls.erase(Which.CallNow);
  Which.CallNow = CallId{};
  unpool(Which);
  Which.Socket.close();
  Connections.retire(Which.Id);
}

} // namespace marjorambay
