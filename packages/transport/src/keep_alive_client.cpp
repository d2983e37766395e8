/// Keep-alive connections to targets and to the platform.
#include "marjorambay/transport/keep_alive_client.h"

#include "marjorambay/transport/log.h"

#include <algorithm>
#include <charconv>

namespace marjorambay {

namespace {

/// An idle connection is closed after this time, or earlier if its target says
/// so.
constexpr Duration IdleLimit = seconds(8);
/// Subtracted from the idle timeout that a target announces, so that a request
/// does not arrive as the target closes the connection.
constexpr Duration IdleMargin = milliseconds(700);
/// Bytes that a target may send before the head of the response to the call:
/// interim responses, and responses to other calls, which are discarded.
constexpr std::size_t MaxBytesBeforeHead = 1 << 20;
/// How often connections that carry a call are asked whether their peer is
/// silent.
constexpr Duration SilenceCheckInterval = milliseconds(250);
/// Added to the time of a call, after which its request is not sent once more.
constexpr Duration CarriedMargin = seconds(30);

/// Idle limit of a connection by "timeout=N" of the Keep-Alive header.
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
      : Socket(Loop), Parser(HttpMessageType::Response) {}

  ConnectionId Id{};
  SocketAddress Address{};
  StreamSocket Socket;
  Http1Parser Parser;
  KeepAliveCall Call{};
  CallId CurrentCall{}; ///< 0 if idle
  std::uint64_t Served = 0;
  /// The response that is being read belongs to another call.
  bool DiscardingResponse = false;
  bool HasDiscarded = false; ///< a response that belonged to no call
  bool HeadReceived = false; ///< the head of the response to the call
  std::size_t BytesBeforeHead = 0;
  std::size_t BodyBytes = 0; ///< of the response to the call
  bool CloseAfterCall = false;
  bool Reserved = false;     ///< see KeepAliveCall
  Duration Unacknowledged{}; ///< SocketTimeouts of the current or last call
  TimePoint IdleSince{};
  TimePoint Deadline{};  ///< of the head, then of the last byte
  TimePoint ExpiresAt{}; ///< key of the entry in Expiries
};

bool KeepAliveClient::isBodyTooLarge(const Connection &Conn) {
  return Conn.Call.MaxBodyBytes != 0 && Conn.BodyBytes > Conn.Call.MaxBodyBytes;
}

/// A long body on a slow link takes its time, one that drips in does not.
TimePoint KeepAliveClient::extendedDeadline(const Connection &Conn) {
  return Conn.Deadline + fromSeconds(static_cast<double>(Conn.BodyBytes) /
                                     MinBodyBytesPerSecond);
}

KeepAliveClient::KeepAliveClient(EventLoop &Loop)
    : Loop(Loop), Connections(Loop) {}

KeepAliveClient::~KeepAliveClient() = default;

/// Returns the most recently used connection that may carry \p Call: it is the
/// least likely to be closed by the target.
KeepAliveClient::Connection *
KeepAliveClient::findIdle(const KeepAliveCall &Call) {
  const auto Found = Idle.find(Call.Address);
  if (Found == Idle.end())
    return nullptr;
  const std::vector<ConnectionId> &Ids = Found->second;
  for (auto Id = Ids.rbegin(); Id != Ids.rend(); ++Id) {
    Connection &Conn = Connections.at(*Id);
    if (Loop.now() - Conn.IdleSince > Call.MaxIdleTime)
      return nullptr; // the others are idle for longer
    if (!Carried.hasCarried(*Id, Call.CorrelationId))
      return &Conn;
  }
  return nullptr;
}

KeepAliveClient::Connection &
KeepAliveClient::createConnection(const KeepAliveCall &Call) {
  auto Created = std::make_unique<Connection>(Loop);
  Connection &Conn = *Created;
  Conn.Id = static_cast<ConnectionId>(++LastConnection);
  Conn.Address = Call.Address;
  Conn.Reserved = Call.Reserved;
  Conn.CloseAfterCall = Call.CloseAfterResponse;
  ReservedConnections += Conn.Reserved ? 1 : 0;
  Conn.Parser.OnHead = [this, &Conn](const HttpHead &Head) {
    handleHead(Conn, Head);
  };
  Conn.Parser.OnBody = [&Conn](std::string_view Bytes) {
    if (Conn.DiscardingResponse || Conn.CurrentCall == CallId{})
      return;
    Conn.BodyBytes += Bytes.size();
    if (Conn.Call.OnBody && !isBodyTooLarge(Conn))
      Conn.Call.OnBody(Conn.CurrentCall, Bytes);
  };
  Conn.Socket.OnBytes = [this, &Conn](std::string_view Bytes) {
    handleBytes(Conn, Bytes);
  };
  Conn.Socket.OnEnd = [this, &Conn](SocketCloseReason Reason) {
    handleClose(Conn, Reason);
  };
  Connections.emplace(Conn.Id, std::move(Created));
  return Conn;
}

/// Closes the connection that was idle for longest. Returns false if none is
/// idle.
bool KeepAliveClient::closeLongestIdle() {
  Connection *Longest = nullptr;
  for (const auto &[Address, Ids] : Idle) {
    Connection &First = Connections.at(Ids.front());
    if (!First.Reserved &&
        (Longest == nullptr || First.IdleSince < Longest->IdleSince))
      Longest = &First;
  }
  if (Longest == nullptr)
    return false;
  retire(*Longest);
  ++Counters.IdleClosed;
  return true;
}

/// Connects a new connection, which is counted already, if there is room.
ConnectStart KeepAliveClient::connect(Connection &Conn,
                                      const SocketTimeouts &Timeouts) {
  const std::size_t Counted = Connections.size() - ReservedConnections;
  if (!Conn.Reserved && Counted > MaxConnections && !closeLongestIdle())
    return ConnectStart::NoResource;
  const ConnectStart First = Conn.Socket.connect(Conn.Address, Timeouts);
  if (First != ConnectStart::NoResource || !closeLongestIdle())
    return First;
  return Conn.Socket.connect(Conn.Address, Timeouts);
}

CallId KeepAliveClient::start(KeepAliveCall Call) {
  const auto Id = static_cast<CallId>(++LastCall);
  const TimePoint Now = Loop.now();
  // Without an id, the response can't be told from a late copy of an earlier
  // one on the same connection.
  const bool Unidentified =
      !Call.CorrelationHeader.empty() && Call.CorrelationId.empty();
  Connection *Conn =
      Call.MaxIdleTime.count() == 0 || Unidentified ? nullptr : findIdle(Call);
  const bool IsNew = Conn == nullptr;
  if (IsNew)
    Conn = &createConnection(Call);
  else
    removeFromIdle(*Conn);
  Conn->CurrentCall = Id;
  Conn->Deadline = Now + Call.HeadTimeout;
  Conn->ExpiresAt = IsNew ? std::min(Now + Call.ConnectTimeout, Conn->Deadline)
                          : Conn->Deadline;
  Expiries.emplace(Conn->ExpiresAt, Conn->Id);
  Calls.emplace(Id, Conn->Id);
  if (!Call.CorrelationId.empty())
    Carried.record(Conn->Id, Call.CorrelationId,
                   Now + Call.HeadTimeout + CarriedMargin);
  Conn->Unacknowledged = Call.Timeouts.Unacknowledged;
  writeRequest(*Conn, Call);
  Conn->Call = std::move(Call);
  Conn->Call.Body = {};
  Conn->Call.SharedBody.reset();
  const ConnectStart Began =
      IsNew ? connect(*Conn, Conn->Call.Timeouts) : ConnectStart::Started;
  if (Began == ConnectStart::Started) {
    Conn->Socket.flush();
    return Id;
  }
  const bool NoResource = Began == ConnectStart::NoResource;
  Counters.NoResource += NoResource ? 1 : 0;
  Loop.defer([this, Id, NoResource]() {
    const auto Found = Calls.find(Id);
    if (Found != Calls.end())
      endCall(Connections.at(Found->second), NoResource
                                                 ? KeepAliveOutcome::NoResource
                                                 : KeepAliveOutcome::Refused);
  });
  return Id;
}

void KeepAliveClient::writeRequest(Connection &Conn,
                                   const KeepAliveCall &Call) {
  std::string Head = Call.Method + " " + Call.RequestTarget + " HTTP/1.1\r\n";
  for (const HttpHeader &Header : Call.Headers) {
    Head += Header.Name;
    Head += ": ";
    Head += Header.Value;
    Head += "\r\n";
  }
  const std::size_t BodySize =
      Call.SharedBody ? Call.SharedBody->size() : Call.Body.size();
  const bool HasBody = BodySize != 0 || Call.Method == "POST" ||
                       Call.Method == "PUT" || Call.Method == "PATCH";
  if (HasBody)
    Head += "Content-Length: " + std::to_string(BodySize) + "\r\n";
  Head += "\r\n";
  Conn.Parser.reset();
  if (Call.Method == "HEAD")
    Conn.Parser.expectNoBody();
  Conn.DiscardingResponse = false;
  Conn.HeadReceived = false;
  Conn.BytesBeforeHead = 0;
  Conn.BodyBytes = 0;
  Conn.Socket.queue(Head);
  if (Call.SharedBody)
    Conn.Socket.queueShared(Call.SharedBody);
  else
    Conn.Socket.queue(Call.Body);
}

void KeepAliveClient::handleBytes(Connection &Conn, std::string_view Bytes) {
  while (!Bytes.empty() && Conn.Socket.open()) {
    if (Conn.CurrentCall == CallId{})
      return retire(Conn); // unsolicited bytes
    const std::size_t Received = Bytes.size();
    const ParseOutcome Outcome = Conn.Parser.feed(Bytes);
    if (Conn.CurrentCall == CallId{})
      return; // cancelled from a callback
    if (!Conn.HeadReceived)
      Conn.BytesBeforeHead += Received - Bytes.size();
    if (Conn.BytesBeforeHead > MaxBytesBeforeHead)
      return endCall(Conn, KeepAliveOutcome::TooMuchBeforeHead);
    if (isBodyTooLarge(Conn))
      return endCall(Conn, KeepAliveOutcome::BodyTooLarge);
    if (Outcome == ParseOutcome::Incomplete)
      return;
    if (Outcome == ParseOutcome::TooLarge)
      return endCall(Conn, Conn.Parser.headComplete()
                               ? KeepAliveOutcome::ChunkFramingTooLarge
                               : KeepAliveOutcome::HeadTooLarge);
    if (Outcome != ParseOutcome::Complete)
      return endCall(Conn, KeepAliveOutcome::InvalidResponse);
    const bool Interim = Conn.Parser.head().Status / 100 == 1;
    if (!Conn.DiscardingResponse && !Interim)
      return finishResponse(Conn, !Bytes.empty());
    Conn.CloseAfterCall = Conn.CloseAfterCall || Conn.DiscardingResponse;
    Conn.DiscardingResponse = false;
    Conn.Parser.reset();
    if (Conn.Call.Method == "HEAD")
      Conn.Parser.expectNoBody();
  }
}

void KeepAliveClient::handleHead(Connection &Conn, const HttpHead &Head) {
  if (Conn.CurrentCall == CallId{} || Head.Status / 100 == 1)
    return;
  const ResponseContext Context{
      Head.header(Conn.Call.CorrelationHeader), Conn.Call.CorrelationId,
      /*FirstOnConnection=*/Conn.Served == 0 && !Conn.HasDiscarded};
  if (!Conn.Call.CorrelationHeader.empty() && !belongsToCall(Context)) {
    Conn.DiscardingResponse = true;
    Conn.HasDiscarded = true;
    return;
  }
  Conn.HeadReceived = true;
  Expiries.erase({Conn.ExpiresAt, Conn.Id});
  if (Conn.Call.BodyTimeout.count() != 0) {
    Conn.Deadline = Loop.now() + Conn.Call.BodyTimeout;
    Conn.ExpiresAt = Conn.Deadline;
    Expiries.emplace(Conn.ExpiresAt, Conn.Id);
  }
  if (Conn.Call.OnHead)
    Conn.Call.OnHead(Conn.CurrentCall, Head);
}

void KeepAliveClient::finishResponse(Connection &Conn, bool TrailingBytes) {
  const bool Reusable = Conn.Parser.head().KeepAlive && !TrailingBytes &&
                        !Conn.CloseAfterCall && Conn.Socket.unsent() == 0;
  const Duration Limit = idleLimitOf(Conn.Parser.head());
  const auto Notify = Conn.Call.OnEnd;
  const CallId Id = Conn.CurrentCall;
  Calls.erase(Id);
  Expiries.erase({Conn.ExpiresAt, Conn.Id});
  Conn.CurrentCall = CallId{};
  Conn.Call = {};
  ++Conn.Served;
  if (!Reusable || Limit.count() <= 0) {
    retire(Conn);
  } else {
    Conn.IdleSince = Loop.now();
    Conn.ExpiresAt = Conn.IdleSince + Limit;
    Expiries.emplace(Conn.ExpiresAt, Conn.Id);
    Conn.Socket.pauseReading(false);
    Idle[Conn.Address].push_back(Conn.Id);
  }
  if (Notify)
    Notify(Id, KeepAliveOutcome::Complete);
}

void KeepAliveClient::handleClose(Connection &Conn, SocketCloseReason Reason) {
  if (Conn.CurrentCall == CallId{})
    return retire(Conn);
  if (Reason == SocketCloseReason::ConnectFailed)
    return endCall(Conn, KeepAliveOutcome::Refused);
  // Only an orderly close completes a response without a length.
  const bool Unframed = Conn.Parser.headComplete() &&
                        !Conn.DiscardingResponse &&
                        Conn.Parser.head().Framing == BodyFraming::UntilClose;
  if (Reason == SocketCloseReason::Closed && Unframed &&
      Conn.Parser.feedEof() == ParseOutcome::Complete)
    return endCall(Conn, KeepAliveOutcome::Complete);
  endCall(Conn, KeepAliveOutcome::ConnectionLost);
}

void KeepAliveClient::endCall(Connection &Conn, KeepAliveOutcome Outcome) {
  const auto Notify = Conn.Call.OnEnd;
  const CallId Id = Conn.CurrentCall;
  retire(Conn);
  if (Notify)
    Notify(Id, Outcome);
}

std::uint64_t KeepAliveClient::connectionOf(CallId Id) const {
  const auto Found = Calls.find(Id);
  return Found == Calls.end() ? 0 : static_cast<std::uint64_t>(Found->second);
}

void KeepAliveClient::cancel(CallId Id) {
  const auto Found = Calls.find(Id);
  if (Found != Calls.end())
    retire(Connections.at(Found->second));
}

void KeepAliveClient::pauseReading(CallId Id, bool Pause) {
  const auto Found = Calls.find(Id);
  if (Found != Calls.end())
    Connections.at(Found->second).Socket.pauseReading(Pause);
}

/// Ends calls whose peer has acknowledged nothing for too long.
void KeepAliveClient::endUnreachable() {
  std::vector<std::pair<CallId, Duration>> Unreachable;
  for (const auto &[Id, ConnId] : Calls) {
    Connection &Conn = Connections.at(ConnId);
    const Duration Silence = Conn.Socket.peerSilence().Time;
    if (Silence > Conn.Unacknowledged)
      Unreachable.emplace_back(Id, Silence);
  }
  for (const auto &[Id, Silence] : Unreachable) {
    const auto Found = Calls.find(Id);
    if (Found == Calls.end())
      continue; // ended with another one
    Connection &Conn = Connections.at(Found->second);
    LogLine("peer_unreachable", LogLevel::Warning)
        .with("address", formatAddress(Conn.Address))
        .with("silent_ms",
              std::chrono::duration_cast<milliseconds>(Silence).count())
        .with("unsent", static_cast<std::int64_t>(Conn.Socket.unsent()));
    Conn.Socket.reset();
    handleClose(Conn, SocketCloseReason::Reset);
  }
}

void KeepAliveClient::expire(TimePoint Now) {
  Carried.expire(Now);
  if (Now >= SilenceCheckAt) {
    SilenceCheckAt = Now + SilenceCheckInterval;
    endUnreachable();
  }
  while (!Expiries.empty() && Expiries.begin()->first <= Now) {
    Connection &Due = Connections.at(Expiries.begin()->second);
    Expiries.erase(Expiries.begin());
    if (Due.CurrentCall == CallId{}) {
      retire(Due);
    } else if (!Due.Socket.connected()) {
      endCall(Due, KeepAliveOutcome::NotSent);
    } else if (Now >= extendedDeadline(Due)) {
      endCall(Due, Due.HeadReceived ? KeepAliveOutcome::BodyTimedOut
                                    : KeepAliveOutcome::TimedOut);
    } else { // connected meanwhile, or has sent part of its body
      Due.ExpiresAt = extendedDeadline(Due);
      Expiries.emplace(Due.ExpiresAt, Due.Id);
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

void KeepAliveClient::removeFromIdle(Connection &Conn) {
  Expiries.erase({Conn.ExpiresAt, Conn.Id});
  const auto Found = Idle.find(Conn.Address);
  if (Found == Idle.end())
    return;
  std::erase(Found->second, Conn.Id);
  if (Found->second.empty())
    Idle.erase(Found);
}

void KeepAliveClient::retire(Connection &Conn) {
  Calls.erase(Conn.CurrentCall);
  Conn.CurrentCall = CallId{};
  removeFromIdle(Conn);
  Conn.Socket.closeWithin(Conn.Unacknowledged);
  ReservedConnections -= Conn.Reserved ? 1 : 0;
  Conn.Reserved = false; // it may be retired again
  Connections.retire(Conn.Id);
}

} // namespace marjorambay
