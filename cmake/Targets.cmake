# Compile options shared by all targets, and functions that declare the project's libraries,
# programs and tests.

add_library(cypresswall_options INTERFACE)
# ASIO_DISABLE_STD_ALIGNED_ALLOC: otherwise Asio uses operator new or aligned_alloc depending on
# whether a C++ library header was included before its own, so that two translation units may
# differ.
target_compile_definitions(cypresswall_options INTERFACE
  ASIO_STANDALONE ASIO_DISABLE_STD_ALIGNED_ALLOC MSGPACK_NO_BOOST FMT_HEADER_ONLY=0
  CYPRESSWALL_VERSION="${PROJECT_VERSION}")
target_compile_options(cypresswall_options INTERFACE -Wall -Wextra -Wpedantic -Werror)
target_include_directories(cypresswall_options INTERFACE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
if(CYPRESSWALL_SANITIZE)
  target_compile_options(cypresswall_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
  target_link_options(cypresswall_options INTERFACE -fsanitize=address,undefined)
endif()
if(CYPRESSWALL_FAULT_SWITCHES)
  target_compile_definitions(cypresswall_options INTERFACE CYPRESSWALL_FAULT_SWITCHES)
endif()

# cypresswall_library(NAME [DEPS targets...]): a static library of all *.cpp in this folder.
function(cypresswall_library NAME)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS *.cpp)
  if(SOURCES)
    add_library(${NAME} STATIC ${SOURCES})
    target_link_libraries(${NAME} PUBLIC cypresswall_options ${ARG_DEPS})
  else()
    add_library(${NAME} INTERFACE)
    target_link_libraries(${NAME} INTERFACE cypresswall_options ${ARG_DEPS})
  endif()
endfunction()

# cypresswall_program(NAME [DEPS targets...]): a program of all *.cpp in this folder.
function(cypresswall_program NAME)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS *.cpp)
  add_executable(${NAME} ${SOURCES})
  target_link_libraries(${NAME} PRIVATE cypresswall_options ${ARG_DEPS})
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# cypresswall_test(NAME [TIMEOUT seconds] [DEPS targets...]): one CppUnit test program of all
# *_test.cpp in this folder, registered with ctest.
function(cypresswall_test NAME)
  cmake_parse_arguments(ARG "" "TIMEOUT" "DEPS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  file(GLOB SOURCES CONFIGURE_DEPENDS *_test.cpp)
  add_executable(${NAME} ${SOURCES})
  target_link_libraries(${NAME} PRIVATE cypresswall_test_main ${ARG_DEPS})
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  add_test(NAME ${NAME} COMMAND ${NAME})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
