/// Tests of kept connections of callers, with raw bytes.
#include "loop_fixture.h"
#include "raw_peer.h"

#include "marjorambay/transport/caller_server.h"

#include <optional>

namespace marjorambay {
namespace {

struct ServerFixture : LoopFixture {
  CallerServer Server{Loop, Timers};
  std::uint16_t Port = 0;
  std::vector<ExchangeId> Arrived{};
  std::vector<std::string> Targets{};
  std::vector<std::string> Bodies{};
  std::vector<ErrorKind> Refused{};
  std::vector<ExchangeId> Gone{};

  ServerFixture() {
    const auto Made = Server.listen({"127.0.0.1", 0});
    REQUIRE(ok(Made));
    Port = value(Made);
    Server.RequestArrived.connect([this](CallerRequest &Request) {
      Arrived.push_back(Request.Id);
      Targets.push_back(Request.Head.RequestTarget);
      Bodies.push_back(Request.Body);
    });
    Server.RequestRejected.connect(
        [this](ExchangeId Id, const HttpHead &, ErrorKind Why) {
          Refused.push_back(Why);
          Server.answer(Id, traitsOf(Why).HttpStatus, {}, "");
        });
    Server.CallerDisconnected.connect(
        [this](ExchangeId Id) { Gone.push_back(Id); });
  }
  void untilArrived(std::size_t Count) {
    runUntil([&]() { return Arrived.size() >= Count; });
  }
};

constexpr std::string_view Simple = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_CASE_FIXTURE(ServerFixture, "a caller on a kept connection") {
  RawEnd Caller(RawEnd::connectTo(Port));

  SUBCASE("sends one request after another, and gets each its answer") {
    Caller.send(Simple);
    untilArrived(1);
    Server.answer(Arrived[0], 200, {}, "one");
    runUntil([&]() { return Caller.got().ends_with("one"); });
    Caller.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
    untilArrived(2);
    CHECK(Bodies[1] == "body");
    Server.answer(Arrived[1], 200, {}, "two");
    runUntil([&]() { return Caller.got().ends_with("two"); });
  }
  SUBCASE("may send the next before it has the answer to the last") {
    Caller.send(std::string(Simple) + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    untilArrived(1);
    CHECK(Arrived.size() == 1);
    Server.answer(Arrived[0], 200, {}, "one");
    untilArrived(2);
    CHECK(Targets[1] == "/b");
  }
  SUBCASE("sends a body in chunks, byte by byte") {
    const std::string Request = "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-"
                                "Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde"
                                "\r\n0\r\n\r\n";
    for (const char Each : Request)
      Caller.send({&Each, 1});
    untilArrived(1);
    CHECK(Bodies[0] == "abcde");
  }
  SUBCASE("that leaves while its answer is due is noticed") {
    Caller.send(Simple);
    untilArrived(1);
    Caller.close();
    runUntil([&]() { return Gone.size() == 1; });
    CHECK(Gone[0] == Arrived[0]);
    Server.answer(Arrived[0], 200, {}, "nobody");
  }
  SUBCASE("gets a stream in chunks") {
    Caller.send(Simple);
    untilArrived(1);
    Server.beginResponse(Arrived[0], 200, {});
    Server.sendChunk(Arrived[0], "event");
    Server.endResponse(Arrived[0]);
    runUntil([&]() { return Caller.got().ends_with("0\r\n\r\n"); });
    CHECK(Caller.got().find("5\r\nevent\r\n") != std::string::npos);
  }
  SUBCASE("sees a stream that is cut end without its last chunk") {
    Caller.send(Simple);
    untilArrived(1);
    Server.beginResponse(Arrived[0], 200, {});
    Server.sendChunk(Arrived[0], "event");
    Server.abort(Arrived[0]);
    runUntil([&]() { return Caller.ended(); });
    CHECK_FALSE(Caller.got().ends_with("0\r\n\r\n"));
  }
  SUBCASE("is told to close when the server stops, and gets its answer") {
    Caller.send(Simple);
    untilArrived(1);
    Server.disableKeepAlive();
    Server.closeIdleConnections();
    Server.answer(Arrived[0], 200, {}, "last");
    runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.got().find("Connection: close") != std::string::npos);
    CHECK(Caller.got().ends_with("last"));
  }
}

TEST_CASE_FIXTURE(ServerFixture, "requests that could hide another") {
  RawEnd Caller(RawEnd::connectTo(Port));
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
  SUBCASE("with a coding that is not known") {
    Send("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n");
  }
  SUBCASE("with a space before the colon") {
    Send("Content-Length : 5\r\n", "12345");
  }
  SUBCASE("that are no HTTP at all") { Caller.send("\x16\x03\x01 hello\r\n"); }
  runUntil([&]() { return Caller.ended(); });
  CHECK(Arrived.empty());
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0] == ErrorKind::BadRequest);
  CHECK(Caller.got().starts_with("HTTP/1.1 400 "));
}

TEST_CASE_FIXTURE(ServerFixture, "requests beyond the limits") {
  CallerServerLimits Small;
  Small.MaxHeaderBytes = 1024;
  Small.MaxBodyBytes = 100;
  Small.HeaderTimeout = milliseconds(100);
  Server.setLimits(Small);
  RawEnd Caller(RawEnd::connectTo(Port));

  SUBCASE("a long header is answered 431") {
    Caller.send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') +
                "\r\n\r\n");
    runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.got().starts_with("HTTP/1.1 431 "));
  }
  SUBCASE("a long body is answered 413") {
    Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n" +
                std::string(200, 'x'));
    runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.got().starts_with("HTTP/1.1 413 "));
  }
  SUBCASE("a header that comes too slowly is answered 408") {
    Caller.send("GET /a HT");
    runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.got().starts_with("HTTP/1.1 408 "));
  }
  CHECK(Arrived.empty());
}

} // namespace
} // namespace marjorambay
