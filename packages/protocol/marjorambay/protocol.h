/// What is said: messages of callers, targets, the platform, operators and
/// peers, to and from typed structs. No socket.
#ifndef MARJORAMBAY_PROTOCOL_H
#define MARJORAMBAY_PROTOCOL_H

#endif // MARJORAMBAY_PROTOCOL_H
