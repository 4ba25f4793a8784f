find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(Boost REQUIRED COMPONENTS program_options)
find_package(nlohmann_json REQUIRED)

# Cap'n Proto's own CMake package looks for a libatomic that this platform does not need.
pkg_check_modules(capnp REQUIRED IMPORTED_TARGET capnp-rpc)
pkg_check_modules(glog REQUIRED IMPORTED_TARGET libglog)
pkg_check_modules(inih REQUIRED IMPORTED_TARGET inih)
pkg_check_modules(urcu REQUIRED IMPORTED_TARGET liburcu-bp)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(zlib REQUIRED IMPORTED_TARGET zlib)
# The prometheus-cpp development package conflicts with ulfius' (two builds of libcurl), so scripts/setup
# unpacks its headers into the cache folder and the run-time library is linked by its versioned name. The
# entry VM's program alone also builds with the package.
set(CORNELPLANK_CACHE "$ENV{CORNELPLANK_CACHE}")
if(NOT CORNELPLANK_CACHE)
  set(CORNELPLANK_CACHE "$ENV{HOME}/.cache/cornelplank")
endif()
find_path(PROMETHEUS_INCLUDE prometheus/registry.h PATHS ${CORNELPLANK_CACHE}/prometheus-cpp/usr/include REQUIRED)
add_library(prometheus_core INTERFACE)
target_include_directories(prometheus_core SYSTEM INTERFACE ${PROMETHEUS_INCLUDE})
find_library(PROMETHEUS_CORE_LIBRARY NAMES prometheus-cpp-core libprometheus-cpp-core.so.1.0 REQUIRED)
target_link_libraries(prometheus_core INTERFACE ${PROMETHEUS_CORE_LIBRARY})
if(CORNELPLANK_ENTRY_ONLY)
  return()
endif()

find_package(GTest REQUIRED)
pkg_check_modules(ulfius REQUIRED IMPORTED_TARGET libulfius)
pkg_check_modules(curl REQUIRED IMPORTED_TARGET libcurl)
pkg_check_modules(openssl REQUIRED IMPORTED_TARGET libcrypto)

find_library(RAPIDCHECK_LIBRARY NAMES rapidcheck REQUIRED)
add_library(rapidcheck_library INTERFACE)
target_link_libraries(rapidcheck_library INTERFACE ${RAPIDCHECK_LIBRARY})
