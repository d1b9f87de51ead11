# cy_package(NAME DEPS dep...): a static library from packages/NAME/src/NAME/*.cc, its tests from
# test/*_test.cc (one executable NAME_test) and its benchmarks from bench/*_bench.cc.
# g++ 12 reports mismatched-new-delete for coroutine frames of Boost.Asio, which is wrong.
# LABELS adds ctest labels to every test of the package.
function(cy_package name)
  cmake_parse_arguments(ARG "" "" "DEPS;LABELS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/${name}/*.cc src/${name}/*/*.cc src/${name}/generated/*.cpp)
  if(sources)
    add_library(cy_${name} STATIC ${sources})
    set(scope PUBLIC)
    target_compile_options(cy_${name} PRIVATE -Wall -Wextra -Werror -Wno-mismatched-new-delete)
  else()
    add_library(cy_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(cy_${name} ${scope} ${CMAKE_CURRENT_SOURCE_DIR}/include
                             ${CMAKE_CURRENT_SOURCE_DIR})
  target_link_libraries(cy_${name} ${scope} ${ARG_DEPS})
  if(NOT CARDAMOMYARD_TESTS)
    return()
  endif()

  file(GLOB tests CONFIGURE_DEPENDS test/*_test.cc)
  if(tests)
    add_executable(${name}_test ${tests})
    target_compile_options(${name}_test PRIVATE -Wall -Wextra -Werror -Wno-mismatched-new-delete)
    target_link_libraries(${name}_test PRIVATE cy_${name} GTest::gtest GTest::gtest_main rapidcheck)
    cy_discover_tests(${name}_test "${name};${ARG_LABELS}")
  endif()
  file(GLOB benches CONFIGURE_DEPENDS bench/*_bench.cc)
  if(benches)
    add_executable(${name}_bench ${benches})
    target_link_libraries(${name}_bench PRIVATE cy_${name} benchmark::benchmark
                          benchmark::benchmark_main)
  endif()
endfunction()

# Registers the tests of a GoogleTest executable with ctest. A test named Rule07... or
# Rule07_... gets the label rule-07. The seed of rapidcheck is fixed so that every run
# gives the same verdict.
function(cy_discover_tests target labels)
  gtest_discover_tests(${target} DISCOVERY_TIMEOUT 60 TEST_LIST ${target}_tests PROPERTIES TIMEOUT 300)
  # gtest_discover_tests splits properties that are lists: of several environment variables
  # only the first was set. This file sets them when ctest starts.
  set(script ${CMAKE_CURRENT_BINARY_DIR}/${target}_properties.cmake)
  file(
    WRITE ${script}
    "foreach(test IN LISTS ${target}_tests)
  set(labels \"${labels}\")
  # Tests that bound the memory of a process run apart from other load.
  if(test MATCHES \"^client_memory\")
    set_tests_properties(\${test} PROPERTIES RUN_SERIAL TRUE)
  endif()
  if(test MATCHES \"Rule([0-9][0-9])\")
    list(APPEND labels rule-\${CMAKE_MATCH_1})
  endif()
  set_tests_properties(\${test} PROPERTIES LABELS \"\${labels}\" ENVIRONMENT
    \"RC_PARAMS=seed=20261204 max_success=200;CARDAMOMYARD_CHARTS=${CMAKE_SOURCE_DIR}/charts;CARDAMOMYARD_BIN=${CMAKE_BINARY_DIR}/bin\")
endforeach()
")
  set_property(DIRECTORY APPEND PROPERTY TEST_INCLUDE_FILES ${script})
endfunction()
include(GoogleTest)
