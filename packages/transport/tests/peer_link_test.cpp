/// Tests of PeerLink.
#include "loop_fixture.h"

using namespace marjorambay;

TEST_CASE("two hosts exchange messages") {
  LoopFixture Test;
  PeerLink Local(Test.Loop, {});
  PeerLink Remote(Test.Loop, {});
  const auto LocalAddress = Local.bind("127.0.0.1:0");
  REQUIRE(ok(LocalAddress));
  const auto RemoteAddress = Remote.bind("127.0.0.1:0");
  REQUIRE(ok(RemoteAddress));
  std::vector<std::string> Messages;
  Remote.Received.connect([&Messages](std::string_view Message) {
    Messages.emplace_back(Message);
  });

  SUBCASE("a burst larger than one loop turn arrives completely and in order") {
    // The descriptor is edge-triggered: a turn that leaves messages unread, or
    // a send that consumes the edge, would stall here.
    constexpr std::size_t Burst = 2000;
    std::size_t Sent = 0;
    const auto Sender = Test.Timers.every(milliseconds(1), [&]() {
      for (int Count = 0; Count < 200 && Sent < Burst; ++Count)
        Local.send(value(RemoteAddress), std::to_string(Sent++));
    });
    Test.runUntil([&Messages]() { return Messages.size() == Burst; });
    CHECK(Messages.front() == "0");
    CHECK(Messages.back() == std::to_string(Burst - 1));
    CHECK(Local.traffic().MessagesSent == Burst);
    CHECK(Remote.traffic().MessagesReceived == Burst);
    CHECK(Local.traffic().BytesSent == Remote.traffic().BytesReceived);
  }
  SUBCASE("both directions are used at once, each host answering the other") {
    std::size_t Replies = 0;
    Local.Received.connect([&](std::string_view) {
      if (++Replies < 500)
        Local.send(value(RemoteAddress), "ping");
    });
    Remote.Received.connect(
        [&](std::string_view) { Remote.send(value(LocalAddress), "pong"); });
    Local.send(value(RemoteAddress), "ping");
    Test.runUntil([&Replies]() { return Replies == 500; });
  }
}

TEST_CASE("a peer is unreachable") {
  LoopFixture Test;
  PeerLinkLimits Limits;
  Limits.MaxOutboxBytes = 1000;
  Limits.MaxOutboxAge = milliseconds(50);
  PeerLink Local(Test.Loop, Limits);
  std::string Address;
  {
    PeerLink Stopped(Test.Loop, {});
    Address = value(Stopped.bind("127.0.0.1:0"));
  }
  SUBCASE("its queue is bounded, and further messages are counted as dropped") {
    for (int Count = 0; Count < 100; ++Count)
      Local.send(Address, std::string(100, 'x'));
    CHECK(Local.traffic().MessagesSent == 0);
    CHECK(Local.traffic().MessagesDropped == 90);
  }
  SUBCASE("it restarts and receives no expired message") {
    Local.send(Address, "old");
    bool Waited = false;
    const auto Pause =
        Test.Timers.once(milliseconds(100), [&Waited]() { Waited = true; });
    Test.runUntil([&Waited]() { return Waited; });
    PeerLink Restarted(Test.Loop, {});
    REQUIRE(ok(Restarted.bind(Address)));
    std::vector<std::string> Messages;
    Restarted.Received.connect([&Messages](std::string_view Message) {
      Messages.emplace_back(Message);
    });
    const auto Sender = Test.Timers.every(
        milliseconds(20), [&]() { Local.send(Address, "new"); });
    Test.runUntil([&Messages]() { return !Messages.empty(); });
    CHECK(Messages.front() == "new");
  }
}

TEST_CASE("a message above the limit closes the connection, not the host") {
  LoopFixture Test;
  PeerLinkLimits Limits;
  Limits.MaxMessageBytes = 1000;
  PeerLink Local(Test.Loop, {});
  PeerLink Remote(Test.Loop, Limits);
  const std::string Address = value(Remote.bind("127.0.0.1:0"));
  std::vector<std::size_t> Sizes;
  Remote.Received.connect(
      [&Sizes](std::string_view Message) { Sizes.push_back(Message.size()); });
  Local.send(Address, std::string(2000, 'x'));
  const auto Sender =
      Test.Timers.every(milliseconds(20), [&]() { Local.send(Address, "ok"); });
  Test.runUntil([&Sizes]() { return !Sizes.empty(); });
  CHECK(Sizes.front() == 2);
}
