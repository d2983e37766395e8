/// Targets that send a second copy of a response, late, on a connection that is
/// in use again: no call gets another call's response.
#include "loop_fixture.h"
#include "raw_peer.h"

#include "marjorambay/state/random.h"
#include "marjorambay/transport/carried_ids.h"
#include "marjorambay/transport/keep_alive_client.h"

#include <cstdlib>
#include <deque>
#include <map>
#include <optional>
#include <thread>

namespace marjorambay {

namespace {

std::string responseOf(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\n" +
         (Id.empty() ? "" : "X-Request-Id: " + Id + "\r\n") +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

struct LateCopyFixture : LoopFixture {
  struct Answer {
    std::string Body{};
    std::optional<KeepAliveOutcome> Outcome{};
  };

  CallId start(const std::string &Id, Answer &To) {
    KeepAliveCall Call;
    Call.Address = {"127.0.0.1", Listener.port()};
    Call.RequestTarget = "/" + Id;
    Call.CorrelationHeader = "X-Request-Id";
    Call.CorrelationId = Id;
    Call.OnBody = [&To](CallId, std::string_view Bytes) { To.Body += Bytes; };
    Call.OnEnd = [&To](CallId, KeepAliveOutcome Outcome) {
      To.Outcome = Outcome;
    };
    return Client.start(std::move(Call));
  }
  void accept() {
    runUntil([this]() {
      const int Descriptor = Listener.accept();
      if (Descriptor >= 0)
        Peers.push_back(std::make_unique<RawConnection>(Descriptor));
      return Descriptor >= 0;
    });
  }
  /// Completes a first call, so that its connection is idle.
  void completeFirst(const std::string &Id) {
    start(Id, First);
    accept();
    Peers[0]->send(responseOf(Id, "first"));
    runUntil([this]() { return First.Outcome.has_value(); });
    REQUIRE(First.Body == "first");
  }
  void wait(Duration Time) {
    const TimePoint End = Loop.now() + Time;
    runUntil([&]() { return Loop.now() >= End; });
  }

  RawListener Listener{};
  std::vector<std::unique_ptr<RawConnection>> Peers{};
  KeepAliveClient Client{Loop};
  Answer First{};
  Answer Second{};
};

} // namespace

TEST_CASE("A late copy reaches a connection in use by another call") {
  for (const int DelayMs : {1, 3, 10, 30, 100, 300, 1000, 10'000})
    for (const bool Identified : {true, false}) {
      CAPTURE(DelayMs);
      CAPTURE(Identified);
      LateCopyFixture F;
      F.completeFirst("r1");
      F.start("r2", F.Second);
      F.wait(milliseconds(DelayMs));
      F.Peers[0]->send(responseOf(Identified ? "r1" : "", "first"));
      F.Peers[0]->send(responseOf("r2", "second"));
      F.runUntil([&]() { return F.Second.Outcome.has_value(); });
      CHECK(F.Second.Outcome == KeepAliveOutcome::Complete);
      CHECK(F.Second.Body == "second");
      CHECK(F.Client.connectionsOpened() == 1);
    }
}

TEST_CASE(
    "A late copy arrives between the check of a connection and the send") {
  for (const bool Identified : {true, false})
    for (const std::string Id : {"r2", ""}) {
      CAPTURE(Identified);
      CAPTURE(Id);
      LateCopyFixture F;
      F.completeFirst("r1");
      // The loop does not run in between, so that the client has not read it.
      F.Peers[0]->send(responseOf(Identified ? "r1" : "", "first"));
      std::this_thread::sleep_for(milliseconds(5));
      F.start(Id, F.Second);
      F.wait(milliseconds(20));
      CHECK(F.Second.Body.empty());
      CHECK_FALSE(F.Second.Outcome.has_value());
    }
}

TEST_CASE("A late copy reaches a call without an id of its own") {
  for (const int DelayMs : {1, 10, 100}) {
    CAPTURE(DelayMs);
    LateCopyFixture F;
    F.completeFirst("");
    F.start("", F.Second);
    F.wait(milliseconds(DelayMs));
    F.Peers[0]->sendSome(responseOf("", "first"));
    F.wait(milliseconds(20));
    CHECK(F.Second.Body.empty());
    CHECK_FALSE(F.Second.Outcome.has_value());
  }
}

TEST_CASE("A late copy reaches an idle connection") {
  for (const int DelayMs : {1, 10, 100, 1000}) {
    CAPTURE(DelayMs);
    LateCopyFixture F;
    F.completeFirst("r1");
    F.wait(milliseconds(DelayMs));
    F.Peers[0]->send(responseOf("r1", "first"));
    F.wait(milliseconds(20));
    F.start("r2", F.Second);
    F.accept();
    F.Peers[1]->send(responseOf("r2", "second"));
    F.runUntil([&]() { return F.Second.Outcome.has_value(); });
    CHECK(F.Second.Body == "second");
  }
}

// Guards against a promise that a request was not executed, made by the first
// sending's response, while the target executes the second one.
TEST_CASE("A late copy reaches a second sending of its request") {
  for (const int DelayMs : {0, 1, 10, 100, 1000}) {
    CAPTURE(DelayMs);
    LateCopyFixture F;
    F.completeFirst("r1");
    F.wait(milliseconds(DelayMs));
    F.start("r1", F.Second);
    F.accept(); // a connection that has not carried the request
    F.Peers[0]->sendSome(responseOf("r1", "first"));
    F.wait(milliseconds(20));
    CHECK(F.Second.Body.empty());
    F.Peers[1]->send(responseOf("r1", "second"));
    F.runUntil([&]() { return F.Second.Outcome.has_value(); });
    CHECK(F.Second.Body == "second");
  }
}

TEST_CASE("A second sending uses an idle connection that did not carry it") {
  LateCopyFixture F;
  LateCopyFixture::Answer Other;
  F.start("r1", F.First);
  F.accept();
  F.start("r2", Other);
  F.accept();
  F.Peers[1]->send(responseOf("r2", "other"));
  F.runUntil([&]() { return Other.Outcome.has_value(); });
  F.Peers[0]->send(responseOf("r1", "first"));
  F.runUntil([&]() { return F.First.Outcome.has_value(); });
  F.start("r1", F.Second);
  F.Peers[1]->send(responseOf("r1", "second"));
  F.runUntil([&]() { return F.Second.Outcome.has_value(); });
  CHECK(F.Second.Body == "second");
  CHECK(F.Client.connectionsOpened() == 2);
}

TEST_CASE("A response without an id after one to another call") {
  LateCopyFixture F;
  F.start("r1", F.First);
  F.accept();
  F.Peers[0]->send(responseOf("another", "foreign"));
  F.Peers[0]->send(responseOf("", "unknown"));
  F.wait(milliseconds(20));
  CHECK(F.First.Body.empty());
  CHECK_FALSE(F.First.Outcome.has_value());
}

namespace {

/// Connections to a target that sends responses once more, late, and leaves the
/// id out of some. Requests are sent up to three times, as after refusals.
struct CopyingTarget {
  struct Response {
    std::uint64_t Sending = 0;
    std::string Id{};
  };
  struct Connection {
    ConnectionId Id{};
    std::deque<Response> Copies{}; ///< to be sent before later responses
    bool Used = false;
    bool HasDiscarded = false;
  };

  explicit CopyingTarget(std::uint64_t Seed) : Random(Seed) {}

  bool chance(unsigned OneIn) { return Random.next() % OneIn == 0; }

  Connection &connectionFor(const std::string &Id) {
    std::vector<Connection *> Free;
    for (Connection &Each : Connections)
      if (!Carried.hasCarried(Each.Id, Id))
        Free.push_back(&Each);
    if (!Free.empty() && !chance(4))
      return *Free[Random.next() % Free.size()];
    Connections.push_back({static_cast<ConnectionId>(++LastConnection)});
    return Connections.back();
  }

  /// Sends a request. Returns the sending to which the response belongs that
  /// the host takes for the answer.
  std::uint64_t send(const std::string &Id, std::uint64_t Sending) {
    Connection &On = connectionFor(Id);
    Carried.record(On.Id, Id, TimePoint(seconds(1'000'000)));
    const Response Own{Sending, chance(8) ? "" : Id};
    std::vector<Response> Arriving;
    while (!On.Copies.empty() && !chance(3)) { // later ones come later still
      Arriving.push_back(On.Copies.front());
      On.Copies.pop_front();
    }
    Arriving.push_back(Own);
    for (unsigned Copy = 0; Copy < Random.next() % 3; ++Copy)
      On.Copies.push_back(Own);
    for (const Response &Each : Arriving) {
      const bool IsFirst = !On.Used && !On.HasDiscarded;
      if (belongsToCall({Each.Id, Id, IsFirst})) {
        On.Used = true;
        return Each.Sending;
      }
      On.HasDiscarded = true;
    }
    return Sending; // all were discarded, and the call times out
  }

  SplitMix64 Random;
  CarriedIds Carried{};
  std::deque<Connection> Connections{};
  std::uint64_t LastConnection = 0;
};

std::size_t seeds() {
  const char *Wanted = std::getenv("MARJORAMBAY_SEEDS");
  return Wanted == nullptr ? 200 : std::strtoul(Wanted, nullptr, 10);
}

} // namespace

// The class of the fault, without sockets: any response of any sending, any
// number of times, on any later exchange of its connection.
TEST_CASE("Late copies of random requests, over random seeds") {
  for (std::uint64_t Seed = 1; Seed <= seeds(); ++Seed) {
    CAPTURE(Seed);
    CopyingTarget Target(Seed);
    std::uint64_t Sendings = 0;
    for (int Request = 0; Request < 60; ++Request) {
      const std::string Id = "r" + std::to_string(Request);
      for (std::uint64_t Left = 1 + Target.Random.next() % 3; Left > 0;
           --Left) {
        const std::uint64_t Sending = ++Sendings;
        REQUIRE(Target.send(Id, Sending) == Sending);
      }
    }
  }
}

TEST_CASE("Requests that are not sent once more are forgotten") {
  CarriedIds Carried;
  const auto At = [](int Second) { return TimePoint(seconds(Second)); };
  Carried.record(ConnectionId{1}, "a", At(20));
  Carried.record(ConnectionId{2}, "a", At(10));
  Carried.record(ConnectionId{1}, "b", At(30));
  CHECK(Carried.hasCarried(ConnectionId{2}, "a"));
  CHECK_FALSE(Carried.hasCarried(ConnectionId{2}, "b"));
  Carried.expire(At(15));
  CHECK_FALSE(Carried.hasCarried(ConnectionId{2}, "a"));
  CHECK(Carried.hasCarried(ConnectionId{1}, "a"));
  Carried.expire(At(31));
  CHECK(Carried.size() == 0);
}

} // namespace marjorambay
