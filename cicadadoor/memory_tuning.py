"""Configure the allocator of the C library."""

import ctypes

# From malloc.h of glibc.
_M_MMAP_THRESHOLD = -3
_THRESHOLD_BYTES = 131_072


def return_large_blocks() -> None:
    """Let large blocks be returned to the system as soon as they are freed.

    By default, glibc raises the threshold to the size of the largest block that was
    freed, up to 32 MB. Large buffers then fragment the heap, which is rarely returned.
    """
    library = ctypes.CDLL(None)
    # Other C libraries have no such function.
    if hasattr(library, 'mallopt'):
        library.mallopt(_M_MMAP_THRESHOLD, _THRESHOLD_BYTES)


def return_free_blocks() -> None:
    """Return the free blocks at the end and inside of the heap to the system."""
    library = ctypes.CDLL(None)
    if hasattr(library, 'malloc_trim'):
        library.malloc_trim(0)
