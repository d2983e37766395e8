/// Tests of CallerServer with callers that send raw bytes.
#include "loop_fixture.h"
#include "raw_peer.h"

#include "marjorambay/transport/caller_server.h"

#include <algorithm>
#include <optional>

namespace marjorambay {
namespace {

struct ServerFixture : LoopFixture {
  CallerServer Server{Loop, Timers};
  std::uint16_t Port = 0;
  std::vector<ExchangeId> Arrived{};
  std::vector<std::string> Targets{};
  std::vector<std::string> Bodies{};
  std::vector<ErrorKind> Rejected{};
  std::vector<ExchangeId> Disconnected{};

  ServerFixture() {
    const auto Listening = Server.listen({"127.0.0.1", 0});
    REQUIRE(ok(Listening));
    Port = value(Listening);
    Server.RequestArrived.connect([this](CallerRequest &Request) {
      Arrived.push_back(Request.Id);
      Targets.push_back(Request.Head.RequestTarget);
      Bodies.push_back(*Request.Body);
    });
    Server.RequestRejected.connect(
        [this](ExchangeId Id, const HttpHead &, ErrorKind Reason) {
          Rejected.push_back(Reason);
          Server.answer(Id, traitsOf(Reason).HttpStatus, {}, "");
        });
    Server.CallerDisconnected.connect(
        [this](ExchangeId Id) { Disconnected.push_back(Id); });
  }
  void waitForRequests(std::size_t Count) {
    runUntil([&]() { return Arrived.size() >= Count; });
  }
};

constexpr std::string_view SimpleRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_CASE_FIXTURE(ServerFixture, "a caller on a keep-alive connection") {
  RawConnection Caller(RawConnection::connectTo(Port));

  SUBCASE("sends consecutive requests and receives each response") {
    Caller.send(SimpleRequest);
    waitForRequests(1);
    Server.answer(Arrived[0], 200, {}, "one");
    runUntil([&]() { return Caller.received().ends_with("one"); });
    Caller.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
    waitForRequests(2);
    CHECK(Bodies[1] == "body");
    Server.answer(Arrived[1], 200, {}, "two");
    runUntil([&]() { return Caller.received().ends_with("two"); });
  }
  SUBCASE("may send the next request before the previous response") {
    Caller.send(std::string(SimpleRequest) +
                "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    waitForRequests(1);
    CHECK(Arrived.size() == 1);
    Server.answer(Arrived[0], 200, {}, "one");
    waitForRequests(2);
    CHECK(Targets[1] == "/b");
  }
  SUBCASE("sends a body in chunks, byte by byte") {
    const std::string Request = "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-"
                                "Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde"
                                "\r\n0\r\n\r\n";
    for (const char Byte : Request)
      Caller.send({&Byte, 1});
    waitForRequests(1);
    CHECK(Bodies[0] == "abcde");
  }
  SUBCASE("disconnects before its response, which the server reports") {
    Caller.send(SimpleRequest);
    waitForRequests(1);
    Caller.close();
    runUntil([&]() { return Disconnected.size() == 1; });
    CHECK(Disconnected[0] == Arrived[0]);
    Server.answer(Arrived[0], 200, {}, "nobody");
  }
  SUBCASE("receives a stream in chunks") {
    Caller.send(SimpleRequest);
    waitForRequests(1);
    Server.beginResponse(Arrived[0], 200, {});
    Server.sendChunk(Arrived[0], "event");
    Server.endResponse(Arrived[0]);
    runUntil([&]() { return Caller.received().ends_with("0\r\n\r\n"); });
    CHECK(Caller.received().find("5\r\nevent\r\n") != std::string::npos);
  }
  SUBCASE("sees an aborted stream end without its last chunk") {
    Caller.send(SimpleRequest);
    waitForRequests(1);
    Server.beginResponse(Arrived[0], 200, {});
    Server.sendChunk(Arrived[0], "event");
    Server.abort(Arrived[0]);
    runUntil([&]() { return Caller.ended(); });
    CHECK_FALSE(Caller.received().ends_with("0\r\n\r\n"));
  }
  SUBCASE("receives its response before the connection closes at shutdown") {
    Caller.send(SimpleRequest);
    waitForRequests(1);
    Server.disableKeepAlive();
    Server.closeIdleConnections();
    Server.answer(Arrived[0], 200, {}, "last");
    runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.received().find("Connection: close") != std::string::npos);
    CHECK(Caller.received().ends_with("last"));
  }
}

TEST_CASE_FIXTURE(ServerFixture, "a caller that does not support chunks") {
  RawConnection Caller(RawConnection::connectTo(Port));
  const auto ReceiveEvent = [&](std::string_view Header) {
    Caller.send("GET /a HTTP/1.0\r\n" + std::string(Header) + "\r\n\r\n");
    waitForRequests(1);
    Server.beginResponse(Arrived[0], 200, {});
    Server.sendChunk(Arrived[0], "event");
    runUntil([&]() { return Caller.received().ends_with("event"); });
  };
  SUBCASE("receives a stream that ends with its connection") {
    SUBCASE("with a Host header") { ReceiveEvent("Host: h"); }
    SUBCASE("if it would reuse the connection") {
      ReceiveEvent("Connection: keep-alive");
    }
    Server.endResponse(Arrived[0]);
    runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.received().ends_with("\r\n\r\nevent"));
    CHECK_FALSE(Caller.wasReset());
  }
  // Guards against an aborted stream that looks complete, because nothing but
  // the end of the connection marks its end.
  SUBCASE("sees the connection reset if its stream is aborted") {
    ReceiveEvent("Host: h");
    Server.abort(Arrived[0]);
    runUntil([&]() { return Caller.ended() || Caller.wasReset(); });
    CHECK(Caller.wasReset());
  }
  SUBCASE("sees the connection reset if the server ends before its stream") {
    ReceiveEvent("Host: h");
    Server.abortAll();
    runUntil([&]() { return Caller.ended() || Caller.wasReset(); });
    CHECK(Caller.wasReset());
  }
}

TEST_CASE_FIXTURE(ServerFixture,
                  "requests with ambiguous framing are rejected") {
  RawConnection Caller(RawConnection::connectTo(Port));
  const auto Send = [&](std::string_view Headers, std::string_view Body) {
    Caller.send("POST /a HTTP/1.1\r\nHost: h\r\n" + std::string(Headers) +
                "\r\n" + std::string(Body));
  };
  SUBCASE("with a length and chunks") {
    Send("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
         "0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  SUBCASE("with two lengths") {
    Send("Content-Length: 5\r\nContent-Length: 5\r\n", "12345");
  }
  SUBCASE("with an unknown transfer coding") {
    Send("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n");
  }
  SUBCASE("with a space before the colon") {
    Send("Content-Length : 5\r\n", "12345");
  }
  SUBCASE("that are not HTTP") { Caller.send("\x16\x03\x01 hello\r\n"); }
  runUntil([&]() { return Caller.ended(); });
  CHECK(Arrived.empty());
  REQUIRE(Rejected.size() == 1);
  CHECK(Rejected[0] == ErrorKind::BadRequest);
  CHECK(Caller.received().starts_with("HTTP/1.1 400 "));
}

// Guards against a request that was read whole and gets no answer, because the
// one before it was answered as the last of its connection.
TEST_CASE_FIXTURE(ServerFixture,
                  "a request that is pipelined before shutdown") {
  RawConnection Caller(RawConnection::connectTo(Port));
  Caller.send(std::string(SimpleRequest) +
              "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  waitForRequests(1);
  Server.disableKeepAlive();
  SUBCASE("is answered after a response with a length") {
    Server.answer(Arrived[0], 200, {}, "one");
  }
  SUBCASE("is answered after a stream") {
    Server.beginResponse(Arrived[0], 200, {});
    Server.sendChunk(Arrived[0], "one");
    Server.endResponse(Arrived[0]);
  }
  runUntil([&]() { return Arrived.size() == 2 || Caller.ended(); });
  REQUIRE(Arrived.size() == 2);
  CHECK(Targets[1] == "/b");
  Server.answer(Arrived[1], 200, {}, "two");
  runUntil([&]() { return Caller.ended(); });
  CHECK(Caller.received().find("Connection: close") >
        Caller.received().find("one"));
  CHECK(Caller.received().ends_with("two"));
}

// Guards against a response that is cut because its caller reads it slowly and
// its connection counts as idle or as closing meanwhile.
TEST_CASE_FIXTURE(ServerFixture, "a caller that reads its response slowly") {
  RawConnection Caller(RawConnection::connectTo(Port));
  Caller.limitReceiveBuffer(64 << 10);
  const std::string Body(12 << 20, 'x'); // more than the kernel buffers
  CallerServerLimits Limits;
  Caller.send(SimpleRequest);
  waitForRequests(1);

  SUBCASE("receives all of it before its connection closes") {
    Server.disableKeepAlive();
    Server.answer(Arrived[0], 200, {}, Body);
  }
  SUBCASE("receives all of it although idle connections are closed") {
    Server.answer(Arrived[0], 200, {}, Body);
    Server.closeIdleConnections();
  }
  SUBCASE("receives all of it although that exceeds the idle timeout") {
    Server.answer(Arrived[0], 200, {}, Body);
    Limits.IdleTimeout = milliseconds(100);
    Server.setLimits(Limits);
  }
  bool Reads = false;
  const TimerConnection Pause =
      Timers.once(milliseconds(1700), [&Reads]() { Reads = true; });
  runUntil([&]() { return Reads && Caller.ended(); });
  CHECK(Caller.received().ends_with(Body));
}

// Guards against a response that is cut because its caller's receive window is
// closed for longer than the kernel waits for an acknowledgement.
TEST_CASE_FIXTURE(ServerFixture, "a caller that reads a little now and then") {
  RawConnection Caller(RawConnection::connectTo(Port));
  Caller.limitReceiveBuffer(16 << 10);
  Caller.send(SimpleRequest);
  waitForRequests(1);
  const std::string Body(12 << 20, 'x');
  SUBCASE("receives all of a response") {
    Server.answer(Arrived[0], 200, {}, Body);
  }
  SUBCASE("receives all of a response in chunks") {
    Server.beginResponse(Arrived[0], 200, {});
    Server.sendChunk(Arrived[0], Body);
    Server.endResponse(Arrived[0]);
  }
  int Pauses = 0;
  const TimerConnection Pause =
      Timers.every(milliseconds(3500), [&Pauses]() { ++Pauses; });
  runUntil([&]() { return Pauses == 1; });
  Caller.receiveOnce();
  runUntil([&]() { return Pauses == 2; });
  runUntil([&]() { return Caller.received().size() > Body.size(); });
  CHECK(Server.connections() == 1);
  CHECK_FALSE(Caller.wasReset());
}

TEST_CASE_FIXTURE(ServerFixture,
                  "callers that read more slowly than they get") {
  std::vector<std::unique_ptr<RawConnection>> Callers;
  for (std::size_t Caller = 0; Caller < 5; ++Caller) {
    Callers.push_back(
        std::make_unique<RawConnection>(RawConnection::connectTo(Port)));
    Callers.back()->limitReceiveBuffer(16 << 10);
    Callers.back()->send(SimpleRequest);
    waitForRequests(Caller + 1);
    Server.answer(Arrived[Caller], 200, {}, std::string(12 << 20, 'x'));
  }
  // 24 MiB of all responses may wait, less what the kernel has taken.
  runUntil([&]() { return Server.connections() <= 2; });
  CHECK(Server.connections() >= 1);
}

// Guards against connections that are kept for callers that never read.
TEST_CASE_FIXTURE(ServerFixture, "a caller that never reads its response") {
  CallerServerLimits Limits;
  Limits.IdleTimeout = seconds(3);
  Server.setLimits(Limits);
  RawConnection Caller(RawConnection::connectTo(Port));
  Caller.limitReceiveBuffer(64 << 10);
  Caller.send(SimpleRequest);
  waitForRequests(1);
  Server.disableKeepAlive();
  Server.answer(Arrived[0], 200, {}, std::string(12 << 20, 'x'));
  CHECK(Server.connections() == 1);
  runUntil([&]() { return Server.connections() == 0; });
}

TEST_CASE_FIXTURE(ServerFixture, "requests beyond the limits") {
  CallerServerLimits Limits;
  Limits.MaxHeaderBytes = 1024;
  Limits.MaxBodyBytes = 100;
  Limits.HeaderTimeout = milliseconds(100);
  Server.setLimits(Limits);
  RawConnection Caller(RawConnection::connectTo(Port));

  SUBCASE("a header that is too long gets status 431") {
    Caller.send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') +
                "\r\n\r\n");
    runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.received().starts_with("HTTP/1.1 431 "));
  }
  SUBCASE("a body that is too long gets status 413") {
    Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n" +
                std::string(200, 'x'));
    runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.received().starts_with("HTTP/1.1 413 "));
  }
  SUBCASE("a header that arrives too slowly gets status 408") {
    Caller.send("GET /a HT");
    runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.received().starts_with("HTTP/1.1 408 "));
  }
  CHECK(Arrived.empty());
}

// Guards against a caller that keeps a host busy, or takes its memory, with a
// request that never ends.
TEST_CASE_FIXTURE(ServerFixture, "a caller that sends without end") {
  RawConnection Caller(RawConnection::connectTo(Port));
  const std::string ChunkedHead =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string Piece(16 << 10, 'x');
  ErrorKind Expected = ErrorKind::HeadersTooLarge;
  SUBCASE("blank lines") {
    for (std::size_t At = 0; At < Piece.size(); At += 2)
      Piece.replace(At, 2, "\r\n");
  }
  SUBCASE("a path") { Caller.send("GET /"); }
  SUBCASE("a header") { Caller.send("GET /a HTTP/1.1\r\nX-Long: "); }
  SUBCASE("the extension of a chunk") { Caller.send(ChunkedHead + "1;"); }
  SUBCASE("a trailer") { Caller.send(ChunkedHead + "0\r\nX-Long: "); }
  SUBCASE("chunks") {
    Caller.send(ChunkedHead);
    Piece = "4000\r\n" + Piece + "\r\n";
    Expected = ErrorKind::TooLarge;
  }
  constexpr std::size_t MaxEndlessBytes = 16 << 20;
  std::size_t Sent = 0;
  std::string_view Remaining = Piece;
  runUntil([&]() {
    const ssize_t Taken = Caller.sendSome(Remaining);
    const auto Count = static_cast<std::size_t>(std::max<ssize_t>(Taken, 0));
    Sent += Count;
    Remaining.remove_prefix(Count);
    if (Remaining.empty())
      Remaining = Piece;
    return !Rejected.empty() || Sent > MaxEndlessBytes;
  });
  REQUIRE(Rejected.size() == 1);
  CHECK(Rejected[0] == Expected);
  CHECK(Arrived.empty());
  runUntil([&]() { return Server.connections() == 0; });
}

} // namespace
} // namespace marjorambay
