/// Kept connections of callers.
#include "marjorambay/transport/caller_server.h"

#include <event2/event.h>

#include <array>
#include <cstdio>
#include <sys/socket.h>
#include <unistd.h>

namespace marjorambay {

namespace {

constexpr Duration SweepInterval = milliseconds(500);
/// A connection that closes waits this long for the caller to close first, so
/// that unread bytes don't reset the answer that is on its way.
constexpr Duration LingerTime = seconds(1);
/// Bytes of requests that are taken ahead of the one being answered.
constexpr std::size_t MaxAhead = 64 << 10;
constexpr int AcceptsPerTurn = 64;

enum class ConnectionState : std::uint8_t {
  Idle,      ///< no byte of a request yet
  Reading,   ///< part of a request is there
  Answering, ///< an exchange is in progress
  Lingering, ///< the last answer is out
};

std::string_view reasonOf(int Status) {
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

void appendHead(std::string &Out, int Status, const HttpHeaders &Headers) {
  Out += "HTTP/1.1 ";
  Out += std::to_string(Status);
  Out += ' ';
  Out += reasonOf(Status);
  Out += "\r\n";
  for (const HttpHeader &Each : Headers) {
    Out += Each.Name;
    Out += ": ";
    Out += Each.Value;
    Out += "\r\n";
  }
}

} // namespace

struct CallerServer::Connection {
  Connection(EventLoop &Loop, std::size_t MaxHeaderBytes)
      : Socket(Loop), Parser(HttpRole::Requests, MaxHeaderBytes) {}

  ConnectionId Id{};
  StreamSocket Socket;
  Http1Parser Parser;
  ConnectionState State = ConnectionState::Idle;
  std::string Body{};
  std::string Ahead{}; ///< bytes that came while an answer was due
  bool BodyTooLarge = false;
  bool Parsing = false;
  ExchangeId Exchange{};
  bool KeepAlive = true; ///< after the exchange in progress
  bool Http10 = false;   ///< takes no chunks
  bool HeadRequest = false;
  TimePoint Since{}; ///< of the state; of the head's end while reading
};

CallerServer::CallerServer(EventLoop &Loop, TimerService &Timers,
                           CallerServerLimits Limits)
    : Loop(Loop), Limits(Limits), Connections(Loop),
      Sweeper(Timers.every(SweepInterval, [this]() { sweep(); })) {}

CallerServer::~CallerServer() { stopListening(); }

void CallerServer::stopListening() {
  Acceptable.reset();
  if (Listener >= 0)
    ::close(Listener);
  Listener = -1;
}

Result<std::uint16_t> CallerServer::listen(const SocketAddress &Address) {
  const Result<int> Made = listenAt(Address);
  if (!ok(Made))
    return error(Made);
  Listener = value(Made);
  Acceptable.reset(event_new(Loop.base(), Listener, EV_READ | EV_PERSIST,
                             &CallerServer::acceptable, this));
  event_add(Acceptable.get(), nullptr);
  return portOf(Listener);
}

void CallerServer::acceptable(int, short, void *Self) {
  static_cast<CallerServer *>(Self)->accept();
}

void CallerServer::accept() {
  for (int Turn = 0; Turn < AcceptsPerTurn; ++Turn) {
    const int Descriptor =
        accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Descriptor < 0)
      return;
    if (Connections.size() >= Limits.MaxConnections)
      ::close(Descriptor); // nothing was read, so nothing has run
    else
      add(Descriptor);
  }
}

void CallerServer::add(int Descriptor) {
  auto Made = std::make_unique<Connection>(Loop, Limits.MaxHeaderBytes);
  Connection &New = *Made;
  New.Id = static_cast<ConnectionId>(++LastConnection);
  New.Since = Loop.now();
  New.Parser.OnHead = [&New](const HttpHead &) { New.Body.clear(); };
  New.Parser.OnBody = [this, &New](std::string_view Bytes) {
    New.BodyTooLarge = New.BodyTooLarge ||
                       New.Body.size() + Bytes.size() > Limits.MaxBodyBytes;
    if (!New.BodyTooLarge)
      New.Body.append(Bytes);
  };
  New.Socket.OnBytes = [this, &New](std::string_view Bytes) {
    bytes(New, Bytes);
  };
  New.Socket.OnEnd = [this, &New](SocketEnd) { ended(New); };
  New.Socket.OnDrained = [this, &New]() {
    if (New.State == ConnectionState::Lingering)
      lingerThenClose(New);
  };
  Connections.emplace(New.Id, std::move(Made));
  New.Socket.adopt(Descriptor, SocketTimeouts{});
}

void CallerServer::bytes(Connection &From, std::string_view Bytes) {
  switch (From.State) {
  case ConnectionState::Lingering:
    return;
  case ConnectionState::Answering:
    From.Ahead.append(Bytes);
    if (From.Ahead.size() > MaxAhead)
      From.Socket.pauseReading(true);
    return;
  case ConnectionState::Idle:
  case ConnectionState::Reading:
    From.Ahead.append(Bytes);
    parse(From);
  }
}

void CallerServer::parse(Connection &From) {
  if (From.Parsing)
    return; // the answer to the last request was given within its signal
  From.Parsing = true;
  while (!From.Ahead.empty() && From.Socket.open() &&
         From.State != ConnectionState::Answering &&
         From.State != ConnectionState::Lingering) {
    const bool HeadBefore = From.Parser.headComplete();
    if (From.State == ConnectionState::Idle) {
      From.State = ConnectionState::Reading;
      From.Since = Loop.now();
    }
    std::string Input;
    Input.swap(From.Ahead);
    std::string_view Rest = Input;
    const ParseOutcome Outcome = From.Parser.feed(Rest);
    From.Ahead = std::string(Rest);
    if (From.BodyTooLarge)
      refuse(From, ErrorKind::TooLarge);
    else if (Outcome == ParseOutcome::TooLarge)
      refuse(From, ErrorKind::HeadersTooLarge);
    else if (Outcome == ParseOutcome::Invalid)
      refuse(From, ErrorKind::BadRequest);
    else if (Outcome == ParseOutcome::Complete)
      arrived(From);
    else if (From.Parser.headComplete() && !HeadBefore) {
      From.Since = Loop.now();
      if (equalsIgnoringCase(From.Parser.head().header("expect"),
                             "100-continue")) {
        From.Socket.queue("HTTP/1.1 100 Continue\r\n\r\n");
        From.Socket.flush();
      }
    }
  }
  From.Parsing = false;
}

void CallerServer::arrived(Connection &From) {
  const HttpHead &Head = From.Parser.head();
  From.State = ConnectionState::Answering;
  From.Exchange = static_cast<ExchangeId>(++LastExchange);
  From.KeepAlive = Head.KeepAlive;
  From.Http10 = !Head.KeepAlive && Head.header("host").empty();
  From.HeadRequest = Head.Method == "HEAD";
  Exchanges.emplace(From.Exchange, From.Id);
  CallerRequest Request{From.Exchange, Head, From.Body};
  RequestArrived.emit(Request);
}

void CallerServer::refuse(Connection &From, ErrorKind Why) {
  From.State = ConnectionState::Answering;
  From.Exchange = static_cast<ExchangeId>(++LastExchange);
  From.KeepAlive = false;
  Exchanges.emplace(From.Exchange, From.Id);
  RequestRejected.emit(From.Exchange, From.Parser.head(), Why);
}

void CallerServer::ended(Connection &Which) {
  const bool Cut = Which.State == ConnectionState::Answering;
  const ExchangeId Exchange = Which.Exchange;
  retire(Which);
  if (Cut)
    CallerDisconnected.emit(Exchange);
}

CallerServer::Connection *CallerServer::find(ExchangeId Id) const {
  const auto Place = Exchanges.find(Id);
  if (Place == Exchanges.end())
    return nullptr;
  return Connections.find(Place->second);
}

void CallerServer::answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
                          std::string_view Body) {
  Connection *To = find(Id);
  if (To == nullptr)
    return;
  To->KeepAlive = To->KeepAlive && !Closing;
  std::string Head;
  appendHead(Head, Status, Headers);
  Head += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  if (!To->KeepAlive)
    Head += "Connection: close\r\n";
  Head += "\r\n";
  To->Socket.queue(Head);
  if (!To->HeadRequest)
    To->Socket.queue(Body);
  To->Socket.flush();
  finished(*To);
}

void CallerServer::beginResponse(ExchangeId Id, int Status,
                                 const HttpHeaders &Headers) {
  Connection *To = find(Id);
  if (To == nullptr)
    return;
  To->KeepAlive = To->KeepAlive && !Closing && !To->Http10;
  std::string Head;
  appendHead(Head, Status, Headers);
  if (!To->Http10)
    Head += "Transfer-Encoding: chunked\r\n";
  if (!To->KeepAlive)
    Head += "Connection: close\r\n";
  Head += "\r\n";
  To->Socket.queue(Head);
}

std::size_t CallerServer::sendChunk(ExchangeId Id, std::string_view Bytes) {
  Connection *To = find(Id);
  if (To == nullptr || Bytes.empty())
    return 0;
  std::array<char, 20> Size{};
  const int Length =
      std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes.size());
  if (!To->Http10)
    To->Socket.queue({Size.data(), static_cast<std::size_t>(Length)});
  To->Socket.queue(Bytes);
  if (!To->Http10)
    To->Socket.queue("\r\n");
  To->Socket.flush();
  return To->Socket.unsent();
}

void CallerServer::endResponse(ExchangeId Id) {
  Connection *To = find(Id);
  if (To == nullptr)
    return;
  if (!To->Http10)
    To->Socket.queue("0\r\n\r\n");
  To->Socket.flush();
  finished(*To);
}

void CallerServer::abort(ExchangeId Id) {
  if (Connection *To = find(Id))
    retire(*To);
}

void CallerServer::finished(Connection &Which) {
  Exchanges.erase(Which.Exchange);
  Which.Exchange = {};
  Which.Since = Loop.now();
  Which.Body = {};
  Which.BodyTooLarge = false;
  if (!Which.KeepAlive) {
    Which.State = ConnectionState::Lingering;
    if (Which.Socket.unsent() == 0)
      lingerThenClose(Which);
    return;
  }
  Which.State = ConnectionState::Idle;
  Which.Parser.restart();
  Which.Socket.pauseReading(false);
  if (Which.Ahead.empty() || Which.Parsing)
    return;
  Loop.defer([this, Id = Which.Id]() {
    if (Connection *Found = Connections.find(Id))
      parse(*Found);
  });
}

void CallerServer::lingerThenClose(Connection &Which) {
  Which.Socket.pauseReading(false);
  Which.Socket.finishWriting();
}

void CallerServer::retire(Connection &Which) {
  Exchanges.erase(Which.Exchange);
  Which.Socket.close();
  Connections.retire(Which.Id);
}

void CallerServer::disableKeepAlive() { Closing = true; }

void CallerServer::closeIdleConnections() {
  std::vector<Connection *> Idle;
  for (const auto &[Id, Each] : Connections)
    if (Each->State == ConnectionState::Idle)
      Idle.push_back(Each.get());
  for (Connection *Each : Idle)
    retire(*Each);
}

void CallerServer::sweep() {
  const TimePoint Now = Loop.now();
  std::vector<Connection *> Late;
  for (const auto &[Id, Each] : Connections) {
    const Duration Age = Now - Each->Since;
    const bool InBody = Each->Parser.headComplete();
    const Duration Limit =
        Each->State == ConnectionState::Idle        ? Limits.IdleTimeout
        : Each->State == ConnectionState::Lingering ? LingerTime
        : InBody                                    ? Limits.BodyTimeout
                                                    : Limits.HeaderTimeout;
    if (Each->State != ConnectionState::Answering && Age > Limit)
      Late.push_back(Each.get());
  }
  for (Connection *Each : Late) {
    if (Each->State == ConnectionState::Reading)
      refuse(*Each, ErrorKind::RequestTimeout);
    else
      retire(*Each);
  }
}

} // namespace marjorambay
