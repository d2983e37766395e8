/// How it travels: the libevent loop, HTTP, ZeroMQ and timers.
#ifndef MARJORAMBAY_TRANSPORT_H
#define MARJORAMBAY_TRANSPORT_H

#endif // MARJORAMBAY_TRANSPORT_H
