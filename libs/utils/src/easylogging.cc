// Compiles easylogging++ once for the whole workspace.
#include <easylogging++.cc>  // NOLINT(build/include)
