/// Tests of messages between peers.
#include "loop_fixture.h"

using namespace marjorambay;

TEST_CASE("two hosts exchange messages") {
  LoopFixture Test;
  PeerLink Here(Test.Loop, {});
  PeerLink There(Test.Loop, {});
  const auto HereAt = Here.bind("127.0.0.1:0");
  REQUIRE(ok(HereAt));
  const auto Bound = There.bind("127.0.0.1:0");
  REQUIRE(ok(Bound));
  std::vector<std::string> Got;
  There.Received.connect(
      [&Got](std::string_view Message) { Got.emplace_back(Message); });

  SUBCASE("a burst arrives whole and in order, more than one turn takes") {
    // The descriptor is edge triggered: a turn that leaves messages behind, or
    // a send that eats the edge, would stall here.
    constexpr std::size_t Burst = 2000;
    std::size_t Sent = 0;
    const auto Pump = Test.Timers.every(milliseconds(1), [&]() {
      for (int Count = 0; Count < 200 && Sent < Burst; ++Count)
        Here.send(value(Bound), std::to_string(Sent++));
    });
    Test.runUntil([&Got]() { return Got.size() == Burst; });
    CHECK(Got.front() == "0");
    CHECK(Got.back() == std::to_string(Burst - 1));
    CHECK(Here.traffic().MessagesSent == Burst);
    CHECK(There.traffic().MessagesReceived == Burst);
    CHECK(Here.traffic().BytesSent == There.traffic().BytesReceived);
  }
  SUBCASE("both ways at once, each answering the other") {
    std::size_t Back = 0;
    Here.Received.connect([&](std::string_view) {
      if (++Back < 500)
        Here.send(value(Bound), "ping");
    });
    There.Received.connect(
        [&](std::string_view) { There.send(value(HereAt), "pong"); });
    Here.send(value(Bound), "ping");
    Test.runUntil([&Back]() { return Back == 500; });
  }
}

TEST_CASE("a peer is away") {
  LoopFixture Test;
  PeerLinkLimits Limits;
  Limits.MaxOutboxBytes = 1000;
  Limits.MaxOutboxAge = milliseconds(50);
  PeerLink Here(Test.Loop, Limits);
  std::string Address;
  {
    PeerLink Gone(Test.Loop, {});
    Address = value(Gone.bind("127.0.0.1:0"));
  }
  SUBCASE("what waits for it is bounded, and the rest is counted as dropped") {
    for (int Count = 0; Count < 100; ++Count)
      Here.send(Address, std::string(100, 'x'));
    CHECK(Here.traffic().MessagesSent == 0);
    CHECK(Here.traffic().MessagesDropped == 90);
  }
  SUBCASE("it comes back and gets no message that has grown old") {
    Here.send(Address, "old");
    bool Waited = false;
    const auto Pause =
        Test.Timers.once(milliseconds(100), [&Waited]() { Waited = true; });
    Test.runUntil([&Waited]() { return Waited; });
    PeerLink Back(Test.Loop, {});
    REQUIRE(ok(Back.bind(Address)));
    std::vector<std::string> Got;
    Back.Received.connect(
        [&Got](std::string_view Message) { Got.emplace_back(Message); });
    const auto Pump = Test.Timers.every(milliseconds(20),
                                        [&]() { Here.send(Address, "new"); });
    Test.runUntil([&Got]() { return !Got.empty(); });
    CHECK(Got.front() == "new");
  }
}

TEST_CASE("a message above the limit ends the connection, not the host") {
  LoopFixture Test;
  PeerLinkLimits Small;
  Small.MaxMessageBytes = 1000;
  PeerLink Here(Test.Loop, {});
  PeerLink There(Test.Loop, Small);
  const std::string Address = value(There.bind("127.0.0.1:0"));
  std::vector<std::size_t> Sizes;
  There.Received.connect(
      [&Sizes](std::string_view Message) { Sizes.push_back(Message.size()); });
  Here.send(Address, std::string(2000, 'x'));
  const auto Pump =
      Test.Timers.every(milliseconds(20), [&]() { Here.send(Address, "ok"); });
  Test.runUntil([&Sizes]() { return !Sizes.empty(); });
  CHECK(Sizes.front() == 2);
}
