# The decision modules install as a library for others to embed.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)
set(gc_installed core policy controllers filters)
foreach(module ${gc_installed})
  install(TARGETS gc_${module} EXPORT gypsumcroftTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY src/${module}/ DESTINATION include/gypsumcroft/${module}
          FILES_MATCHING PATTERN "*.h" PATTERN internal EXCLUDE PATTERN tests EXCLUDE)
endforeach()
install(EXPORT gypsumcroftTargets NAMESPACE gypsumcroft::
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/gypsumcroft)
file(WRITE ${CMAKE_BINARY_DIR}/gypsumcroftConfig.cmake
  "include(\"\${CMAKE_CURRENT_LIST_DIR}/gypsumcroftTargets.cmake\")\n")
write_basic_package_version_file(${CMAKE_BINARY_DIR}/gypsumcroftConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/gypsumcroftConfig.cmake
              ${CMAKE_BINARY_DIR}/gypsumcroftConfigVersion.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/gypsumcroft)
install(TARGETS gypsumcroft RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
