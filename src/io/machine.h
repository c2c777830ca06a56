/*
 * machine.h - what the kernel grants this process of its machine.
 */
#ifndef ALMONDTHREAD_IO_MACHINE_H
#define ALMONDTHREAD_IO_MACHINE_H

#include <stddef.h>
#include <stdint.h>

/*
 * at_machine_memory() returns the smallest of: the memory of the machine, the
 * limits of the process's control group and of those above it (cgroups(7),
 * versions 1 and 2), RLIMIT_DATA, and RLIMIT_AS without what is mapped and not
 * resident. What cannot be read is left out. root is prepended to the paths of
 * files; "" on a machine.
 */
uint64_t at_machine_memory(const char *root);
/*
 * at_machine_descriptors() returns how many descriptors of those wanted the
 * process may have. If RLIMIT_NOFILE is smaller, it is raised as far as the
 * kernel allows.
 */
size_t at_machine_descriptors(size_t wanted);

#endif
