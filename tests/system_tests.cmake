# Tests that run whole programs; one add_test a line, each bounded by TIMEOUT.
add_test(NAME layers COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-layers)
# Faults at every step: ours hold, and each check rejects a naive version.
add_test(NAME fault_matrix COMMAND fault_matrix --quick)
add_test(NAME fault_matrix_naive COMMAND fault_matrix --quick --naive)
set_tests_properties(fault_matrix fault_matrix_naive PROPERTIES TIMEOUT 120)
