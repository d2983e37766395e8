/// Tests of CallerServer with a decider that bounds the memory of bodies.
#include "loop_fixture.h"
#include "raw_peer.h"

#include "marjorambay/transport/caller_server.h"
#include "marjorambay/transport/keep_alive_client.h"

#include <map>
#include <optional>
#include <vector>

namespace marjorambay {
namespace {

constexpr std::size_t LongBody = 4 << 20;

/// Admits long bodies up to a number; later ones wait, or are refused.
struct CountingAdmission final : BodyAdmission {
  std::size_t MaxLong = 2;
  bool MayWait = true;
  std::map<CallerBodyId, std::size_t> Held{};
  std::vector<CallerBodyId> Waiting{};

  std::size_t heldBytes() const {
    std::size_t Bytes = 0;
    for (const auto &[Id, Size] : Held)
      Bytes += Size;
    return Bytes;
  }
  BodyAdmissionResult request(CallerBodyId Id, std::size_t Bytes,
                              const HttpHead & /*Head*/) override {
    const std::size_t Before = Held.contains(Id) ? Held[Id] : 0;
    if (Bytes <= 65536 || heldBytes() - Before + Bytes <= MaxLong * LongBody) {
      Held[Id] = Bytes;
      return BodyAdmissionResult::Admitted;
    }
    if (!MayWait)
      return BodyAdmissionResult::Refused;
    Waiting.push_back(Id);
    return BodyAdmissionResult::Waiting;
  }
  void release(CallerBodyId Id) override {
    Held.erase(Id);
    std::erase(Waiting, Id);
  }
  ErrorKind refusalReason() const override { return ErrorKind::MemoryFull; }
};

struct AdmissionFixture : LoopFixture {
  CountingAdmission Admission{};
  CallerServer Server{Loop, Timers};
  std::uint16_t Port = 0;
  std::vector<ExchangeId> Arrived{};
  std::vector<std::shared_ptr<const std::string>> Bodies{};
  std::vector<ErrorKind> Rejected{};

  AdmissionFixture() {
    const auto Listening = Server.listen({"127.0.0.1", 0});
    REQUIRE(ok(Listening));
    Port = value(Listening);
    Server.setBodyAdmission(Admission);
    Server.RequestArrived.connect([this](CallerRequest &Request) {
      Arrived.push_back(Request.Id);
      Bodies.push_back(Request.Body);
    });
    Server.RequestRejected.connect(
        [this](ExchangeId Id, const HttpHead &, ErrorKind Reason) {
          Rejected.push_back(Reason);
          Server.answer(Id, traitsOf(Reason).HttpStatus,
                        {{"Retry-After", "0.5"}}, "");
        });
  }
  ~AdmissionFixture() { Bodies.clear(); }
  static std::string headOf(std::size_t Length, std::string_view More = "") {
    return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(Length) + "\r\n" + std::string(More) + "\r\n";
  }
  /// Sends as much as the server takes until it takes no more, and returns the
  /// number of bytes.
  std::size_t sendAll(const RawConnection &Caller, std::string_view Bytes) {
    std::size_t Sent = 0;
    int Stalled = 0;
    runUntil([&]() {
      const ssize_t Taken = Caller.sendSome(Bytes.substr(Sent));
      Stalled = Taken > 0 ? 0 : Stalled + 1;
      Sent += static_cast<std::size_t>(std::max<ssize_t>(Taken, 0));
      return Sent == Bytes.size() || Stalled > 50;
    });
    return Sent;
  }
};

// Guards against a host that holds a body for each connection, however many
// there are, and is ended by the system for its memory.
TEST_CASE_FIXTURE(AdmissionFixture,
                  "callers that send all but the last bytes of long bodies") {
  const std::string Head = headOf(LongBody);
  const std::string Part = Head + std::string(LongBody - 10, 'x');
  std::size_t SentByThird = 0; // of the body
  std::vector<std::unique_ptr<RawConnection>> Callers;
  for (int Caller = 0; Caller < 6; ++Caller) {
    Callers.push_back(
        std::make_unique<RawConnection>(RawConnection::connectTo(Port)));
    Callers.back()->limitSendBuffer(64 << 10);
    const std::size_t Sent = sendAll(*Callers.back(), Part);
    CHECK((Sent == Part.size()) == (Caller < 2));
    if (Caller == 2)
      SentByThird = Sent - Head.size();
  }
  CHECK(Admission.heldBytes() == 2 * LongBody);
  REQUIRE(Admission.Waiting.size() == 4);

  SUBCASE("don't keep short requests from being served") {
    RawConnection Caller(RawConnection::connectTo(Port));
    Caller.send(headOf(4) + "body");
    runUntil([&]() { return !Arrived.empty(); });
    CHECK(*Bodies[0] == "body");
    Bodies.clear();
  }
  SUBCASE("are read once memory is free again") {
    Callers[0]->send(std::string(10, 'x'));
    runUntil([&]() { return Arrived.size() == 1; });
    CHECK(Bodies[0]->size() == LongBody);
    CHECK(Admission.heldBytes() == 2 * LongBody);
    Bodies.clear();
    Server.answer(Arrived[0], 200, {}, "");
    CHECK(Admission.heldBytes() == LongBody);
    const CallerBodyId Next = Admission.Waiting.front();
    Admission.Held[Next] = LongBody;
    std::erase(Admission.Waiting, Next);
    Server.admitBody(Next);
    const std::string Rest(LongBody, 'x');
    std::string_view Left = std::string_view(Rest).substr(SentByThird);
    runUntil([&]() {
      const ssize_t Taken = Callers[2]->sendSome(Left);
      Left.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(Taken, 0)));
      return Arrived.size() == 2;
    });
    CHECK(Bodies[0]->size() == LongBody);
  }
  SUBCASE("get a 503 with Retry-After when they are refused") {
    Server.refuseBody(Admission.Waiting.front());
    runUntil(
        [&]() { return Callers[2]->received().starts_with("HTTP/1.1 503 "); });
    CHECK(Callers[2]->received().find("Retry-After: 0.5") != std::string::npos);
    CHECK(Rejected[0] == ErrorKind::MemoryFull);
    CHECK(Admission.Waiting.size() == 3);
  }
  SUBCASE("free their places when they leave") {
    for (const auto &Caller : Callers)
      Caller->reset();
    runUntil([&]() { return Server.connections() == 0; });
    CHECK(Admission.Held.empty());
    CHECK(Admission.Waiting.empty());
  }
  CHECK(Admission.heldBytes() <= 2 * LongBody);
}

TEST_CASE_FIXTURE(AdmissionFixture, "a caller that asks before it sends") {
  Admission.MaxLong = 0;
  RawConnection Caller(RawConnection::connectTo(Port));
  SUBCASE("is told to go on once its body is admitted") {
    Caller.send(headOf(LongBody, "Expect: 100-continue\r\n"));
    runUntil([&]() { return !Admission.Waiting.empty(); });
    CHECK(Caller.received().empty());
    Server.admitBody(Admission.Waiting.front());
    runUntil([&]() { return Caller.received().starts_with("HTTP/1.1 100 "); });
  }
  SUBCASE("is refused before it sends") {
    Admission.MayWait = false;
    Caller.send(headOf(LongBody, "Expect: 100-continue\r\n"));
    runUntil([&]() { return Caller.ended(); });
    CHECK(Caller.received().starts_with("HTTP/1.1 503 "));
  }
}

// Guards against a wait that counts as the caller's slowness.
TEST_CASE_FIXTURE(AdmissionFixture,
                  "a wait for memory is no part of the body's time") {
  CallerServerLimits Limits;
  Limits.BodyTimeout = milliseconds(300);
  Server.setLimits(Limits);
  Admission.MaxLong = 0;
  RawConnection Caller(RawConnection::connectTo(Port));
  Caller.send(headOf(100'000));
  runUntil([&]() { return !Admission.Waiting.empty(); });
  bool Waited = false;
  const TimerConnection Wait =
      Timers.once(milliseconds(1500), [&]() { Waited = true; });
  runUntil([&]() { return Waited; });
  CHECK(Rejected.empty());
  Server.admitBody(Admission.Waiting.front());
  Caller.send(std::string(100'000, 'x'));
  runUntil([&]() { return !Arrived.empty(); });
  CHECK(Bodies[0]->size() == 100'000);
}

TEST_CASE_FIXTURE(AdmissionFixture, "a body in chunks") {
  Admission.MaxLong = 1;
  Admission.MayWait = false;
  RawConnection Caller(RawConnection::connectTo(Port));
  Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n");
  const std::string Chunk = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
  std::string Message;
  for (int Count = 0; Count < 32; ++Count)
    Message += Chunk;
  Message += "0\r\n\r\n";
  SUBCASE("asks for memory as it grows") {
    CHECK(sendAll(Caller, Message) == Message.size());
    runUntil([&]() { return !Arrived.empty(); });
    CHECK(Bodies[0]->size() == 32 * 0x8000);
    CHECK(Admission.heldBytes() >= 32 * 0x8000);
    CHECK(Admission.heldBytes() <= 2 * 32 * 0x8000);
  }
  SUBCASE("is refused when there is none left") {
    Admission.MaxLong = 0;
    sendAll(Caller, Message);
    runUntil([&]() { return !Rejected.empty(); });
    CHECK(Rejected[0] == ErrorKind::MemoryFull);
    CHECK(Admission.Held.empty());
  }
}

// Guards against a body that is held in the request and in the socket's buffer.
TEST_CASE_FIXTURE(LoopFixture, "a long body is sent without a copy") {
  RawListener Target;
  KeepAliveClient Client(Loop);
  KeepAliveCall Call;
  Call.Address = {"127.0.0.1", Target.port()};
  Call.Method = "POST";
  Call.RequestTarget = "/a";
  auto Body = std::make_shared<const std::string>(LongBody, 'x');
  const std::weak_ptr<const std::string> Watched = Body;
  Call.SharedBody = Body;
  std::optional<KeepAliveOutcome> Outcome;
  Call.OnEnd = [&](CallId, KeepAliveOutcome Ended) { Outcome = Ended; };
  Client.start(std::move(Call));
  CHECK(Body.use_count() == 2);
  Body.reset();
  int Accepted = -1;
  runUntil([&]() { return (Accepted = Target.accept()) >= 0; });
  RawConnection Connection(Accepted);
  CHECK_FALSE(Watched.expired());
  runUntil([&]() { return Connection.received().size() > LongBody; });
  CHECK(Connection.received().ends_with(std::string(LongBody, 'x')));
  CHECK(Watched.expired());
  Connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  runUntil([&]() { return Outcome.has_value(); });
  CHECK(*Outcome == KeepAliveOutcome::Complete);
}

} // namespace
} // namespace marjorambay
