# Flags shared by all targets of the workspace.
add_library(bronzering_flags INTERFACE)
target_compile_options(bronzering_flags INTERFACE -Wall -Wextra -Wpedantic -Wconversion -Wshadow
                                                  -Werror
                                                  # Omitted members have default initialisers.
                                                  -Wno-missing-field-initializers)
if(BRONZERING_SANITIZE)
  target_compile_options(bronzering_flags INTERFACE -fsanitize=${BRONZERING_SANITIZE}
                                                    -fno-omit-frame-pointer -O1
                                                    # Instrumentation causes false positives.
                                                    -Wno-maybe-uninitialized)
  target_link_options(bronzering_flags INTERFACE -fsanitize=${BRONZERING_SANITIZE})
endif()

# Catch2's main function, compiled once for all test programs and without optimisation, since it
# takes longer to compile than most of these programs.
if(BRONZERING_TESTS)
  add_library(bronzering_catch_main STATIC ${CMAKE_SOURCE_DIR}/cmake/catch_main.cpp)
  target_compile_options(bronzering_catch_main PRIVATE -O0)
endif()

# Adds the library bronzering::NAME from src/*.cpp of the current folder and installs it.
#   bronzering_library(NAME [INTERNAL] DEPENDS target...)
function(bronzering_library name)
  cmake_parse_arguments(ARG "INTERNAL" "" "DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  add_library(bronzering_${name} STATIC ${sources})
  add_library(bronzering::${name} ALIAS bronzering_${name})
  set_target_properties(bronzering_${name} PROPERTIES EXPORT_NAME ${name})
  target_compile_features(bronzering_${name} PUBLIC cxx_std_20)
  target_include_directories(
    bronzering_${name} PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
                              $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_include_directories(bronzering_${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(bronzering_${name} PUBLIC ${ARG_DEPENDS}
                        PRIVATE ${ARG_PRIVATE_DEPENDS} $<BUILD_INTERFACE:bronzering_flags>)
  if(NOT ARG_INTERNAL)
    install(TARGETS bronzering_${name} EXPORT bronzeringTargets
            ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
  endif()
endfunction()

# Adds one Catch2 program from tests/*.cpp of the current folder, run by CTest as NAME.tests.
#   bronzering_tests(NAME [KNOWN_RED test-case...] DEPENDS target...)
# The test cases that KNOWN-RED.txt lists run as NAME.known_red, so that the others count.
function(bronzering_tests name)
  if(NOT BRONZERING_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "KNOWN_RED;DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  add_executable(${name}_tests ${sources})
  target_include_directories(${name}_tests PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(${name}_tests PRIVATE ${ARG_DEPENDS} bronzering_catch_main
                                               bronzering_flags)
  set(filter "~[faults]")
  if(ARG_KNOWN_RED)
    foreach(case ${ARG_KNOWN_RED})
      string(APPEND filter "~${case}")
    endforeach()
    string(REPLACE ";" "," cases "${ARG_KNOWN_RED}")
    add_test(NAME ${name}.known_red COMMAND ${name}_tests "${cases}")
  endif()
  add_test(NAME ${name}.tests COMMAND ${name}_tests "${filter}")
  # Without a fixed seed RapidCheck chooses a new one for each run. Shrinking a failure of a whole
  # node takes minutes, so it is disabled except in manual runs.
  set_tests_properties(${name}.tests PROPERTIES ENVIRONMENT "RC_PARAMS=seed=2026 noshrink=1")
endfunction()

# Adds the program NAME from src/*.cpp of the current folder; INSTALL installs it.
#   bronzering_program(NAME [INSTALL] DEPENDS target...)
function(bronzering_program name)
  cmake_parse_arguments(ARG "INSTALL" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} bronzering_flags)
  if(ARG_INSTALL)
    install(TARGETS ${name} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
endfunction()

# Installs the CMake package configuration for find_package(bronzering).
function(bronzering_install_config)
  include(CMakePackageConfigHelpers)
  configure_package_config_file(
    ${CMAKE_SOURCE_DIR}/cmake/bronzeringConfig.cmake.in ${CMAKE_BINARY_DIR}/bronzeringConfig.cmake
    INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/bronzering)
  write_basic_package_version_file(${CMAKE_BINARY_DIR}/bronzeringConfigVersion.cmake
                                   COMPATIBILITY SameMinorVersion)
  install(FILES ${CMAKE_BINARY_DIR}/bronzeringConfig.cmake
                ${CMAKE_BINARY_DIR}/bronzeringConfigVersion.cmake
          DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/bronzering)
  install(EXPORT bronzeringTargets NAMESPACE bronzering::
          DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/bronzering)
endfunction()
