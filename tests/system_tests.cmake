# Tests that run whole programs; one add_test a line, each bounded by TIMEOUT.
add_test(NAME layers COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-layers)

# Aims of the policy, in virtual time; the same figures each run.
add_test(NAME policy_bench COMMAND policy_bench --seeds 2 --check)
set_tests_properties(policy_bench PROPERTIES TIMEOUT 120)
