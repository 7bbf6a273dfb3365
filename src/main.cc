#include <iostream>

int main() {
  std::cerr << "crocusspur: no command given; see crocusspur --help\n";
  return 2;
}
