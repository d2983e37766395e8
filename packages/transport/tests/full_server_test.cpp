/// Tests of servers with more callers than connections or descriptors.
#include "descriptor_shortage.h"
#include "loop_fixture.h"
#include "raw_peer.h"

#include "marjorambay/transport/caller_server.h"
#include "marjorambay/transport/http_server.h"

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <initializer_list>
#include <memory>
#include <vector>

namespace marjorambay {
namespace {

constexpr std::string_view SimpleRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

double processorSeconds() {
  timespec Used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return static_cast<double>(Used.tv_sec) +
         static_cast<double>(Used.tv_nsec) * 1e-9;
}

struct FullServerFixture : LoopFixture {
  CallerServer Server{Loop, Timers, limits()};
  std::uint16_t Port = 0;
  std::vector<std::unique_ptr<RawConnection>> Callers{};
  std::vector<ExchangeId> Arrived{};

  static CallerServerLimits limits() {
    CallerServerLimits Limits;
    Limits.MaxConnections = 4;
    return Limits;
  }
  FullServerFixture() {
    const auto Listening = Server.listen({"127.0.0.1", 0});
    REQUIRE(ok(Listening));
    Port = value(Listening);
    Server.RequestArrived.connect(
        [this](CallerRequest &Request) { Arrived.push_back(Request.Id); });
    Server.RequestRejected.connect(
        [this](ExchangeId Id, const HttpHead &, ErrorKind Reason) {
          Server.answer(Id, traitsOf(Reason).HttpStatus, {}, "");
        });
  }
  RawConnection &addCaller() {
    return *Callers.emplace_back(
        std::make_unique<RawConnection>(RawConnection::connectTo(Port)));
  }
  void runFor(Duration Time) {
    const TimePoint End = Loop.now() + Time;
    runUntil([&]() { return Loop.now() >= End; });
  }
};

// Guards against a host that uses a whole processor while it has no
// descriptor for a connection that waits to be accepted.
TEST_CASE_FIXTURE(FullServerFixture,
                  "a server without descriptors doesn't spin") {
  addCaller().send(SimpleRequest);
  auto Shortage = std::make_unique<DescriptorShortage>();
  const double Before = processorSeconds();
  runFor(milliseconds(500));
  const double Used = processorSeconds() - Before;
  CHECK(Arrived.empty());
  Shortage.reset();
  CHECK(Used < 0.25);
  runUntil([&]() { return Arrived.size() == 1; });
}

// Guards against new callers that are reset while others hold connections
// without using them.
TEST_CASE_FIXTURE(FullServerFixture, "a full server with idle connections") {
  for (int Count = 0; Count < 4; ++Count)
    addCaller();
  Callers[0]->send(SimpleRequest);
  runUntil([&]() { return Arrived.size() == 1 && Server.connections() == 4; });
  runFor(milliseconds(600));
  RawConnection &New = addCaller();
  New.send(SimpleRequest);
  runUntil([&]() { return Arrived.size() == 2; });
  Server.answer(Arrived[1], 200, {}, "new");
  runUntil([&]() { return New.received().ends_with("new"); });

  SUBCASE("closes an idle one") {
    CHECK(std::any_of(Callers.begin() + 1, Callers.begin() + 4,
                      [](const auto &Each) { return Each->ended(); }));
  }
  SUBCASE("never one with a request in progress") {
    Server.answer(Arrived[0], 200, {}, "old");
    runUntil([&]() { return Callers[0]->received().ends_with("old"); });
  }
}

// Guards against connections that are closed for callers that don't exist.
TEST_CASE_FIXTURE(FullServerFixture,
                  "a server with as many connections as it may have") {
  for (int Count = 0; Count < 3; ++Count)
    addCaller();
  runUntil([&]() { return Server.connections() == 3; });
  runFor(milliseconds(600));
  addCaller();
  runUntil([&]() { return Server.connections() == 4; });
  runFor(milliseconds(50));
  CHECK(Server.connections() == 4);
  CHECK(Server.counters().IdleClosed == 0);
}

// Guards against callers that are reset without an answer.
TEST_CASE_FIXTURE(FullServerFixture, "a full server without idle connections") {
  for (int Count = 0; Count < 4; ++Count)
    addCaller().send(SimpleRequest);
  runUntil([&]() { return Arrived.size() == 4; });
  RawConnection &New = addCaller();

  SUBCASE("rejects a request with an answer") {
    New.send(SimpleRequest);
    runUntil([&]() { return New.ended(); });
    CHECK(New.received().starts_with("HTTP/1.1 503 "));
    CHECK(Arrived.size() == 4);
  }
  SUBCASE("rejects a request before its body is sent") {
    New.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n"
             "Expect: 100-continue\r\n\r\n");
    runUntil([&]() { return New.ended(); });
    CHECK(New.received().starts_with("HTTP/1.1 503 "));
  }
  SUBCASE("takes the request if a connection has ended meanwhile") {
    runUntil([&]() { return Server.connections() == 5; });
    Callers[0]->close();
    runUntil([&]() { return Server.connections() == 4; });
    New.send(SimpleRequest);
    runUntil([&]() { return Arrived.size() == 5; });
  }
}

// Guards against the same at the ports of probes and operators.
TEST_CASE_FIXTURE(LoopFixture,
                  "an HTTP server without descriptors doesn't spin") {
  HttpServer Server(Loop, Timers, HttpServerLimits{});
  const auto Listening = Server.listen("127.0.0.1", 0);
  REQUIRE(ok(Listening));
  Server.RequestArrived.connect([&](const HttpRequestView &View) {
    Server.answer(View.Id, 200, {}, "ready");
  });
  RawConnection Prober(RawConnection::connectTo(value(Listening)));
  Prober.send(SimpleRequest);
  auto Shortage = std::make_unique<DescriptorShortage>();
  const double Before = processorSeconds();
  const TimePoint End = Loop.now() + milliseconds(500);
  runUntil([&]() { return Loop.now() >= End; });
  const double Used = processorSeconds() - Before;
  Shortage.reset();
  CHECK(Used < 0.25);
  runUntil([&]() { return Prober.received().ends_with("ready"); });
}

TEST_CASE("errors of accept()") {
  // EMFILE and the like concern the process, the others one connection.
  for (const int Errno : {EMFILE, ENFILE, ENOBUFS, ENOMEM})
    CHECK(classifyAcceptError(Errno) == AcceptFailure::Shortage);
  for (const int Errno : {ECONNABORTED, EINTR, EPERM, EPROTO, ENETDOWN})
    CHECK(classifyAcceptError(Errno) == AcceptFailure::ConnectionLost);
  CHECK(classifyAcceptError(EAGAIN) == AcceptFailure::NoneWaiting);
  CHECK(classifyAcceptError(EBADF) == AcceptFailure::Broken);
}

} // namespace
} // namespace marjorambay
