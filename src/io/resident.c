#include "io/resident.h"

#include <fcntl.h>
#include <malloc.h>
#include <stdio.h>
#include <unistd.h>

#define LARGE_BLOCK_BYTES (64 * 1024)

#if defined(__SANITIZE_ADDRESS__)
#define HAS_SANITIZER 1
#elif defined(__has_feature)
#if __has_feature(address_sanitizer)
#define HAS_SANITIZER 1
#endif
#endif
#ifndef HAS_SANITIZER
#define HAS_SANITIZER 0
#endif

uint64_t
at_resident_bytes(void)
{
	char text[128];
	unsigned long long pages = 0;
	int fd =
	    HAS_SANITIZER ? -1 : open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
	ssize_t len;

	if (fd < 0)
		return 0;
	len = read(fd, text, sizeof(text) - 1);
	(void)close(fd);
	if (len <= 0)
		return 0;
	text[len] = '\0';
	if (sscanf(text, "%*s %llu", &pages) != 1)
		return 0;
	return (uint64_t)pages * (uint64_t)sysconf(_SC_PAGESIZE);
}

void
at_resident_set_returning(void)
{
	(void)mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
	(void)mallopt(M_TRIM_THRESHOLD, 2 * LARGE_BLOCK_BYTES);
}
