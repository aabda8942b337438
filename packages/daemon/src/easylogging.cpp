// The library's own source, compiled as part of this package.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
