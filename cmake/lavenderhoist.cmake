# Helpers that declare the libraries and their tests alike.

# Declares the static library lh_<name> from libs/<name>/src; further arguments are its dependencies.
function(lavenderhoist_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/src/*.cpp)
  add_library(lh_${name} STATIC ${sources})
  target_include_directories(lh_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/${name}/include)
  target_link_libraries(lh_${name} PUBLIC ${ARGN})
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/test/*.cpp)
  if(tests)
    add_executable(test_${name} ${tests})
    target_link_libraries(test_${name} PRIVATE lh_${name} GTest::gtest_main ${RAPIDCHECK_LIBRARY})
    add_test(NAME ${name} COMMAND test_${name})
  endif()
endfunction()
