/// Tests of the HTTP server and client against each other and raw sockets.
#include "loop_fixture.h"

#include <event2/buffer.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace marjorambay;

namespace {

/// A caller that speaks raw bytes.
class RawCaller {
public:
  explicit RawCaller(std::uint16_t Port) : Fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Where{};
    Where.sin_family = AF_INET;
    Where.sin_port = htons(Port);
    inet_pton(AF_INET, "127.0.0.1", &Where.sin_addr);
    REQUIRE(connect(Fd, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) ==
            0);
    fcntl(Fd, F_SETFL, O_NONBLOCK);
  }
  ~RawCaller() { close(); }
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;

  void send(std::string_view Bytes) const {
    REQUIRE(::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  /// Reads what is there; true once the server has closed the connection.
  bool ended() {
    std::array<char, 4096> Piece;
    const ssize_t Length = recv(Fd, Piece.data(), Piece.size(), 0);
    if (Length > 0)
      Got.append(Piece.data(), static_cast<std::size_t>(Length));
    return Length == 0 || (Length < 0 && errno == ECONNRESET);
  }
  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }

  std::string Got{};

private:
  int Fd;
};

struct HttpFixture : LoopFixture {
  explicit HttpFixture(HttpServerLimits Limits = {})
      : Server(Loop, Timers, Limits), Client(Loop) {
    const auto Bound = Server.listen("127.0.0.1", 0);
    REQUIRE(ok(Bound));
    Port = value(Bound);
    Server.CallerDisconnected.connect([this](ExchangeId) { ++Gone; });
  }

  HttpCall callTo(std::string Path) const {
    HttpCall Call;
    Call.Address = "127.0.0.1";
    Call.Port = Port;
    Call.Path = std::move(Path);
    return Call;
  }

  /// Makes a call and returns its status; 0 unless the answer is whole.
  int fetch(HttpCall Call) {
    bool Over = false;
    int Status = 0;
    Client.fetch(std::move(Call),
                 [&](int Known, const HttpResponseView &,
                     const std::string &Body, CallOutcome How) {
                   Status = Known;
                   Answer = Body;
                   End = How;
                   Over = true;
                 });
    runUntil([&Over]() { return Over; });
    return Status;
  }

  HttpServer Server;
  HttpClient Client;
  std::uint16_t Port = 0;
  int Gone = 0;
  std::string Answer{};
  CallOutcome End = CallOutcome::Complete;
};

HttpServerLimits tight() {
  HttpServerLimits Limits;
  Limits.MaxHeaderBytes = 1024;
  Limits.MaxBodyBytes = 1000;
  Limits.MaxConnections = 2;
  Limits.IdleTimeout = milliseconds(200);
  Limits.RequestTimeout = milliseconds(400);
  Limits.StallTimeout = milliseconds(200);
  return Limits;
}

const std::string Get = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

TEST_CASE("a call reaches the server and comes back") {
  HttpFixture Test;
  SUBCASE("whole, with its parts") {
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
    Call.BodyText = "body";
    Call.Headers = {{"X-One", "1"}};
    CHECK(Test.fetch(Call) == 201);
    CHECK(Test.Answer == "answer");
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
    CHECK(Test.Answer == "one,two");
  }
  SUBCASE("cut in the middle, which is not taken for whole") {
    Test.Server.RequestArrived.connect([&](const HttpRequestView &View) {
      Test.Server.beginResponse(View.Id, 200, {});
      Test.Server.sendChunk(View.Id, "one,");
    });
    std::optional<ExchangeId> Open;
    Test.Server.RequestArrived.connect(
        [&](const HttpRequestView &View) { Open = View.Id; });
    const auto Cut = Test.Timers.every(milliseconds(5), [&]() {
      if (Open)
        Test.Server.abort(*Open);
    });
    CHECK(Test.fetch(Test.callTo("/")) == 0);
    CHECK(Test.End == CallOutcome::ConnectionLost);
  }
}

TEST_CASE("a call is told apart by whether it may have run") {
  HttpFixture Test;
  SUBCASE("nobody listens: not sent") {
    Test.Server.stopListening();
    CHECK(Test.fetch(Test.callTo("/")) == 0);
    CHECK(Test.End == CallOutcome::NotSent);
  }
  SUBCASE("the target closes after it has read: broken") {
    Test.Server.RequestArrived.connect(
        [&](const HttpRequestView &View) { Test.Server.abort(View.Id); });
    CHECK(Test.fetch(Test.callTo("/")) == 0);
    CHECK(Test.End == CallOutcome::ConnectionLost);
  }
  SUBCASE("the target says nothing: timed out") {
    HttpCall Call = Test.callTo("/");
    Call.IdleTimeout = milliseconds(100);
    CHECK(Test.fetch(Call) == 0);
    CHECK(Test.End == CallOutcome::TimedOut);
  }
  SUBCASE("the caller of the call cancels it: the server sees it go") {
    bool Arrived = false;
    Test.Server.RequestArrived.connect(
        [&](const HttpRequestView &) { Arrived = true; });
    HttpCall Call = Test.callTo("/");
    Call.OnHeaders = [](CallId, const HttpResponseView &) {};
    Call.OnBytes = [](CallId, evbuffer *) {};
    Call.OnEnd = [](CallId, CallOutcome) { FAIL("no end after cancel()"); };
    const CallId Id = Test.Client.start(Call);
    Test.runUntil([&]() { return Arrived; });
    Test.Client.cancel(Id);
    Test.runUntil([&]() { return Test.Gone == 1; });
    CHECK(Test.Client.calls() == 0);
    CHECK(Test.Server.exchanges() == 0);
  }
}

TEST_CASE("a caller goes away while its answer is made") {
  HttpFixture Test;
  std::optional<ExchangeId> Open;
  Test.Server.RequestArrived.connect(
      [&](const HttpRequestView &View) { Open = View.Id; });
  RawCaller Caller(Test.Port);
  Caller.send(Get);
  Test.runUntil([&]() { return Open.has_value(); });
  SUBCASE("before the answer begins") {}
  SUBCASE("in the middle of a stream") {
    Test.Server.beginResponse(*Open, 200, {});
    Test.Server.sendChunk(*Open, "some");
  }
  Caller.close();
  Test.runUntil([&]() { return Test.Gone == 1; });
  CHECK(Test.Server.exchanges() == 0);
  Test.Server.sendChunk(*Open, "late"); // an ended exchange takes no more
  Test.Server.endResponse(*Open);
}

TEST_CASE("a caller strains a limit") {
  HttpFixture Test(tight());
  Test.Server.RequestArrived.connect([&](const HttpRequestView &View) {
    const bool Over = View.OverConnectionLimit;
    Test.Server.answer(View.Id, Over ? 503 : 200, {}, "x");
  });
  SUBCASE("with headers that are too long") {
    RawCaller Caller(Test.Port);
    Caller.send("GET / HTTP/1.1\r\nA: " + std::string(5000, 'a') + "\r\n\r\n");
    Test.runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.Got.find("200") == std::string::npos);
  }
  SUBCASE("with a body that is too long") {
    RawCaller Caller(Test.Port);
    Caller.send("POST / HTTP/1.1\r\nContent-Length: 999999\r\n\r\nabc");
    Test.runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.Got.find("413") != std::string::npos);
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
  SUBCASE("with silence on a connection") {
    RawCaller Caller(Test.Port);
    Test.runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.Got.empty());
  }
  SUBCASE("with too many connections, of which the last is told so") {
    RawCaller First(Test.Port);
    RawCaller Second(Test.Port);
    Test.runUntil([&]() { return Test.Server.connections() == 2; });
    RawCaller Third(Test.Port);
    Test.runUntil([&]() { return Test.Server.connections() == 3; });
    Third.send(Get);
    Test.runUntil([&]() { return Third.ended(); });
    CHECK(Third.Got.find("503") != std::string::npos);
  }
  SUBCASE("with a broken request line") {
    RawCaller Caller(Test.Port);
    Caller.send("nonsense\r\n\r\n");
    Test.runUntil([&]() { return Caller.ended(); });
    CHECK(Test.Server.exchanges() == 0);
  }
}

TEST_CASE("a caller stops reading and is cut") {
  HttpFixture Test(tight());
  std::optional<ExchangeId> Open;
  std::size_t Waiting = 0;
  Test.Server.RequestArrived.connect([&](const HttpRequestView &View) {
    Open = View.Id;
    Test.Server.beginResponse(View.Id, 200, {});
  });
  RawCaller Caller(Test.Port);
  Caller.send(Get);
  const std::string Piece(100'000, 'x');
  const auto Pump = Test.Timers.every(milliseconds(1), [&]() {
    if (Open && Waiting < 1'000'000)
      Waiting = Test.Server.sendChunk(*Open, Piece);
  });
  Test.runUntil([&]() { return Test.Gone == 1; });
  CHECK(Waiting >= 1'000'000);
  CHECK(Test.Server.exchanges() == 0);
}

TEST_CASE("a target's answer is paused until its caller has read") {
  HttpFixture Test;
  Test.Server.RequestArrived.connect([&](const HttpRequestView &View) {
    std::string Large;
    Large.resize(10'000'000, 'x');
    Test.Server.answer(View.Id, 200, {}, Large);
  });
  std::size_t Got = 0;
  bool Over = false;
  std::optional<CallId> Running;
  HttpCall Call = Test.callTo("/");
  Call.OnHeaders = [](CallId, const HttpResponseView &) {};
  Call.OnBytes = [&](CallId Id, evbuffer *Bytes) {
    Got += evbuffer_get_length(Bytes);
    if (!Running)
      Test.Client.pause(Id);
    Running = Id;
  };
  Call.OnEnd = [&](CallId, CallOutcome How) {
    CHECK(How == CallOutcome::Complete);
    Over = true;
  };
  Test.Client.start(Call);
  Test.runUntil([&]() { return Running.has_value(); });
  bool Waited = false;
  const auto Pause =
      Test.Timers.once(milliseconds(50), [&Waited]() { Waited = true; });
  Test.runUntil([&Waited]() { return Waited; });
  CHECK(Got < 10'000'000);
  CHECK_FALSE(Over);
  Test.Client.resume(*Running);
  Test.runUntil([&Over]() { return Over; });
  CHECK(Got == 10'000'000);
}
