# cornelplank_library(NAME [DEPS...]): a static library of all sources of the folder and of its internal/ folder.
function(cornelplank_library name)
  file(GLOB sources CONFIGURE_DEPENDS *.cc internal/*.cc)
  add_library(cornelplank_${name} STATIC ${sources})
  target_link_libraries(cornelplank_${name} PUBLIC ${ARGN} Threads::Threads)
endfunction()

# cornelplank_program(NAME [DEPS...]): one binary from all sources of the folder.
function(cornelplank_program name)
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN} Threads::Threads)
endfunction()

# cornelplank_test(NAME [RUN_SERIAL] [DEPS...]): one GoogleTest binary from all *_test.cc of the folder. Files named
# *_fuzz.cc register fuzz targets; they are collected into the object library fuzz_NAME, which both the test
# binary and the program cornelplank-fuzz use. RUN_SERIAL: ctest runs no other test at the same time.
function(cornelplank_test name)
  cmake_parse_arguments(PARSE_ARGV 1 test "RUN_SERIAL" "" "")
  set(dependencies ${test_UNPARSED_ARGUMENTS})
  file(GLOB sources CONFIGURE_DEPENDS *_test.cc)
  file(GLOB fuzzers CONFIGURE_DEPENDS *_fuzz.cc)
  add_executable(${name}_test ${sources})
  if(fuzzers)
    add_library(fuzz_${name} OBJECT ${fuzzers})
    target_link_libraries(fuzz_${name} PUBLIC ${dependencies} cornelplank_fuzz rapidcheck_library)
    target_link_libraries(${name}_test PRIVATE fuzz_${name})
    set_property(GLOBAL APPEND PROPERTY CORNELPLANK_FUZZERS fuzz_${name})
  endif()
  target_link_libraries(${name}_test PRIVATE ${dependencies} rapidcheck_library GTest::gmock GTest::gtest_main
    Threads::Threads)
  include(GoogleTest)
  gtest_discover_tests(${name}_test TEST_PREFIX ${name}. NO_PRETTY_VALUES DISCOVERY_MODE PRE_TEST
    PROPERTIES TIMEOUT 120 RUN_SERIAL ${test_RUN_SERIAL})
endfunction()
