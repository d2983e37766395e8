/// Tests of a client with more calls than connections or descriptors.
#include "descriptor_shortage.h"
#include "loop_fixture.h"
#include "raw_peer.h"

#include "marjorambay/transport/datagram_link.h"
#include "marjorambay/transport/keep_alive_client.h"

#include <memory>
#include <optional>

namespace marjorambay {
namespace {

struct FullClientFixture : LoopFixture {
  RawListener Target{};
  KeepAliveClient Client{Loop};

  std::shared_ptr<std::optional<KeepAliveOutcome>>
  start(bool Reserved = false) {
    auto Outcome = std::make_shared<std::optional<KeepAliveOutcome>>();
    KeepAliveCall Call;
    Call.Address = {"127.0.0.1", Target.port()};
    Call.RequestTarget = "/a";
    Call.Reserved = Reserved;
    Call.OnEnd = [Outcome](CallId, KeepAliveOutcome How) { *Outcome = How; };
    Client.start(std::move(Call));
    return Outcome;
  }
};

// Guards against a target that counts as lost because this process had no
// descriptor for it.
TEST_CASE_FIXTURE(FullClientFixture, "a client without descriptors") {
  auto Shortage = std::make_unique<DescriptorShortage>();
  const auto Outcome = start();
  runUntil([&]() { return Outcome->has_value(); });
  Shortage.reset();
  CHECK(**Outcome == KeepAliveOutcome::NoResource);
  CHECK(neverSent(**Outcome));
}

// Guards against a start that ends at once because it lacks a descriptor.
TEST_CASE_FIXTURE(LoopFixture, "a datagram link without descriptors") {
  DatagramLink Link(Loop);
  auto Shortage = std::make_unique<DescriptorShortage>();
  const Result<Done> Bound = Link.bind({"127.0.0.1", 0});
  Shortage.reset();
  REQUIRE_FALSE(ok(Bound));
  CHECK(error(Bound).Kind == ErrorKind::AddressUnavailable);
  CHECK(ok(Link.bind({"127.0.0.1", 0})));
}

// Guards against a request that is sent without its body once a second attempt
// to connect succeeds.
TEST_CASE_FIXTURE(LoopFixture, "a connect that fails at once loses no bytes") {
  const RawListener Target;
  StreamSocket Socket(Loop);
  const std::string Head = "POST /a HTTP/1.1\r\n\r\n";
  const auto Body = std::make_shared<const std::string>(100'000, 'x');
  Socket.queue(Head);
  Socket.queueShared(Body);
  REQUIRE(Socket.connect({"255.255.255.255", 9}, {}) != ConnectStart::Started);
  REQUIRE(Socket.connect({"127.0.0.1", Target.port()}, {}) ==
          ConnectStart::Started);
  int Accepted = -1;
  runUntil([&]() { return (Accepted = Target.accept()) >= 0; });
  RawConnection Receiver(Accepted);
  runUntil([&]() {
    return Receiver.received().size() == Head.size() + Body->size();
  });
  CHECK(Receiver.received() == Head + *Body);
}

// Guards against connections to targets that leave none for the store.
TEST_CASE_FIXTURE(FullClientFixture, "a client with all connections in use") {
  Client.setMaxConnections(1);
  const auto First = start();

  SUBCASE("ends another call without blame of its target") {
    const auto Second = start();
    runUntil([&]() { return Second->has_value(); });
    CHECK(**Second == KeepAliveOutcome::NoResource);
    CHECK_FALSE(First->has_value());
  }
  SUBCASE("has one left for a reserved call") {
    const auto Second = start(true);
    CHECK(Client.connections() == 2);
    CHECK(Client.reservedConnections() == 1);
    CHECK_FALSE(Second->has_value());
  }
  SUBCASE("closes an idle connection for a call to another address") {
    const int Accepted = [&]() {
      int Descriptor = -1;
      runUntil([&]() { return (Descriptor = Target.accept()) >= 0; });
      return Descriptor;
    }();
    const RawConnection Answering(Accepted);
    Answering.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    runUntil([&]() { return First->has_value(); });
    REQUIRE(Client.connections() == 1);
    const RawListener Other;
    KeepAliveCall Call;
    Call.Address = {"127.0.0.1", Other.port()};
    Client.start(std::move(Call));
    CHECK(Client.connections() == 1);
    CHECK(Client.counters().IdleClosed == 1);
  }
}

} // namespace
} // namespace marjorambay
