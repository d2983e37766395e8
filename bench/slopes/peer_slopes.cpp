/// Slopes of peer messages: bytes and time of what one request costs between
/// its origin and its arbiter, and of rollout evidence.
#include "peer_codec.h"
#include "slopes.h"

namespace marjorambay::bench {

namespace {

const PeerSender Sender{HostId{7}, IncarnationId{1'790'000'000'000'000},
                        "10.11.12.13:8081"};

Reservation reservation(std::uint64_t Number) {
  Reservation Asked;
  Asked.Key = {Sender.Id, Sender.Incarnation, RequestId{Number}};
  Asked.Account = idOf<AccountId>("account");
  Asked.Pool = idOf<PoolId>("pool");
  Asked.Model = idOf<ModelId>("model");
  Asked.Cost = {400, 300};
  Asked.PrefixHash = hash64("prefix");
  Asked.Remaining = seconds(30);
  return Asked;
}

Usage usage() {
  Usage Used;
  Used.PromptTokens = 400;
  Used.OutputTokens = 300;
  Used.TimeToFirstToken = milliseconds(500);
  Used.Total = seconds(12);
  return Used;
}

/// Reservation, grant, progress each 3 s for 12 s, and release of one request.
void addRequest(EnvelopeWriter &Out, std::uint64_t Number) {
  constexpr int ProgressReports = 4;
  const PoolId Pool = idOf<PoolId>("pool");
  const Reservation Asked = reservation(Number);
  Out.add(ArbiterMessage{Pool, SlotRequested{Asked}});
  Out.add(OriginMessage{Pool, GrantSlot{Asked.Key, idOf<TargetId>("t")}});
  for (int Report = 0; Report < ProgressReports; ++Report)
    Out.add(ArbiterMessage{Pool, SlotProgressed{Asked.Key, 25}});
  Out.add(ArbiterMessage{Pool, SlotReleased{Asked.Key, usage()}});
}

std::string printRequests(std::size_t Requests) {
  EnvelopeWriter Out;
  for (std::size_t Number = 1; Number <= Requests; ++Number)
    addRequest(Out, Number);
  return Out.serialize(Sender);
}

double bytesOfRequests(std::size_t Requests) {
  return static_cast<double>(printRequests(Requests).size());
}

double microsOfRequests(std::size_t Requests) {
  return microsOf([&] {
    const std::string Bytes = printRequests(Requests);
    keep(ok(parseEnvelope(Bytes)));
  });
}

} // namespace

std::vector<Slope> peerSlopes() {
  return {
      {"request_peer_bytes",
       "request, its messages between origin and arbiter",
       "B",
       {10, 100, 1000},
       bytesOfRequests},
      {"request_peer_micros",
       "request, its messages written and read",
       "us",
       {100, 1000, 4000},
       microsOfRequests},
  };
}

} // namespace marjorambay::bench
