# gc_module(name DEPS libraries... SOURCES files...): one static library per folder under src/.
function(gc_module name)
  cmake_parse_arguments(ARG "" "" "DEPS;SOURCES;PCH" ${ARGN})
  add_library(gc_${name} STATIC ${ARG_SOURCES})
  target_include_directories(gc_${name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src> $<INSTALL_INTERFACE:include/gypsumcroft>)
  target_link_libraries(gc_${name} PUBLIC ${ARG_DEPS})
  if(ARG_PCH)
    target_precompile_headers(gc_${name} PRIVATE ${ARG_PCH})
  endif()
endfunction()

# gc_test(name LABELS labels... DEPS libraries... SOURCES files...): one Boost.Test program.
function(gc_test name)
  if(NOT BUILD_TESTING)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "DEPS;SOURCES;LABELS" ${ARGN})
  add_executable(test_${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/cmake/testmain.cpp)
  target_link_libraries(test_${name} PRIVATE ${ARG_DEPS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND test_${name} --log_level=error
           WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
  set_tests_properties(${name} PROPERTIES LABELS "${ARG_LABELS}")
endfunction()

# gc_sanitized_test(name LABELS labels... DEPS libraries... SOURCES files...): like gc_test, with
# all sources compiled under the address sanitizer.
function(gc_sanitized_test name)
  if(NOT BUILD_TESTING)
    return()
  endif()
  gc_test(${name} ${ARGN})
  target_include_directories(test_${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_compile_options(test_${name} PRIVATE -fsanitize=address)
  target_link_options(test_${name} PRIVATE -fsanitize=address)
endfunction()
