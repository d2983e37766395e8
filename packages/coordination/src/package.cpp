/// Compiles the public headers of the package on their own.
#include "marjorambay/coordination.h"
