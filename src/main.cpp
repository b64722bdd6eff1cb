#include <cstdio>

int main() {
  std::puts("masticshunt " MASTICSHUNT_VERSION);
  return 0;
}
