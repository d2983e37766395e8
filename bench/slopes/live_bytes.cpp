/// Counts live bytes by replacing the global allocation functions.
#include "bench/support/slope.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::size_t Live = 0;

void *allocate(std::size_t Size) {
  void *Block = std::malloc(Size == 0 ? 1 : Size);
  if (Block == nullptr)
    std::abort();
  Live += malloc_usable_size(Block);
  return Block;
}

void release(void *Block) {
  if (Block == nullptr)
    return;
  Live -= malloc_usable_size(Block);
  std::free(Block);
}

} // namespace

void *operator new(std::size_t Size) { return allocate(Size); }
void *operator new[](std::size_t Size) { return allocate(Size); }
void operator delete(void *Block) noexcept { release(Block); }
void operator delete[](void *Block) noexcept { release(Block); }
void operator delete(void *Block, std::size_t) noexcept { release(Block); }
void operator delete[](void *Block, std::size_t) noexcept { release(Block); }

std::size_t marjorambay::bench::liveBytes() { return Live; }
