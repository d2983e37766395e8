/// Tests of HttpServer and HttpClient against each other and raw sockets.
#include "loop_fixture.h"
#include "raw_peer.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace marjorambay;

namespace {

/// A caller that sends raw bytes.
class RawCaller {
public:
  explicit RawCaller(std::uint16_t Port) : Fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    inet_pton(AF_INET, "127.0.0.1", &Address.sin_addr);
    REQUIRE(connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0);
    fcntl(Fd, F_SETFL, O_NONBLOCK);
  }
  ~RawCaller() { close(); }
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;

  void send(std::string_view Bytes) const {
    REQUIRE(::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  /// Reads available bytes; returns true once the server has closed the
  /// connection.
  bool ended() {
    std::array<char, 4096> Buffer;
    const ssize_t Length = recv(Fd, Buffer.data(), Buffer.size(), 0);
    if (Length > 0)
      Received.append(Buffer.data(), static_cast<std::size_t>(Length));
    return Length == 0 || (Length < 0 && errno == ECONNRESET);
  }
  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }

  std::string Received{};

private:
  int Fd;
};

struct HttpFixture : LoopFixture {
  explicit HttpFixture(HttpServerLimits Limits = {})
      : Server(Loop, Timers, Limits), Client(Loop, Timers) {
    const auto Bound = Server.listen("127.0.0.1", 0);
    REQUIRE(ok(Bound));
    Port = value(Bound);
    Server.CallerDisconnected.connect([this](ExchangeId) { ++Disconnects; });
  }

  HttpCall callTo(std::string Path) const {
    HttpCall Call;
    Call.Address = "127.0.0.1";
    Call.Port = Port;
    Call.Path = std::move(Path);
    return Call;
  }

  /// Makes a call and returns its status; 0 unless the response is complete.
  int fetch(HttpCall Call) {
    bool Finished = false;
    int Status = 0;
    Client.fetch(std::move(Call),
                 [&](int ReceivedStatus, const HttpResponseView &,
                     const std::string &Body, CallOutcome Result) {
                   Status = ReceivedStatus;
                   ResponseBody = Body;
                   Outcome = Result;
                   Finished = true;
                 });
    runUntil([&Finished]() { return Finished; });
    return Status;
  }

  HttpServer Server;
  HttpClient Client;
  std::uint16_t Port = 0;
  int Disconnects = 0;
  std::string ResponseBody{};
  CallOutcome Outcome = CallOutcome::Complete;
};

HttpServerLimits tightLimits() {
  HttpServerLimits Limits;
  Limits.MaxHeaderBytes = 1024;
  Limits.MaxBodyBytes = 1000;
  Limits.MaxConnections = 2;
  Limits.IdleTimeout = milliseconds(200);
  Limits.RequestTimeout = milliseconds(400);
  Limits.StallTimeout = milliseconds(200);
  return Limits;
}

const std::string GetRequest = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/// More than the limits of a connection and the kernel's buffers.
constexpr std::size_t MaxEndlessBytes = 16 << 20;

/// Sends \p Piece again and again. Returns whether \p Ended became true before
/// MaxEndlessBytes were sent.
bool endsWhileReceiving(LoopFixture &Fixture, RawConnection &Peer,
                        const std::string &Piece,
                        const std::function<bool()> &Ended) {
  std::size_t Sent = 0;
  std::string_view Remaining = Piece;
  Fixture.runUntil([&]() {
    const ssize_t Taken = Peer.sendSome(Remaining);
    const auto Count = static_cast<std::size_t>(std::max<ssize_t>(Taken, 0));
    Sent += Count;
    Remaining.remove_prefix(Count);
    if (Remaining.empty())
      Remaining = Piece;
    return Ended() || Sent > MaxEndlessBytes;
  });
  return Ended();
}

// Guards against a host that runs out of memory because a target never stops
// sending.
TEST_CASE_FIXTURE(LoopFixture, "a target whose response never ends") {
  HttpClient Client(Loop, Timers);
  const RawListener Listener;
  bool Ended = false;
  HttpCall Call;
  Call.Address = "127.0.0.1";
  Call.Port = Listener.port();
  Call.Path = "/a";
  Call.MaxBodyBytes = 1 << 20;
  Client.fetch(std::move(Call), [&](int, const HttpResponseView &,
                                    const std::string &, CallOutcome Outcome) {
    Ended = true;
    CHECK(Outcome != CallOutcome::Complete);
  });
  int Descriptor = -1;
  runUntil([&]() {
    Descriptor = Listener.accept();
    return Descriptor >= 0;
  });
  RawConnection Target(Descriptor);
  runUntil([&]() { return !Target.received().empty(); });
  const std::string ChunkedHead =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string Piece(16 << 10, 'x');
  SUBCASE("in its first line") {}
  SUBCASE("in a header") { Target.send("HTTP/1.1 200 OK\r\nX-Long: "); }
  SUBCASE("in its body") { Target.send("HTTP/1.1 200 OK\r\n\r\n"); }
  SUBCASE("in its chunks") {
    Target.send(ChunkedHead);
    Piece = "4000\r\n" + Piece + "\r\n";
  }
  SUBCASE("in the extension of a chunk") { Target.send(ChunkedHead + "1;"); }
  SUBCASE("in a trailer") { Target.send(ChunkedHead + "0\r\nX-Long: "); }
  CHECK(endsWhileReceiving(*this, Target, Piece, [&]() { return Ended; }));
}

// Guards against the same with a caller.
TEST_CASE("a caller whose request never ends") {
  HttpServerLimits Limits;
  Limits.MaxBodyBytes = 1 << 20;
  Limits.RequestTimeout = seconds(3);
  HttpFixture Fixture(Limits);
  RawConnection Caller(RawConnection::connectTo(Fixture.Port));
  const std::string ChunkedHead =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string Piece(64 << 10, 'x');
  SUBCASE("in its path") { Caller.send("GET /"); }
  SUBCASE("in a header") { Caller.send("GET /a HTTP/1.1\r\nX-Long: "); }
  SUBCASE("in its chunks") {
    Caller.send(ChunkedHead);
    Piece = "10000\r\n" + Piece + "\r\n";
  }
  SUBCASE("in the extension of a chunk") { Caller.send(ChunkedHead + "1;"); }
  SUBCASE("in a trailer") { Caller.send(ChunkedHead + "0\r\nX-Long: "); }
  CHECK(endsWhileReceiving(Fixture, Caller, Piece, [&]() {
    return Caller.ended() || Caller.wasReset();
  }));
}

} // namespace

TEST_CASE("a call reaches the server and gets its response") {
  HttpFixture Test;
  SUBCASE("with all parts of the request and response") {
    Test.Server.RequestArrived.connect([&](const HttpRequestView &View) {
      CHECK(View.Method == "POST");
      CHECK(View.Path == "/a/b");
      CHECK(View.Query == "c=d");
      CHECK(View.Body == "body");
      CHECK(View.header("x-one") == "1");
      CHECK(View.endToEndHeaders().size() == 1);
      Test.Server.answer(View.Id, 201, {{"X-Two", "2"}}, "answer");
    });
    HttpCall Call = Test.callTo("/a/b?c=d");
    Call.Method = "POST";
    Call.Body = "body";
    Call.Headers = {{"X-One", "1"}};
    CHECK(Test.fetch(Call) == 201);
    CHECK(Test.ResponseBody == "answer");
    CHECK(Test.Server.exchanges() == 0);
  }
  SUBCASE("in chunks") {
    Test.Server.RequestArrived.connect([&](const HttpRequestView &View) {
      Test.Server.beginResponse(View.Id, 200, {});
      Test.Server.sendChunk(View.Id, "one,");
      Test.Server.sendChunk(View.Id, "two");
      Test.Server.endResponse(View.Id);
    });
    CHECK(Test.fetch(Test.callTo("/")) == 200);
    CHECK(Test.ResponseBody == "one,two");
  }
  SUBCASE("aborted midway, which is not reported as complete") {
    Test.Server.RequestArrived.connect([&](const HttpRequestView &View) {
      Test.Server.beginResponse(View.Id, 200, {});
      Test.Server.sendChunk(View.Id, "one,");
    });
    std::optional<ExchangeId> Exchange;
    Test.Server.RequestArrived.connect(
        [&](const HttpRequestView &View) { Exchange = View.Id; });
    const auto Cut = Test.Timers.every(milliseconds(5), [&]() {
      if (Exchange)
        Test.Server.abort(*Exchange);
    });
    CHECK(Test.fetch(Test.callTo("/")) == 0);
    CHECK(Test.Outcome == CallOutcome::ConnectionLost);
  }
}

TEST_CASE("a call to an address of IPv6") {
  HttpFixture Test;
  HttpServer Server(Test.Loop, Test.Timers, {});
  const auto Bound = Server.listen("::1", 0);
  if (!ok(Bound)) {
    MESSAGE("no IPv6 on this machine: not run");
    return;
  }
  Server.RequestArrived.connect([&](const HttpRequestView &View) {
    Server.answer(View.Id, 200, {}, View.header("Host"));
  });
  HttpCall Call = Test.callTo("/");
  Call.Address = "::1";
  Call.Port = value(Bound);
  CHECK(Test.fetch(Call) == 200);
  CHECK(Test.ResponseBody == "[::1]:" + std::to_string(value(Bound)));
}

TEST_CASE("the outcome of a call says whether it may have been executed") {
  HttpFixture Test;
  SUBCASE("no listener: not sent") {
    Test.Server.stopListening();
    CHECK(Test.fetch(Test.callTo("/")) == 0);
    CHECK(Test.Outcome == CallOutcome::NotSent);
  }
  SUBCASE("the target closes after reading: connection lost") {
    Test.Server.RequestArrived.connect(
        [&](const HttpRequestView &View) { Test.Server.abort(View.Id); });
    CHECK(Test.fetch(Test.callTo("/")) == 0);
    CHECK(Test.Outcome == CallOutcome::ConnectionLost);
  }
  SUBCASE("the target does not respond: timed out") {
    HttpCall Call = Test.callTo("/");
    Call.ResponseTimeout = milliseconds(100);
    CHECK(Test.fetch(Call) == 0);
    CHECK(Test.Outcome == CallOutcome::TimedOut);
  }
  SUBCASE("the call is cancelled: the server sees the disconnect") {
    bool Arrived = false;
    Test.Server.RequestArrived.connect(
        [&](const HttpRequestView &) { Arrived = true; });
    HttpCall Call = Test.callTo("/");
    Call.OnHeaders = [](CallId, const HttpResponseView &) {};
    Call.OnBytes = [](CallId, std::string_view) {};
    Call.OnEnd = [](CallId, CallOutcome) { FAIL("no end after cancel()"); };
    const CallId Id = Test.Client.start(Call);
    Test.runUntil([&]() { return Arrived; });
    Test.Client.cancel(Id);
    Test.runUntil([&]() { return Test.Disconnects == 1; });
    CHECK(Test.Client.calls() == 0);
    CHECK(Test.Server.exchanges() == 0);
  }
}

TEST_CASE("a caller disconnects while its response is in progress") {
  HttpFixture Test;
  std::optional<ExchangeId> Exchange;
  Test.Server.RequestArrived.connect(
      [&](const HttpRequestView &View) { Exchange = View.Id; });
  RawCaller Caller(Test.Port);
  Caller.send(GetRequest);
  Test.runUntil([&]() { return Exchange.has_value(); });
  SUBCASE("before the response begins") {}
  SUBCASE("in the middle of a stream") {
    Test.Server.beginResponse(*Exchange, 200, {});
    Test.Server.sendChunk(*Exchange, "some");
  }
  Caller.close();
  Test.runUntil([&]() { return Test.Disconnects == 1; });
  CHECK(Test.Server.exchanges() == 0);
  Test.Server.sendChunk(*Exchange,
                        "late"); // ignored, as the exchange has ended
  Test.Server.endResponse(*Exchange);
}

TEST_CASE("a caller exceeds a limit") {
  HttpFixture Test(tightLimits());
  Test.Server.RequestArrived.connect([&](const HttpRequestView &View) {
    const bool OverLimit = View.OverConnectionLimit;
    Test.Server.answer(View.Id, OverLimit ? 503 : 200, {}, "x");
  });
  SUBCASE("with headers that are too long") {
    RawCaller Caller(Test.Port);
    Caller.send("GET / HTTP/1.1\r\nA: " + std::string(5000, 'a') + "\r\n\r\n");
    Test.runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.Received.find("200") == std::string::npos);
  }
  SUBCASE("with a body that is too long") {
    RawCaller Caller(Test.Port);
    Caller.send("POST / HTTP/1.1\r\nContent-Length: 999999\r\n\r\nabc");
    Test.runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.Received.find("413") != std::string::npos);
  }
  SUBCASE("with headers that never end") {
    RawCaller Caller(Test.Port);
    Caller.send("GET / HTTP/1.1\r\n");
    const auto Drip = Test.Timers.every(milliseconds(100), [&Caller]() {
      if (!Caller.ended())
        Caller.send("A: b\r\n");
    });
    Test.runUntil([&]() { return Test.Server.connections() == 0; });
  }
  SUBCASE("with an idle connection") {
    RawCaller Caller(Test.Port);
    Test.runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.Received.empty());
  }
  SUBCASE("with too many connections, of which the last gets an error") {
    RawCaller First(Test.Port);
    RawCaller Second(Test.Port);
    Test.runUntil([&]() { return Test.Server.connections() == 2; });
    RawCaller Third(Test.Port);
    Test.runUntil([&]() { return Test.Server.connections() == 3; });
    Third.send(GetRequest);
    Test.runUntil([&]() { return Third.ended(); });
    CHECK(Third.Received.find("503") != std::string::npos);
  }
  SUBCASE("with a malformed request line") {
    RawCaller Caller(Test.Port);
    Caller.send("nonsense\r\n\r\n");
    Test.runUntil([&]() { return Caller.ended(); });
    CHECK(Test.Server.exchanges() == 0);
  }
}

TEST_CASE("a caller that stops reading is disconnected") {
  HttpFixture Test(tightLimits());
  std::optional<ExchangeId> Exchange;
  std::size_t Unsent = 0;
  Test.Server.RequestArrived.connect([&](const HttpRequestView &View) {
    Exchange = View.Id;
    Test.Server.beginResponse(View.Id, 200, {});
  });
  RawCaller Caller(Test.Port);
  Caller.send(GetRequest);
  const std::string Buffer(100'000, 'x');
  const auto Pump = Test.Timers.every(milliseconds(1), [&]() {
    if (Exchange && Unsent < 1'000'000)
      Unsent = Test.Server.sendChunk(*Exchange, Buffer);
  });
  Test.runUntil([&]() { return Test.Disconnects == 1; });
  CHECK(Unsent >= 1'000'000);
  CHECK(Test.Server.exchanges() == 0);
}

TEST_CASE("a paused call receives the rest of the response when resumed") {
  HttpFixture Test;
  Test.Server.RequestArrived.connect([&](const HttpRequestView &View) {
    std::string Large;
    Large.resize(10'000'000, 'x');
    Test.Server.answer(View.Id, 200, {}, Large);
  });
  std::size_t Received = 0;
  bool Finished = false;
  std::optional<CallId> Running;
  HttpCall Call = Test.callTo("/");
  Call.OnHeaders = [](CallId, const HttpResponseView &) {};
  Call.OnBytes = [&](CallId Id, std::string_view Bytes) {
    Received += Bytes.size();
    if (!Running)
      Test.Client.pause(Id);
    Running = Id;
  };
  Call.OnEnd = [&](CallId, CallOutcome Result) {
    CHECK(Result == CallOutcome::Complete);
    Finished = true;
  };
  Test.Client.start(Call);
  Test.runUntil([&]() { return Running.has_value(); });
  bool Waited = false;
  const auto Pause =
      Test.Timers.once(milliseconds(50), [&Waited]() { Waited = true; });
  Test.runUntil([&Waited]() { return Waited; });
  CHECK(Received < 10'000'000);
  CHECK_FALSE(Finished);
  Test.Client.resume(*Running);
  Test.runUntil([&Finished]() { return Finished; });
  CHECK(Received == 10'000'000);
}
