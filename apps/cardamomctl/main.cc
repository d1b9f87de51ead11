#include <iostream>

#include "cardamomctl/command.h"

int main(int argc, char** argv) {
  return cardamomyard::ctl::RunCommand(argc, argv, std::cout, std::cerr);
}
