/*
 * resident.h - the resident memory of this process.
 */
#ifndef ALMONDTHREAD_IO_RESIDENT_H
#define ALMONDTHREAD_IO_RESIDENT_H

#include <stdint.h>

/*
 * at_resident_bytes() returns the resident bytes of this process; 0 if they are
 * not known, or are a sanitizer's and not the program's.
 */
uint64_t at_resident_bytes(void);
/*
 * at_resident_set_returning() makes the allocator return large blocks to the
 * system when they are freed, and map them page by page when they are filled.
 * It otherwise keeps blocks of the size that was last freed.
 */
void at_resident_set_returning(void);

#endif
