/// The callers' side of forwarded routes: whole requests in, answers out, over
/// kept connections.
///
/// [SECTION] Index
///   1. CallerServerLimits  what a connection may cost
///   2. CallerRequest       one whole request
///   3. CallerServer        signals in, answers out, addressed by ExchangeId
#ifndef MARJORAMBAY_TRANSPORT_CALLER_SERVER_H
#define MARJORAMBAY_TRANSPORT_CALLER_SERVER_H

#include "marjorambay/transport/http1.h"
#include "marjorambay/transport/retiring_map.h"
#include "marjorambay/transport/stream_socket.h"
#include "marjorambay/transport/timer_service.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambay {

struct CallerServerLimits {
  std::size_t MaxHeaderBytes = 16 << 10;
  std::size_t MaxBodyBytes = 4 << 20;
  std::size_t MaxConnections = 2000;
  Duration HeaderTimeout = seconds(3); ///< from the first byte to the last
  Duration BodyTimeout = seconds(15);  ///< for the body after that
  Duration IdleTimeout = seconds(15);  ///< without a request
};

/// A whole request; valid during the signal, the body may be moved out.
struct CallerRequest {
  ExchangeId Id{};
  const HttpHead &Head;
  std::string &Body;
};

/// Answers callers. Every exchange ends by answer(), endAnswer(), cut() or the
/// signal CallerGone; calls with the id of an ended exchange do nothing.
class CallerServer {
public:
  CallerServer(EventLoop &Loop, TimerService &Timers,
               CallerServerLimits Limits = {});
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// Returns the port, for port 0.
  Result<std::uint16_t> listen(const SocketAddress &Address);
  /// Takes effect for what arrives from now on.
  void setLimits(const CallerServerLimits &Given) { Limits = Given; }
  /// Each answer from now on closes its connection; idle ones are closed.
  void disableKeepAlive();
  void closeIdleConnections();
  /// Closes the listening socket; connections that stand go on.
  void stopListening();

  void answer(ExchangeId Id, int Status, const HttpHeaders &Headers,
              std::string_view Body);
  /// Starts an answer of unknown length, sent in chunks.
  void beginResponse(ExchangeId Id, int Status, const HttpHeaders &Headers);
  /// Sends one chunk. Returns the bytes that the caller has yet to take.
  std::size_t sendChunk(ExchangeId Id, std::string_view Bytes);
  void endResponse(ExchangeId Id);
  /// Closes the connection without an end of the answer.
  void abort(ExchangeId Id);

  std::size_t connections() const { return Connections.size(); }
  std::size_t exchanges() const { return Exchanges.size(); }

  sigc::signal<void(CallerRequest &)> RequestArrived{};
  /// The bytes are no request that can be taken; answer() tells the caller why,
  /// and the connection then closes.
  sigc::signal<void(ExchangeId, const HttpHead &, ErrorKind)> RequestRejected{};
  /// The caller's connection ended before its answer did.
  sigc::signal<void(ExchangeId)> CallerDisconnected{};

private:
  enum class ConnectionId : std::uint64_t {};
  struct Connection;

  static void acceptable(int Descriptor, short What, void *Self);
  void accept();
  void add(int Descriptor);
  void bytes(Connection &From, std::string_view Bytes);
  void parse(Connection &From);
  void arrived(Connection &From);
  void refuse(Connection &From, ErrorKind Why);
  void ended(Connection &Which);
  void finished(Connection &Which);
  void lingerThenClose(Connection &Which);
  void retire(Connection &Which);
  void sweep();
  Connection *find(ExchangeId Id) const;

  EventLoop &Loop;
  CallerServerLimits Limits;
  int Listener = -1;
  EventPtr Acceptable{};
  bool Closing = false;
  std::uint64_t LastConnection = 0;
  std::uint64_t LastExchange = 0;
  RetiringMap<ConnectionId, Connection> Connections;
  std::unordered_map<ExchangeId, ConnectionId> Exchanges{};
  TimerConnection Sweeper{};
};

} // namespace marjorambay

#endif // MARJORAMBAY_TRANSPORT_CALLER_SERVER_H
