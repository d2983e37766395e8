/// Tests of KeepAliveClient against targets that misbehave.
#include "loop_fixture.h"
#include "raw_peer.h"

#include "marjorambay/transport/keep_alive_client.h"

#include <memory>
#include <optional>

namespace marjorambay {
namespace {

struct CallRecord {
  int Status = 0;
  std::string Body{};
  std::optional<KeepAliveOutcome> Outcome{};
};

/// More than the limits of a call and the kernel's buffers of a connection.
constexpr std::size_t MaxEndlessBytes = 32 << 20;

struct ClientFixture : LoopFixture {
  KeepAliveClient Client{Loop};
  RawListener Listener{};
  TimerConnection Expiry =
      Timers.every(milliseconds(5), [this]() { Client.expire(Loop.now()); });

  /// Starts a call whose response must have \p Name as its correlation id.
  std::unique_ptr<CallRecord> start(const std::string &Name,
                                    KeepAliveCall Call = {}) {
    auto Record = std::make_unique<CallRecord>();
    CallRecord *Recorded = Record.get();
    Call.Address = {"127.0.0.1", Listener.port()};
    Call.RequestTarget = "/" + Name;
    Call.CorrelationHeader = "X-Name";
    Call.CorrelationId = Name;
    Call.OnHead = [Recorded](CallId, const HttpHead &Head) {
      Recorded->Status = Head.Status;
    };
    Call.OnBody = [Recorded](CallId, std::string_view Bytes) {
      Recorded->Body.append(Bytes);
    };
    Call.OnEnd = [Recorded](CallId, KeepAliveOutcome Outcome) {
      Recorded->Outcome = Outcome;
    };
    Client.start(std::move(Call));
    return Record;
  }
  std::unique_ptr<RawConnection> accept() {
    int Descriptor = -1;
    runUntil([&]() {
      Descriptor = Listener.accept();
      return Descriptor >= 0;
    });
    return std::make_unique<RawConnection>(Descriptor);
  }
  void waitForEnd(const CallRecord &Record) {
    runUntil([&]() { return Record.Outcome.has_value(); });
  }
  /// Sends \p Piece again and again until the call has ended. Returns whether
  /// it ended before \p MaxBytes were sent.
  bool endsWhileReceiving(const CallRecord &Record, RawConnection &Target,
                          std::string_view Piece,
                          std::size_t MaxBytes = MaxEndlessBytes) {
    std::size_t Sent = 0;
    std::string_view Remaining = Piece;
    runUntil([&]() {
      const ssize_t Taken = Target.sendSome(Remaining);
      if (Taken < 0)
        return Record.Outcome.has_value();
      Sent += static_cast<std::size_t>(Taken);
      Remaining.remove_prefix(static_cast<std::size_t>(Taken));
      if (Remaining.empty())
        Remaining = Piece;
      return Record.Outcome.has_value() || Sent > MaxBytes;
    });
    return Record.Outcome.has_value();
  }
  void waitForBytes(RawConnection &Target, std::string_view Text) {
    runUntil(
        [&]() { return Target.received().find(Text) != std::string::npos; });
  }
};

std::string response(const std::string &Name, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nX-Name: " + Name +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

TEST_CASE_FIXTURE(ClientFixture, "a target that responds correctly") {
  const auto First = start("1");
  const auto Target = accept();
  waitForBytes(*Target, "/1");
  Target->send(response("1", "one"));
  waitForEnd(*First);
  CHECK(First->Body == "one");
  CHECK(*First->Outcome == KeepAliveOutcome::Complete);

  SUBCASE("gets the next call over the same connection") {
    const auto Second = start("2");
    waitForBytes(*Target, "/2");
    Target->send(response("2", "two"));
    waitForEnd(*Second);
    CHECK(Client.connectionsOpened() == 1);
  }
  SUBCASE("gets a call without an allowed idle time over a new connection") {
    KeepAliveCall Call;
    Call.MaxIdleTime = Duration(0);
    const auto Second = start("2", Call);
    const auto NewTarget = accept();
    waitForBytes(*NewTarget, "/2");
    CHECK(Client.connectionsOpened() == 2);
  }
  SUBCASE("that then sends unsolicited bytes is called over a new connection") {
    Target->send(response("1", "again"));
    runUntil([&]() { return Client.connections() == 0; });
    const auto Second = start("2");
    const auto NewTarget = accept();
    waitForBytes(*NewTarget, "/2");
  }
  SUBCASE("that repeats an earlier response has the duplicate discarded") {
    const auto Second = start("2");
    waitForBytes(*Target, "/2");
    Target->send(response("1", "again") + response("2", "two"));
    waitForEnd(*Second);
    CHECK(Second->Body == "two");
    runUntil([&]() { return Client.connections() == 0; });
  }
  SUBCASE("that sends bytes after its response has its connection closed") {
    const auto Second = start("2");
    waitForBytes(*Target, "/2");
    Target->send(response("2", "two") + "HTTP/1.1 200");
    waitForEnd(*Second);
    CHECK(Second->Body == "two");
    CHECK(Client.connections() == 0);
  }
  SUBCASE("that closes its idle connection fails no call") {
    Target->close();
    runUntil([&]() { return Client.connections() == 0; });
    const auto Second = start("2");
    const auto NewTarget = accept();
    waitForBytes(*NewTarget, "/2");
  }
}

TEST_CASE_FIXTURE(ClientFixture, "responses that end early") {
  const auto Record = start("1");
  const auto Target = accept();
  waitForBytes(*Target, "/1");
  SUBCASE("before their length") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\nContent-Length: 9\r\n\r\nha");
    Target->close();
    waitForEnd(*Record);
    CHECK(*Record->Outcome == KeepAliveOutcome::ConnectionLost);
  }
  SUBCASE("before their last chunk") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\nTransfer-Encoding: chunked"
                 "\r\n\r\n3\r\nabc\r\n");
    Target->close();
    waitForEnd(*Record);
    CHECK(*Record->Outcome == KeepAliveOutcome::ConnectionLost);
  }
  SUBCASE("without a length: an orderly close completes them") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\n\r\nall of it");
    Target->close();
    waitForEnd(*Record);
    CHECK(*Record->Outcome == KeepAliveOutcome::Complete);
    CHECK(Record->Body == "all of it");
  }
  SUBCASE("without a length: a reset does not") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\n\r\npart");
    runUntil([&]() { return Record->Body == "part"; });
    Target->reset();
    waitForEnd(*Record);
    CHECK(*Record->Outcome == KeepAliveOutcome::ConnectionLost);
  }
  SUBCASE("with bytes that are not HTTP") {
    Target->send("hello, world\r\n\r\n");
    waitForEnd(*Record);
    CHECK(*Record->Outcome == KeepAliveOutcome::InvalidResponse);
  }
}

// Guards against bytes that reach callers as part of the response that follows,
// or after a response that ends with its head.
TEST_CASE_FIXTURE(ClientFixture, "responses that have no body") {
  std::unique_ptr<RawConnection> Target;
  const auto Respond = [&](std::string_view Status, std::string_view Framing) {
    KeepAliveCall Call;
    Call.MaxIdleTime = Duration(0);
    auto Record = start("1", std::move(Call));
    Target = accept();
    waitForBytes(*Target, "/1");
    std::string Bytes = "HTTP/1.1 ";
    Bytes.append(Status).append(" X\r\nX-Name: 1\r\n").append(Framing);
    Target->send(Bytes);
    waitForEnd(*Record);
    return Record;
  };
  const std::string Final = response("1", "one");
  for (const std::string Framing :
       {"Content-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}) {
    CAPTURE(Framing);
    for (const std::string_view Status : {"100", "102", "150", "199"}) {
      const auto Record = Respond(Status, Framing + Final);
      CHECK(*Record->Outcome == KeepAliveOutcome::InvalidResponse);
      CHECK(Record->Body.empty());
    }
    for (const std::string_view Status : {"204", "304"}) {
      const auto Record = Respond(Status, Framing);
      CHECK(*Record->Outcome == KeepAliveOutcome::Complete);
      CHECK(Record->Body.empty());
      CHECK(Client.connections() == 0);
    }
  }
  const auto Record = Respond("102", "Content-Length: 0\r\n\r\n" + Final);
  CHECK(*Record->Outcome == KeepAliveOutcome::Complete);
  CHECK(Record->Body == "one");
}

// Guards against a response that was reset and counts as complete: the write of
// the remaining request takes the socket's error, after which a read returns 0.
TEST_CASE_FIXTURE(ClientFixture,
                  "a target that resets while it is sent a request") {
  const auto First = start("1");
  const auto Target = accept();
  waitForBytes(*Target, "/1");
  Target->send(response("1", "one"));
  waitForEnd(*First);
  const std::string LongBody(32 << 20, 'b');
  KeepAliveCall Call;
  Call.Method = "POST";
  Call.Body = LongBody;
  const auto Record = start("2", std::move(Call));
  SUBCASE("has not completed a response without a length") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 2\r\n\r\npart");
    runUntil([&]() { return Record->Body == "part"; });
    Target->reset();
    waitForEnd(*Record);
    CHECK(*Record->Outcome == KeepAliveOutcome::ConnectionLost);
  }
  SUBCASE("has completed a response that arrived with its length") {
    Target->send(response("2", "all"));
    Target->reset();
    waitForEnd(*Record);
    CHECK(*Record->Outcome == KeepAliveOutcome::Complete);
  }
  SUBCASE("has completed a response without a length that it closed before") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 2\r\n\r\nall");
    Target->shutdownWrite();
    Target->reset();
    waitForEnd(*Record);
    CHECK(*Record->Outcome == KeepAliveOutcome::Complete);
    CHECK(Record->Body == "all");
  }
}

TEST_CASE_FIXTURE(ClientFixture, "unavailable targets") {
  SUBCASE("refuse the connection, so no byte is sent") {
    const std::uint16_t Port = Listener.port();
    KeepAliveCall Call;
    auto Record = std::make_unique<CallRecord>();
    {
      const RawListener Closed;
      Call.Address = {"127.0.0.1", Closed.port()};
    }
    Call.OnEnd = [&Record](CallId, KeepAliveOutcome Outcome) {
      Record->Outcome = Outcome;
    };
    Client.start(std::move(Call));
    waitForEnd(*Record);
    CHECK(neverSent(*Record->Outcome));
    CHECK(Port != 0);
  }
  SUBCASE("do not respond after they received the request") {
    KeepAliveCall Call;
    Call.HeadTimeout = milliseconds(80);
    const auto Record = start("1", Call);
    const auto Target = accept();
    waitForEnd(*Record);
    CHECK(*Record->Outcome == KeepAliveOutcome::TimedOut);
    CHECK_FALSE(neverSent(*Record->Outcome));
    runUntil([&]() { return Target->ended(); });
  }
}

TEST_CASE_FIXTURE(ClientFixture,
                  "a response before its request is fully sent") {
  const std::string LongBody(8 << 20, 'x');
  KeepAliveCall Call;
  Call.Method = "POST";
  Call.Body = LongBody;
  const auto Record = start("1", Call);
  const auto Target = accept();
  Target->send("HTTP/1.1 413 No\r\nX-Name: 1\r\nContent-Length: 0\r\n\r\n");
  waitForEnd(*Record);
  CHECK(Record->Status == 413);
  // The connection is not reused: the rest of the request body is still due on
  // it.
  CHECK(Client.connections() == 0);
}

std::string repeat(std::string_view Text, std::size_t MinBytes = 32 << 10) {
  std::string Repeated;
  while (Repeated.size() < MinBytes)
    Repeated += Text;
  return Repeated;
}

const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nX-Name: 1\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against a call that lasts until its deadline, or needs memory without
// bound, because its target never stops sending.
TEST_CASE_FIXTURE(ClientFixture, "a target that sends without end") {
  const auto Record = start("1");
  const auto Target = accept();
  waitForBytes(*Target, "/1");
  std::string Piece;
  SUBCASE("bytes that are not HTTP") { Piece = repeat("garbage "); }
  SUBCASE("blank lines") { Piece = repeat("\r\n"); }
  SUBCASE("a status line") {
    Target->send("HTTP/1.1 200 ");
    Piece = repeat("OK");
  }
  SUBCASE("header lines") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\n");
    Piece = repeat("X-More: more\r\n");
  }
  SUBCASE("a header name") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\n");
    Piece = repeat("x");
  }
  SUBCASE("a header value") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\nX-Long: ");
    Piece = repeat("x");
  }
  SUBCASE("the size of a chunk") {
    Target->send(ChunkedHead);
    Piece = repeat("0");
  }
  SUBCASE("the extension of a chunk") {
    Target->send(ChunkedHead + "1;");
    Piece = repeat("x");
  }
  SUBCASE("the trailer of a chunked body") {
    Target->send(ChunkedHead + "0\r\n");
    Piece = repeat("X-More: more\r\n");
  }
  CHECK(endsWhileReceiving(*Record, *Target, Piece));
  REQUIRE(Record->Outcome.has_value());
  CHECK(*Record->Outcome != KeepAliveOutcome::Complete);
  CHECK(Record->Body.empty());
  runUntil([&]() { return Client.connections() == 0; });
}

// Guards against a target whose interim responses, or responses to other calls,
// keep a call from ending until its deadline.
TEST_CASE_FIXTURE(ClientFixture,
                  "a target that never comes to the response of the call") {
  const auto Record = start("1");
  const auto Target = accept();
  waitForBytes(*Target, "/1");
  Target->send(response("1", "one"));
  waitForEnd(*Record);
  const auto Second = start("2");
  waitForBytes(*Target, "/2");
  std::string Piece;
  SUBCASE("but sends interim responses without end") {
    Piece = repeat("HTTP/1.1 100 Continue\r\n\r\n");
  }
  SUBCASE("but sends responses to other calls without end") {
    Piece = repeat(response("1", "one"));
  }
  SUBCASE("but sends the response to another call without end") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\n\r\n");
    Piece = repeat("x");
  }
  REQUIRE(endsWhileReceiving(*Second, *Target, Piece));
  CHECK(nameOf(*Second->Outcome) == "too_much_before_head");
  CHECK(Second->Body.empty());
  runUntil([&]() { return Client.connections() == 0; });
}

// Guards against a log line that says of every response above a limit that its
// bytes were not HTTP.
TEST_CASE_FIXTURE(ClientFixture, "a response that exceeds a limit") {
  const auto Record = start("1");
  const auto Target = accept();
  waitForBytes(*Target, "/1");
  SUBCASE("in its headers") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\nX-Long: ");
    REQUIRE(endsWhileReceiving(*Record, *Target, repeat("x")));
    CHECK(nameOf(*Record->Outcome) == "head_too_large");
  }
  SUBCASE("in the extension of a chunk") {
    Target->send(ChunkedHead + "1;");
    REQUIRE(endsWhileReceiving(*Record, *Target, repeat("x")));
    CHECK(nameOf(*Record->Outcome) == "chunk_framing_too_large");
  }
  SUBCASE("in its trailers") {
    Target->send(ChunkedHead + "0\r\n");
    REQUIRE(endsWhileReceiving(*Record, *Target, repeat("X-More: more\r\n")));
    CHECK(nameOf(*Record->Outcome) == "chunk_framing_too_large");
  }
}

// Guards against a call that never ends, or needs memory without bound, because
// its user sets a limit for the head alone.
TEST_CASE_FIXTURE(ClientFixture, "a body that never ends") {
  KeepAliveCall Call;
  SUBCASE("ends its call at the limit of its size") {
    Call.MaxBodyBytes = 100'000;
    const auto Record = start("1", Call);
    const auto Target = accept();
    waitForBytes(*Target, "/1");
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\n\r\n");
    REQUIRE(endsWhileReceiving(*Record, *Target, repeat("x")));
    CHECK(nameOf(*Record->Outcome) == "body_too_large");
    CHECK(Record->Body.size() <= Call.MaxBodyBytes);
  }
  SUBCASE("ends its call at the limit of its time, even if bytes arrive") {
    Call.BodyTimeout = milliseconds(100);
    const auto Record = start("1", Call);
    const auto Target = accept();
    waitForBytes(*Target, "/1");
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\n\r\n");
    runUntil([&]() {
      Target->sendSome("x");
      return Record->Outcome.has_value();
    });
    CHECK(nameOf(*Record->Outcome) == "body_timed_out");
  }
  // Guards against a long body that a slow link never gets through.
  SUBCASE("does not if its body is long and arrives fast enough") {
    Call.BodyTimeout = milliseconds(100);
    const std::string Piece(30'000, 'x');
    const auto Record = start("1", Call);
    const auto Target = accept();
    waitForBytes(*Target, "/1");
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\n"
                 "Content-Length: 300000\r\n\r\n");
    for (int Count = 0; Count < 10; ++Count) {
      Target->send(Piece);
      const TimePoint Next = Loop.now() + milliseconds(30);
      runUntil([&]() { return Loop.now() >= Next; });
    }
    waitForEnd(*Record);
    CHECK(*Record->Outcome == KeepAliveOutcome::Complete);
    CHECK(Record->Body.size() == 300'000);
  }
  SUBCASE("does not if it ends at these limits, and the connection is reused") {
    Call.MaxBodyBytes = 3;
    Call.BodyTimeout = milliseconds(50);
    const auto Record = start("1", Call);
    const auto Target = accept();
    waitForBytes(*Target, "/1");
    Target->send(response("1", "one"));
    waitForEnd(*Record);
    CHECK(*Record->Outcome == KeepAliveOutcome::Complete);
    const TimePoint Later = Loop.now() + milliseconds(100);
    runUntil([&]() { return Loop.now() >= Later; });
    const auto Second = start("2", Call);
    waitForBytes(*Target, "/2");
    Target->send(response("2", "two"));
    waitForEnd(*Second);
    CHECK(Second->Body == "two");
  }
  runUntil([&]() { return Client.calls() == 0; });
}

} // namespace
} // namespace marjorambay
