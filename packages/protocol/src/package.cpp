/// Compiles the public header of the package on its own.
#include "marjorambay/protocol.h"
