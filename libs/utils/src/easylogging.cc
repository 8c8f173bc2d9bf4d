// Compiles easylogging++ once for all libraries and programs.
#include <easylogging++.cc>  // NOLINT(build/include)
