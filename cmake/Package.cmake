# Helpers that declare one package of the workspace.

if(CAROBTIDE_TESTS)
  include(/usr/lib/cmake/Catch2/Catch.cmake)
endif()

add_library(carobtide_options INTERFACE)
target_compile_options(carobtide_options INTERFACE -Wall -Wextra -Wpedantic
  $<$<CXX_COMPILER_ID:GNU>:-Wshadow=local>)
target_compile_definitions(carobtide_options INTERFACE
  BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_IO_URING)
target_link_libraries(carobtide_options INTERFACE Threads::Threads)

if(CAROBTIDE_FUZZERS)
  add_custom_target(fuzzers)
  target_compile_options(carobtide_options INTERFACE
    -fsanitize=fuzzer-no-link,address,undefined
    -fno-sanitize-recover=undefined)
  target_link_options(carobtide_options INTERFACE
    -fsanitize=address,undefined)
endif()

# Compiled once: Catch2's main function.
file(WRITE ${CMAKE_BINARY_DIR}/catch_main.cpp
  "#define CATCH_CONFIG_MAIN\n#include <catch2/catch.hpp>\n")
add_library(catch_main STATIC EXCLUDE_FROM_ALL
  ${CMAKE_BINARY_DIR}/catch_main.cpp)
target_include_directories(catch_main PUBLIC /usr/include)

# carobtide_package(NAME [DEPENDS target...] [TEST_DEPENDS target...]
#                   [FUZZ_SOURCES file...])
# Declares library carobtide_NAME from src/*.cpp, its tests from tests/*.cpp,
# its benchmarks from benchmark/*.cpp and its fuzzers from fuzz/*.cpp. In a
# build of the fuzzers the library holds only FUZZ_SOURCES if they are given:
# clang 14 does not compile libstdc++'s coroutines.
function(carobtide_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS;FUZZ_SOURCES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  file(GLOB tests CONFIGURE_DEPENDS tests/*.cpp)
  file(GLOB benchmarks CONFIGURE_DEPENDS benchmark/*.cpp)
  file(GLOB fuzzers CONFIGURE_DEPENDS fuzz/*.cpp)
  if(CAROBTIDE_FUZZERS AND ARG_FUZZ_SOURCES)
    set(sources ${ARG_FUZZ_SOURCES})
  endif()
  if(sources)
    add_library(carobtide_${NAME} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(carobtide_${NAME} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(carobtide_${NAME} ${scope} include)
  target_link_libraries(carobtide_${NAME} ${scope} carobtide_options
                        ${ARG_DEPENDS})
  if(tests AND CAROBTIDE_TESTS AND NOT CAROBTIDE_FUZZERS)
    add_executable(test_${NAME} ${tests})
    target_include_directories(test_${NAME} PRIVATE tests)
    target_link_libraries(test_${NAME} PRIVATE carobtide_${NAME} catch_main
                          ${ARG_TEST_DEPENDS})
    catch_discover_tests(test_${NAME} TEST_PREFIX "${NAME}: "
                         PROPERTIES TIMEOUT 300)
  endif()
  if(CAROBTIDE_TESTS AND NOT CAROBTIDE_FUZZERS)
    foreach(file ${benchmarks})
      get_filename_component(stem ${file} NAME_WE)
      add_executable(bench_${stem} ${file})
      target_link_libraries(bench_${stem} PRIVATE carobtide_${NAME})
    endforeach()
  endif()
  if(CAROBTIDE_FUZZERS)
    foreach(file ${fuzzers})
      get_filename_component(stem ${file} NAME_WE)
      add_executable(fuzz_${stem} ${file})
      target_link_options(fuzz_${stem} PRIVATE -fsanitize=fuzzer)
      target_link_libraries(fuzz_${stem} PRIVATE carobtide_${NAME})
      add_dependencies(fuzzers fuzz_${stem})
    endforeach()
  endif()
endfunction()
