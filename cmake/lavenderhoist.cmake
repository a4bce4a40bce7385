# Functions that declare a library and its unit tests.

# Declares the static library lh_<name> from <folder>/src; further arguments are its dependencies.
function(lavenderhoist_library_in name folder)
  file(GLOB sources CONFIGURE_DEPENDS ${folder}/src/*.cpp)
  add_library(lh_${name} STATIC ${sources})
  target_include_directories(lh_${name} PUBLIC ${folder}/include)
  target_link_libraries(lh_${name} PUBLIC ${ARGN})
  file(GLOB tests CONFIGURE_DEPENDS ${folder}/test/*.cpp)
  if(tests AND LAVENDERHOIST_TESTS)
    add_executable(test_${name} ${tests})
    target_link_libraries(test_${name} PRIVATE lh_${name} GTest::gtest_main ${RAPIDCHECK_LIBRARY})
    set_target_properties(test_${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/libs)
    gtest_discover_tests(test_${name} PROPERTIES TIMEOUT 120 LABELS unit)
  endif()
endfunction()

# Declares the library libs/<name>.
function(lavenderhoist_library name)
  lavenderhoist_library_in(${name} ${CMAKE_CURRENT_SOURCE_DIR}/${name} ${ARGN})
endfunction()
