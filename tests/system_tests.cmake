# Tests that run whole programs; one add_test a line, each bounded by TIMEOUT.
add_test(NAME layers COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-layers)

# Stand-ins, and daemons among them.
find_package(Python3 REQUIRED COMPONENTS Interpreter)
function(marjorambay_system_test Name File Timeout)
  add_test(NAME ${Name}
    COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/tests/system/${File} ${ARGN})
  set_tests_properties(${Name} PROPERTIES TIMEOUT ${Timeout}
    ENVIRONMENT "MARJORAMBAY_BIN=${CMAKE_BINARY_DIR}/bin;PYTHONDONTWRITEBYTECODE=1")
endfunction()
marjorambay_system_test(standins standins_test.py 60)
