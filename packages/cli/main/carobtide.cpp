#include "carobtide/cli/command_line.hpp"

#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
  try {
    return carobtide::RunCommandLine(argc, argv, std::cout, std::cerr);
  } catch (const std::exception& error) {
    std::cerr << "carobtide: " << error.what() << '\n';
    return static_cast<int>(carobtide::ExitCode::Refused);
  }
}
