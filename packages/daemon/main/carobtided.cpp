#include "carobtide/base.hpp"

#include <CLI/CLI.hpp>

#include <string>

int main(int argc, char** argv)
{
  CLI::App app{ "carobtided, the daemon of carobtide" };
  app.set_version_flag("--version", std::string(carobtide::Version()));
  CLI11_PARSE(app, argc, argv);
  return 0;
}
