/// Tests of calls over kept connections, against targets that misbehave.
#include "loop_fixture.h"
#include "raw_peer.h"

#include "marjorambay/transport/keep_alive_client.h"

#include <memory>
#include <optional>

namespace marjorambay {
namespace {

struct Outcome {
  int Status = 0;
  std::string Body{};
  std::optional<KeepAliveOutcome> End{};
};

struct ClientFixture : LoopFixture {
  KeepAliveClient Client{Loop};
  RawListener Listener{};
  TimerConnection Expiry =
      Timers.every(milliseconds(5), [this]() { Client.expire(Loop.now()); });

  /// Starts a call whose answer must name \p Name.
  std::unique_ptr<Outcome> start(const std::string &Name,
                                 KeepAliveCall Call = {}) {
    auto Seen = std::make_unique<Outcome>();
    Outcome *At = Seen.get();
    Call.Address = {"127.0.0.1", Listener.port()};
    Call.RequestTarget = "/" + Name;
    Call.CorrelationHeader = "X-Name";
    Call.CorrelationId = Name;
    Call.OnHead = [At](CallId, const HttpHead &Head) {
      At->Status = Head.Status;
    };
    Call.OnBody = [At](CallId, std::string_view Bytes) {
      At->Body.append(Bytes);
    };
    Call.OnEnd = [At](CallId, KeepAliveOutcome How) { At->End = How; };
    Client.start(std::move(Call));
    return Seen;
  }
  std::unique_ptr<RawEnd> accept() {
    int Descriptor = -1;
    runUntil([&]() {
      Descriptor = Listener.accept();
      return Descriptor >= 0;
    });
    return std::make_unique<RawEnd>(Descriptor);
  }
  void untilEnd(const Outcome &Seen) {
    runUntil([&]() { return Seen.End.has_value(); });
  }
  void untilGot(RawEnd &Target, std::string_view Text) {
    runUntil([&]() { return Target.got().find(Text) != std::string::npos; });
  }
};

std::string answer(const std::string &Name, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nX-Name: " + Name +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

TEST_CASE_FIXTURE(ClientFixture, "a target that answers well") {
  const auto First = start("1");
  const auto Target = accept();
  untilGot(*Target, "/1");
  Target->send(answer("1", "one"));
  untilEnd(*First);
  CHECK(First->Body == "one");
  CHECK(*First->End == KeepAliveOutcome::Complete);

  SUBCASE("gets the next call over the same connection") {
    const auto Second = start("2");
    untilGot(*Target, "/2");
    Target->send(answer("2", "two"));
    untilEnd(*Second);
    CHECK(Client.opened() == 1);
  }
  SUBCASE("gets a call that may run once over a new one, after a pause") {
    KeepAliveCall Once;
    Once.MaxIdleTime = Duration(0);
    const auto Second = start("2", Once);
    const auto Fresh = accept();
    untilGot(*Fresh, "/2");
    CHECK(Client.opened() == 2);
  }
  SUBCASE("that then sends bytes nobody asked for is not used again") {
    Target->send(answer("1", "again"));
    runUntil([&]() { return Client.connections() == 0; });
    const auto Second = start("2");
    const auto Fresh = accept();
    untilGot(*Fresh, "/2");
  }
  SUBCASE("that answers the last call once more, late, is read past") {
    const auto Second = start("2");
    untilGot(*Target, "/2");
    Target->send(answer("1", "again") + answer("2", "two"));
    untilEnd(*Second);
    CHECK(Second->Body == "two");
    runUntil([&]() { return Client.connections() == 0; });
  }
  SUBCASE("that adds bytes to its answer is not used again") {
    const auto Second = start("2");
    untilGot(*Target, "/2");
    Target->send(answer("2", "two") + "HTTP/1.1 200");
    untilEnd(*Second);
    CHECK(Second->Body == "two");
    CHECK(Client.connections() == 0);
  }
  SUBCASE("that closes its idle connection costs no call") {
    Target->close();
    runUntil([&]() { return Client.connections() == 0; });
    const auto Second = start("2");
    const auto Fresh = accept();
    untilGot(*Fresh, "/2");
  }
}

TEST_CASE_FIXTURE(ClientFixture, "answers that end early") {
  const auto Seen = start("1");
  const auto Target = accept();
  untilGot(*Target, "/1");
  SUBCASE("before their length") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\nContent-Length: 9\r\n\r\nha");
    Target->close();
    untilEnd(*Seen);
    CHECK(*Seen->End == KeepAliveOutcome::ConnectionLost);
  }
  SUBCASE("before their last chunk") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\nTransfer-Encoding: chunked"
                 "\r\n\r\n3\r\nabc\r\n");
    Target->close();
    untilEnd(*Seen);
    CHECK(*Seen->End == KeepAliveOutcome::ConnectionLost);
  }
  SUBCASE("without a length: an orderly end completes them") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\n\r\nall of it");
    Target->close();
    untilEnd(*Seen);
    CHECK(*Seen->End == KeepAliveOutcome::Complete);
    CHECK(Seen->Body == "all of it");
  }
  SUBCASE("without a length: a reset does not") {
    Target->send("HTTP/1.1 200 OK\r\nX-Name: 1\r\n\r\npart");
    runUntil([&]() { return Seen->Body == "part"; });
    Target->reset();
    untilEnd(*Seen);
    CHECK(*Seen->End == KeepAliveOutcome::ConnectionLost);
  }
  SUBCASE("with bytes that are no answer") {
    Target->send("hello, world\r\n\r\n");
    untilEnd(*Seen);
    CHECK(*Seen->End == KeepAliveOutcome::InvalidResponse);
  }
}

TEST_CASE_FIXTURE(ClientFixture, "targets that are not there") {
  SUBCASE("refuse the connection, and no byte has left") {
    const std::uint16_t Port = Listener.port();
    KeepAliveCall Call;
    auto Seen = std::make_unique<Outcome>();
    {
      const RawListener Closed;
      Call.Address = {"127.0.0.1", Closed.port()};
    }
    Call.OnEnd = [&Seen](CallId, KeepAliveOutcome How) { Seen->End = How; };
    Client.start(std::move(Call));
    untilEnd(*Seen);
    CHECK(neverSent(*Seen->End));
    CHECK(Port != 0);
  }
  SUBCASE("are silent after they took the request") {
    KeepAliveCall Call;
    Call.HeadTimeout = milliseconds(80);
    const auto Seen = start("1", Call);
    const auto Target = accept();
    untilEnd(*Seen);
    CHECK(*Seen->End == KeepAliveOutcome::TimedOut);
    CHECK_FALSE(neverSent(*Seen->End));
    runUntil([&]() { return Target->ended(); });
  }
}

TEST_CASE_FIXTURE(ClientFixture, "an answer before its request has left") {
  const std::string Long(8 << 20, 'x');
  KeepAliveCall Call;
  Call.Method = "POST";
  Call.Body = Long;
  const auto Seen = start("1", Call);
  const auto Target = accept();
  Target->send("HTTP/1.1 413 No\r\nX-Name: 1\r\nContent-Length: 0\r\n\r\n");
  untilEnd(*Seen);
  CHECK(Seen->Status == 413);
  // The rest of the body is due on this connection, and nothing else.
  CHECK(Client.connections() == 0);
}

} // namespace
} // namespace marjorambay
