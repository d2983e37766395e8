/// Checks that the public header of the package compiles on its own.
#include "marjorambay/protocol.h"
