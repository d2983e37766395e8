# Tests that run whole programs; one add_test a line, each bounded by TIMEOUT.
add_test(NAME layers COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-layers)
