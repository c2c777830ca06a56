/*
 * machine.h - what the kernel grants this process of its machine.
 */
#ifndef ALMONDTHREAD_IO_MACHINE_H
#define ALMONDTHREAD_IO_MACHINE_H

#include <stddef.h>
#include <stdint.h>

/*
 * at_machine_descriptors() returns how many descriptors of those wanted the
 * process may have. If RLIMIT_NOFILE is smaller, it is raised as far as the
 * kernel allows.
 */
size_t at_machine_descriptors(size_t wanted);

#endif
