/// Server side of callers' keep-alive connections.
#include "marjorambay/transport/caller_server.h"

#include "marjorambay/transport/log.h"

#include <event2/event.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <sys/socket.h>
#include <unistd.h>

namespace marjorambay {

namespace {

constexpr Duration SweepInterval = milliseconds(500);
/// Time for which a closing connection waits for the caller to close first.
/// Closing a socket with unread bytes sends a reset, which may discard the
/// response in flight.
constexpr Duration LingerTime = seconds(1);
/// Bytes of pipelined requests that are buffered while a response is in
/// progress.
constexpr std::size_t MaxPipelinedBytes = 64 << 10;
/// A connection that was idle for less may have its next request on the way.
constexpr Duration MinIdleTime = milliseconds(500);
/// Between two searches for idle connections that found none.
constexpr Duration IdleSearchInterval = milliseconds(50);
constexpr std::size_t MaxIdleClosedAtOnce = 8;
constexpr Duration FullLogInterval = seconds(5);
/// A caller that acknowledges nothing for this long is unreachable. One that
/// acknowledges may read as slowly as it likes, as long as it reads.
constexpr Duration MaxCallerSilence = seconds(2);
/// What the kernel may hold of a caller's bytes that are not read. A connection
/// that waits for memory fills it.
constexpr int CallerReceiveBuffer = 64 << 10;
/// Memory that is reserved at first for a body of unknown length.
constexpr std::size_t FirstBodyBytes = 64 << 10;

enum class ConnectionState : std::uint8_t {
  Idle,      ///< no byte of the next request has arrived
  Reading,   ///< part of a request has arrived
  Waiting,   ///< the body is not read until there is memory for it
  Answering, ///< an exchange is in progress
  Lingering, ///< the last response was sent
};

std::string_view reasonPhrase(int Status) {
  switch (Status) {
#define MARJORAMBAY_STATUS(Number, Name, Text)                                 \
  case Number:                                                                 \
    return #Text;
    HTTP_STATUS_MAP(MARJORAMBAY_STATUS)
#undef MARJORAMBAY_STATUS
  default:
    return "Status";
  }
}

/// What is decided on the body of a request that is not complete.
enum class BodyState : std::uint8_t {
  Admitted, ///< or there is none
  Waiting,  ///< until there is memory for it
  Refused,
  TooLarge,
};

/// Length that a head announces; 0 if it announces none.
std::size_t announcedLength(const HttpHead &Head) {
  const std::string_view Text = Head.header("content-length");
  std::size_t Length = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Length);
  return Length;
}

bool expectsContinue(const HttpHead &Head) {
  return equalsIgnoringCase(Head.header("expect"), "100-continue");
}

void appendHead(std::string &Out, int Status, const HttpHeaders &Headers) {
  Out += "HTTP/1.1 ";
  Out += std::to_string(Status);
  Out += ' ';
  Out += reasonPhrase(Status);
  Out += "\r\n";
  for (const HttpHeader &Header : Headers) {
    Out += Header.Name;
    Out += ": ";
    Out += Header.Value;
    Out += "\r\n";
  }
}

} // namespace

struct CallerServer::Connection {
  Connection(EventLoop &Loop, std::size_t MaxHeaderBytes)
      : Socket(Loop), Parser(HttpMessageType::Request, MaxHeaderBytes) {}

  ConnectionId Id{};
  StreamSocket Socket;
  Http1Parser Parser;
  ConnectionState State = ConnectionState::Idle;
  std::string Body{};
  CallerBodyId BodyId{};         ///< 0 if no memory was asked for
  std::size_t BodyRequested = 0; ///< bytes
  BodyState BodyStatus = BodyState::Admitted;
  bool BodyComplete = false; ///< the body has arrived, but waits for memory
  std::string Unparsed{};    ///< received bytes that are not parsed yet
  bool Parsing = false;
  ExchangeId Exchange{};
  bool KeepAlive = true; ///< the connection stays open after this exchange
  bool Http10 = false;   ///< the caller doesn't support chunked encoding
  bool HeadRequest = false;
  bool OverLimit = false; ///< accepted above MaxConnections
  TimePoint StateStart{}; ///< start of the state; in a body, end of the head
  TimePoint LingerStart{};
};

CallerServer::CallerServer(EventLoop &Loop, TimerService &Timers,
                           CallerServerLimits Limits, std::string Name)
    : Loop(Loop), Limits(Limits), Accepts(Loop, Timers, std::move(Name)),
      Connections(Loop),
      SweepTimer(Timers.every(SweepInterval, [this]() { closeTimedOut(); })) {
  Accepts.HasRoom = [this]() { return hasRoom(); };
  Accepts.Accepted = [this](int Descriptor) { addConnection(Descriptor); };
  Accepts.Shortage = [this]() {
    closeLongestIdle();
    return Connections.size();
  };
}

CallerServer::~CallerServer() { stopListening(); }

void CallerServer::stopListening() { Accepts.stop(); }

Result<std::uint16_t> CallerServer::listen(const SocketAddress &Address) {
  const Result<int> Created = listenAt(Address);
  if (!ok(Created))
    return error(Created);
  const int Listener = value(Created);
  limitReceiveBuffer(Listener, CallerReceiveBuffer);
  Accepts.start(Listener);
  return portOf(Listener);
}

bool CallerServer::hasRoom() {
  return Connections.size() <
             Limits.MaxConnections + Limits.MaxConnectionsOverLimit ||
         closeLongestIdle();
}

/// Makes room for an accepted connection. Returns false if there is none.
bool CallerServer::makeRoom() {
  if (Connections.size() < Limits.MaxConnections || closeLongestIdle())
    return true;
  const TimePoint Now = Loop.now();
  if (FullLoggedAt != TimePoint{} && Now - FullLoggedAt < FullLogInterval)
    return false;
  LogLine("callers_full", LogLevel::Warning)
      .with("connections", static_cast<std::int64_t>(Connections.size()))
      .with("limit", static_cast<std::int64_t>(Limits.MaxConnections))
      .with("in_progress", static_cast<std::int64_t>(Exchanges.size()))
      .with("idle_closed", static_cast<std::int64_t>(Counters.IdleClosed))
      .with("rejected", static_cast<std::int64_t>(Counters.Rejected));
  FullLoggedAt = Now;
  return false;
}

/// Closes the connections that were idle for longest, a few at once because
/// each search looks at all. Returns false if none was idle for long enough.
bool CallerServer::closeLongestIdle() {
  const TimePoint Now = Loop.now();
  if (Now < NextIdleSearch)
    return false;
  std::vector<Connection *> Idle;
  for (const auto &[Id, Conn] : Connections)
    if (Conn->State == ConnectionState::Idle && Conn->Unparsed.empty() &&
        Conn->Socket.unsent() == 0 && Now - Conn->StateStart >= MinIdleTime)
      Idle.push_back(Conn.get());
  std::sort(Idle.begin(), Idle.end(),
            [](const Connection *Left, const Connection *Right) {
              return Left->StateStart < Right->StateStart;
            });
  std::size_t Closed = 0;
  for (Connection *Conn : Idle) {
    if (Closed == MaxIdleClosedAtOnce)
      break;
    if (Conn->Socket.hasUnreadBytes())
      continue;
    retire(*Conn);
    ++Closed;
  }
  Counters.IdleClosed += Closed;
  if (Closed == 0)
    NextIdleSearch = Now + IdleSearchInterval;
  return Closed != 0;
}

/// Counts \p Conn, which was accepted above the limit, as within it if others
/// have closed.
void CallerServer::updateOverLimit(Connection &Conn) const {
  Conn.OverLimit = Conn.OverLimit && Connections.size() > Limits.MaxConnections;
}

void CallerServer::addConnection(int Descriptor) {
  const bool HasRoom = makeRoom();
  auto Created = std::make_unique<Connection>(Loop, Limits.MaxHeaderBytes);
  Connection &Conn = *Created;
  Conn.Id = static_cast<ConnectionId>(++LastConnection);
  Conn.StateStart = Loop.now();
  Conn.OverLimit = !HasRoom;
  Conn.Parser.OnHead = [this, &Conn](const HttpHead &Head) {
    handleHead(Conn, Head);
  };
  Conn.Parser.OnBody = [this, &Conn](std::string_view Bytes) {
    handleBody(Conn, Bytes);
  };
  Conn.Socket.OnBytes = [this, &Conn](std::string_view Bytes) {
    handleBytes(Conn, Bytes);
  };
  Conn.Socket.OnEnd = [this, &Conn](SocketCloseReason) { handleClose(Conn); };
  Conn.Socket.OnDrained = [this, &Conn]() { handleDrained(Conn); };
  Connections.emplace(Conn.Id, std::move(Created));
  Conn.Socket.adopt(Descriptor, SocketTimeouts{});
}

void CallerServer::handleHead(Connection &Conn, const HttpHead &Head) {
  Conn.Body.clear();
  updateOverLimit(Conn);
  if (Conn.OverLimit)
    return; // rejected before its body is read
  const std::size_t Length = announcedLength(Head);
  const bool Chunked = Head.Framing == BodyFraming::Chunked;
  if (Length > Limits.MaxBodyBytes)
    Conn.BodyStatus = BodyState::TooLarge;
  else if (Length != 0 || Chunked)
    requestMemory(Conn, Chunked ? std::min(FirstBodyBytes, Limits.MaxBodyBytes)
                                : Length);
}

void CallerServer::requestMemory(Connection &Conn, std::size_t Bytes) {
  if (Admission == nullptr)
    return;
  if (Conn.BodyId == CallerBodyId{})
    Conn.BodyId = static_cast<CallerBodyId>(++LastBody);
  Conn.BodyRequested = Bytes;
  switch (Admission->request(Conn.BodyId, Bytes, Conn.Parser.head())) {
  case BodyAdmissionResult::Admitted:
    Conn.Body.reserve(Bytes);
    return;
  case BodyAdmissionResult::Waiting:
    Conn.BodyStatus = BodyState::Waiting;
    return;
  case BodyAdmissionResult::Refused:
    Conn.BodyStatus = BodyState::Refused;
  }
}

/// Bytes that were read with the head are kept while the body waits.
void CallerServer::handleBody(Connection &Conn, std::string_view Bytes) {
  const std::size_t Size = Conn.Body.size() + Bytes.size();
  if (Size > Limits.MaxBodyBytes)
    Conn.BodyStatus = BodyState::TooLarge;
  if (Size > Conn.BodyRequested && Conn.BodyStatus == BodyState::Admitted)
    requestMemory(Conn, std::min(std::max(Size, 2 * Conn.BodyRequested),
                                 Limits.MaxBodyBytes));
  if (Conn.BodyStatus == BodyState::Admitted ||
      Conn.BodyStatus == BodyState::Waiting)
    Conn.Body.append(Bytes);
}

void CallerServer::waitForMemory(Connection &Conn) {
  Conn.State = ConnectionState::Waiting;
  Conn.StateStart = Loop.now();
  Conn.Socket.pauseReading(true);
  WaitingBodies.emplace(Conn.BodyId, Conn.Id);
}

void CallerServer::continueBody(Connection &Conn) {
  if (!Conn.Body.empty() || !expectsContinue(Conn.Parser.head()))
    return;
  Conn.Socket.queue("HTTP/1.1 100 Continue\r\n\r\n");
  Conn.Socket.flush();
}

void CallerServer::admitBody(CallerBodyId Id) {
  const auto Found = WaitingBodies.find(Id);
  if (Found == WaitingBodies.end())
    return;
  Connection &Conn = Connections.at(Found->second);
  WaitingBodies.erase(Found);
  if (Conn.Socket.peerClosed())
    return handleClose(Conn);
  Conn.Body.reserve(Conn.BodyRequested);
  Conn.BodyStatus = BodyState::Admitted;
  Conn.State = ConnectionState::Reading;
  Conn.StateStart = Loop.now();
  Conn.Socket.pauseReading(false);
  if (Conn.BodyComplete)
    return handleRequest(Conn);
  continueBody(Conn);
}

void CallerServer::refuseBody(CallerBodyId Id) {
  const auto Found = WaitingBodies.find(Id);
  if (Found != WaitingBodies.end())
    rejectRequest(Connections.at(Found->second), Admission->refusalReason());
}

void CallerServer::releaseBody(Connection &Conn) {
  Conn.Body = {};
  Conn.BodyRequested = 0;
  Conn.BodyStatus = BodyState::Admitted;
  Conn.BodyComplete = false;
  if (Conn.BodyId == CallerBodyId{})
    return;
  WaitingBodies.erase(Conn.BodyId);
  Admission->release(Conn.BodyId);
  Conn.BodyId = {};
}

void CallerServer::handleBytes(Connection &Conn, std::string_view Bytes) {
  switch (Conn.State) {
  case ConnectionState::Lingering:
    // A caller that is still sending may read its response only afterwards.
    if (const TimePoint Now = Loop.now();
        Now - Conn.LingerStart < Limits.BodyTimeout)
      Conn.StateStart = Now;
    return;
  case ConnectionState::Waiting: // one read may follow the pause
  case ConnectionState::Answering:
    Conn.Unparsed.append(Bytes);
    if (Conn.Unparsed.size() > MaxPipelinedBytes)
      Conn.Socket.pauseReading(true);
    return;
  case ConnectionState::Idle:
  case ConnectionState::Reading:
    Conn.Unparsed.append(Bytes);
    parseRequests(Conn);
  }
}

void CallerServer::parseRequests(Connection &Conn) {
  if (Conn.Parsing)
    return; // answer() was called within RequestArrived; the outer call goes on
  Conn.Parsing = true;
  while (!Conn.Unparsed.empty() && Conn.Socket.open() &&
         (Conn.State == ConnectionState::Idle ||
          Conn.State == ConnectionState::Reading)) {
    const bool HadHead = Conn.Parser.headComplete();
    if (Conn.State == ConnectionState::Idle) {
      Conn.State = ConnectionState::Reading;
      Conn.StateStart = Loop.now();
    }
    std::string Input;
    Input.swap(Conn.Unparsed);
    std::string_view Remaining = Input;
    const ParseOutcome Outcome = Conn.Parser.feed(Remaining);
    Conn.Unparsed = std::string(Remaining);
    if (Conn.OverLimit && Conn.Parser.headComplete())
      rejectRequest(Conn, ErrorKind::TooManyConnections);
    else if (Conn.BodyStatus == BodyState::TooLarge)
      rejectRequest(Conn, ErrorKind::TooLarge);
    else if (Conn.BodyStatus == BodyState::Refused)
      rejectRequest(Conn, Admission->refusalReason());
    else if (Outcome == ParseOutcome::TooLarge)
      rejectRequest(Conn, ErrorKind::HeadersTooLarge);
    else if (Outcome == ParseOutcome::Invalid)
      rejectRequest(Conn, ErrorKind::BadRequest);
    else if (Conn.BodyStatus == BodyState::Waiting) {
      Conn.BodyComplete = Outcome == ParseOutcome::Complete;
      waitForMemory(Conn);
    } else if (Outcome == ParseOutcome::Complete)
      handleRequest(Conn);
    else if (Conn.Parser.headComplete() && !HadHead) {
      Conn.StateStart = Loop.now();
      continueBody(Conn);
    }
  }
  Conn.Parsing = false;
}

void CallerServer::handleRequest(Connection &Conn) {
  const HttpHead &Head = Conn.Parser.head();
  Conn.State = ConnectionState::Answering;
  Conn.Exchange = static_cast<ExchangeId>(++LastExchange);
  Conn.KeepAlive = Head.KeepAlive;
  Conn.Http10 = Head.Http10;
  Conn.HeadRequest = Head.Method == "HEAD";
  Exchanges.emplace(Conn.Exchange, Conn.Id);
  static const auto NoBody = std::make_shared<const std::string>();
  CallerRequest Request{Conn.Exchange, Head, NoBody};
  if (Conn.BodyId != CallerBodyId{}) {
    Request.Body = {
        new std::string(std::move(Conn.Body)),
        [Id = Conn.BodyId, Owner = Admission](const std::string *Body) {
          delete Body;
          Owner->release(Id);
        }};
    Conn.BodyId = {};
  } else if (!Conn.Body.empty()) {
    Request.Body = std::make_shared<const std::string>(std::move(Conn.Body));
  }
  releaseBody(Conn);
  RequestArrived.emit(Request);
}

void CallerServer::rejectRequest(Connection &Conn, ErrorKind Reason) {
  Conn.State = ConnectionState::Answering;
  Conn.Exchange = static_cast<ExchangeId>(++LastExchange);
  Conn.KeepAlive = false;
  Counters.Rejected += Reason == ErrorKind::TooManyConnections ? 1 : 0;
  Exchanges.emplace(Conn.Exchange, Conn.Id);
  releaseBody(Conn);
  RequestRejected.emit(Conn.Exchange, Conn.Parser.head(), Reason);
}

void CallerServer::handleClose(Connection &Conn) {
  const bool InExchange = Conn.State == ConnectionState::Answering;
  const ExchangeId Exchange = Conn.Exchange;
  retire(Conn);
  if (InExchange)
    CallerDisconnected.emit(Exchange);
}

CallerServer::Connection *CallerServer::find(ExchangeId Id) const {
  const auto Found = Exchanges.find(Id);
  if (Found == Exchanges.end())
    return nullptr;
  return Connections.find(Found->second);
}

bool CallerServer::closesAfterResponse(const Connection &Conn) const {
  return KeepAliveDisabled && Conn.Unparsed.empty();
}

CallerServer::Connection *CallerServer::queueHead(ExchangeId Id, int Status,
                                                  const HttpHeaders &Headers,
                                                  std::size_t BodySize) {
  Connection *Conn = find(Id);
  if (Conn == nullptr)
    return nullptr;
  Conn->KeepAlive = Conn->KeepAlive && !closesAfterResponse(*Conn);
  std::string Head;
  appendHead(Head, Status, Headers);
  Head += "Content-Length: " + std::to_string(BodySize) + "\r\n";
  if (!Conn->KeepAlive)
    Head += "Connection: close\r\n";
  Head += "\r\n";
  Conn->Socket.queue(Head);
  return Conn;
}

void CallerServer::answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
                          std::string_view Body) {
  Connection *Conn = queueHead(Id, Status, Headers, Body.size());
  if (Conn == nullptr)
    return;
  if (!Conn->HeadRequest)
    Conn->Socket.queue(Body);
  Conn->Socket.flush();
  finishExchange(*Conn);
}

void CallerServer::answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
                          const std::shared_ptr<const std::string> &Body) {
  Connection *Conn = queueHead(Id, Status, Headers, Body->size());
  if (Conn == nullptr)
    return;
  if (!Conn->HeadRequest)
    Conn->Socket.queueShared(Body);
  Conn->Socket.flush();
  finishExchange(*Conn);
}

void CallerServer::beginResponse(ExchangeId Id, int Status,
                                 const HttpHeaders &Headers) {
  Connection *Conn = find(Id);
  if (Conn == nullptr)
    return;
  Conn->KeepAlive =
      Conn->KeepAlive && !closesAfterResponse(*Conn) && !Conn->Http10;
  std::string Head;
  appendHead(Head, Status, Headers);
  if (!Conn->Http10)
    Head += "Transfer-Encoding: chunked\r\n";
  if (!Conn->KeepAlive)
    Head += "Connection: close\r\n";
  Head += "\r\n";
  Conn->Socket.queue(Head);
}

std::size_t CallerServer::sendChunk(ExchangeId Id, std::string_view Bytes) {
  Connection *Conn = find(Id);
  if (Conn == nullptr || Bytes.empty())
    return 0;
  std::array<char, 20> Size{};
  const int Length =
      std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes.size());
  if (!Conn->Http10)
    Conn->Socket.queue({Size.data(), static_cast<std::size_t>(Length)});
  Conn->Socket.queue(Bytes);
  if (!Conn->Http10)
    Conn->Socket.queue("\r\n");
  Conn->Socket.flush();
  return Conn->Socket.unsent();
}

void CallerServer::endResponse(ExchangeId Id) {
  Connection *Conn = find(Id);
  if (Conn == nullptr)
    return;
  if (!Conn->Http10)
    Conn->Socket.queue("0\r\n\r\n");
  Conn->Socket.flush();
  finishExchange(*Conn);
}

void CallerServer::abort(ExchangeId Id) {
  if (Connection *Conn = find(Id))
    abort(*Conn);
}

void CallerServer::abortAll() {
  std::vector<Connection *> InExchange;
  for (const auto &[Exchange, Id] : Exchanges)
    InExchange.push_back(&Connections.at(Id));
  for (Connection *Conn : InExchange)
    abort(*Conn);
}

void CallerServer::abort(Connection &Conn) {
  // An orderly close would end a response without chunks as complete.
  if (Conn.Http10)
    Conn.Socket.reset();
  retire(Conn);
}

void CallerServer::finishExchange(Connection &Conn) {
  Exchanges.erase(Conn.Exchange);
  Conn.Exchange = {};
  Conn.StateStart = Loop.now();
  if (!Conn.KeepAlive) {
    Conn.State = ConnectionState::Lingering;
    Conn.LingerStart = Conn.StateStart;
    if (Conn.Socket.unsent() == 0)
      lingerThenClose(Conn);
    return;
  }
  Conn.State = ConnectionState::Idle;
  Conn.Parser.reset();
  Conn.Socket.pauseReading(false);
  if (Conn.Unparsed.empty() || Conn.Parsing)
    return;
  Loop.defer([this, Id = Conn.Id]() {
    if (Connection *Found = Connections.find(Id))
      parseRequests(*Found);
  });
}

void CallerServer::handleDrained(Connection &Conn) {
  if (Conn.State == ConnectionState::Idle)
    Conn.StateStart = Loop.now();
  if (Conn.State == ConnectionState::Lingering)
    lingerThenClose(Conn);
}

void CallerServer::lingerThenClose(Connection &Conn) {
  Conn.StateStart = Loop.now();
  Conn.Socket.pauseReading(false);
  Conn.Socket.shutdownWrite();
}

void CallerServer::retire(Connection &Conn) {
  Exchanges.erase(Conn.Exchange);
  releaseBody(Conn);
  Conn.Socket.close();
  Connections.retire(Conn.Id);
  Accepts.resume();
}

bool CallerServer::busy() const {
  return std::any_of(Connections.begin(), Connections.end(),
                     [](const auto &Entry) {
                       return Entry.second->State != ConnectionState::Idle ||
                              Entry.second->Socket.unsent() != 0;
                     });
}

void CallerServer::rejectIncompleteRequests(ErrorKind Reason) {
  std::vector<Connection *> Reading;
  for (const auto &[Id, Conn] : Connections)
    if (Conn->State == ConnectionState::Reading)
      Reading.push_back(Conn.get());
  for (Connection *Conn : Reading)
    if (Conn->State == ConnectionState::Reading)
      rejectRequest(*Conn, Reason);
}

std::size_t CallerServer::unsentBytes() const {
  std::size_t Bytes = 0;
  for (const auto &[Id, Conn] : Connections)
    Bytes += Conn->Socket.unsent();
  return Bytes;
}

void CallerServer::disableKeepAlive() { KeepAliveDisabled = true; }

void CallerServer::closeIdleConnections() {
  std::vector<Connection *> Idle;
  for (const auto &[Id, Conn] : Connections)
    if (Conn->State == ConnectionState::Idle && Conn->Unparsed.empty())
      Idle.push_back(Conn.get());
  for (Connection *Conn : Idle)
    if (Conn->Socket.unsent() == 0)
      retire(*Conn);
    else
      Conn->State = ConnectionState::Lingering;
}

/// Ends connections to callers that are unreachable, that read nothing, or that
/// read more slowly than the memory for all of them allows.
void CallerServer::dropUnresponsive() {
  struct Drop {
    ConnectionId Id{};
    std::string_view Why{};
  };
  const TimePoint Now = Loop.now();
  const Duration MaxUnread = std::max(Limits.IdleTimeout, MaxCallerSilence);
  std::vector<Drop> Drops;
  std::vector<Connection *> Slow; // by what they have yet to read
  std::size_t Unsent = 0;
  for (const auto &[Id, Conn] : Connections) {
    const bool Waiting = Conn->Socket.unsent() != 0;
    if (!Waiting && Conn->State != ConnectionState::Answering)
      continue;
    const SilentTime Silence = Conn->Socket.peerSilence();
    if (!Silence.MayBeAlive && Silence.Time > MaxCallerSilence) {
      Drops.push_back({Id, "unreachable"});
    } else if (Silence.Time > MaxUnread ||
               (Waiting && Now - Conn->Socket.lastProgress() > MaxUnread)) {
      Drops.push_back({Id, "reads nothing"});
    } else if (Waiting) {
      Unsent += Conn->Socket.unsent();
      Slow.push_back(Conn.get());
    }
  }
  std::sort(Slow.begin(), Slow.end(),
            [](const Connection *Left, const Connection *Right) {
              return Left->Socket.unsent() > Right->Socket.unsent();
            });
  for (const Connection *Conn : Slow) {
    if (Unsent <= Limits.MaxUnsentBytes)
      break;
    Unsent -= Conn->Socket.unsent();
    Drops.push_back({Conn->Id, "reads too slowly"});
  }
  for (const Drop &Each : Drops) {
    Connection *Conn = Connections.find(Each.Id);
    if (Conn == nullptr)
      continue; // closed by the end of another exchange
    LogLine("caller_dropped", LogLevel::Warning)
        .with("why", Each.Why)
        .with("unsent", static_cast<std::int64_t>(Conn->Socket.unsent()));
    Conn->Socket.reset(); // what it has received is not complete
    handleClose(*Conn);
  }
}

void CallerServer::closeTimedOut() {
  dropUnresponsive();
  const TimePoint Now = Loop.now();
  std::vector<Connection *> TimedOut;
  for (const auto &[Id, Conn] : Connections) {
    if (Conn->State == ConnectionState::Waiting) {
      if (Conn->Socket.peerClosed())
        TimedOut.push_back(Conn.get());
      continue; // whoever admits it bounds its wait
    }
    const Duration Age = Now - Conn->StateStart;
    const bool InBody = Conn->Parser.headComplete();
    const Duration Limit =
        Conn->State == ConnectionState::Idle        ? Limits.IdleTimeout
        : Conn->State == ConnectionState::Lingering ? LingerTime
        : InBody                                    ? Limits.BodyTimeout
                                                    : Limits.HeaderTimeout;
    // Ends by dropUnresponsive().
    const bool Sending =
        Conn->State != ConnectionState::Reading && Conn->Socket.unsent() != 0;
    if (Conn->State != ConnectionState::Answering && !Sending && Age > Limit)
      TimedOut.push_back(Conn.get());
  }
  for (Connection *Conn : TimedOut) {
    if (Conn->State == ConnectionState::Reading)
      rejectRequest(*Conn, ErrorKind::RequestTimeout);
    else
      retire(*Conn);
  }
}

} // namespace marjorambay
