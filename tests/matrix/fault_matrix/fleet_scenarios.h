/// Scenarios of the fleet: configuration, signs of targets, trips of versions.
#ifndef MARJORAMBAY_TESTS_MATRIX_FLEET_SCENARIOS_H
#define MARJORAMBAY_TESTS_MATRIX_FLEET_SCENARIOS_H

#include "matrix.h"

#include <vector>

namespace marjorambay::matrix {

/// Membership and ConfigSync as they are.
Model fleetModel();

/// Last write wins, what was read last is in force, a time-out counts as a
/// refusal; and signs that are sent once and forgotten by a timer.
std::vector<Model> naiveFleetModels();

} // namespace marjorambay::matrix

#endif // MARJORAMBAY_TESTS_MATRIX_FLEET_SCENARIOS_H
