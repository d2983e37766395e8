/// Scenarios of requests: completions, non-idempotent calls, overload, stops.
#ifndef MARJORAMBAY_TESTS_MATRIX_REQUEST_SCENARIOS_H
#define MARJORAMBAY_TESTS_MATRIX_REQUEST_SCENARIOS_H

#include "matrix.h"

#include <vector>

namespace marjorambay::matrix {

/// The system's own parts.
Model requestModel();

/// Naive versions, each with one habit that the checks must reject.
std::vector<Model> naiveRequestModels();

} // namespace marjorambay::matrix

#endif // MARJORAMBAY_TESTS_MATRIX_REQUEST_SCENARIOS_H
